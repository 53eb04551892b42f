// Package httpserver is the HTTP side that every daemon has: liveness, readiness,
// metrics, one error shape, and a stop that answers what is in hand.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"orchidward/internal/api/jsondoc"
	"orchidward/internal/daemon/lifecycle"
)

// Server is the HTTP server of a daemon: the pages /live, /ready and /metrics,
// and whatever routes the daemon adds to Gin before Serve is called.
type Server struct {
	Gin   *gin.Engine
	Gauge *Gauges
	// DrainDelay is how long a stop goes on taking requests, each answered with
	// word that its connection closes, before the listener closes.
	DrainDelay time.Duration
	ready      atomic.Bool
	down       atomic.Bool
	http       *http.Server
	ln         *limitListener
}

// New opens the address and sets up the common pages. The server is not ready,
// and answers no request, until SetReady and Serve are called.
func New(addr string) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "http")
	}
	gin.SetMode(gin.ReleaseMode)
	s := &Server{Gin: gin.New(), Gauge: NewGauges(), DrainDelay: parting, ln: &limitListener{Listener: ln, most: mostConns}}
	s.Gin.Use(func(c *gin.Context) {
		if s.down.Load() {
			c.Header("Connection", "close")
		}
	})
	s.Gin.Use(gin.CustomRecovery(func(c *gin.Context, _ any) {
		WriteError(c, 500, "internal", "the request could not be served")
	}))
	reg := prometheus.NewRegistry()
	reg.MustRegister(s.Gauge)
	page := promhttp.HandlerFor(reg, promhttp.HandlerOpts{})
	s.Gin.GET("/live", func(c *gin.Context) { c.JSON(200, gin.H{"live": true}) })
	s.Gin.GET("/ready", s.showReady)
	s.Gin.GET("/metrics", func(c *gin.Context) { page.ServeHTTP(c.Writer, c.Request) })
	s.Gin.NoRoute(func(c *gin.Context) { WriteError(c, 404, "no-such-path", "no such path") })
	s.Gin.HandleMethodNotAllowed = true
	s.Gin.NoMethod(func(c *gin.Context) { WriteError(c, 405, "bad-method", "this path does not take this method") })
	s.http = server(s.Gin)
	return s, nil
}

func server(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 15 * time.Second, IdleTimeout: 60 * time.Second, MaxHeaderBytes: 16 << 10}
}

// Addr is the address in use, with the actual port when 0 was asked for.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// SetReady is what the daemon says of itself; a stopping one is never ready.
func (s *Server) SetReady(ok bool) { s.ready.Store(ok) }

func (s *Server) showReady(c *gin.Context) {
	if s.ready.Load() && !s.down.Load() {
		c.JSON(200, gin.H{"ready": true})
		return
	}
	c.JSON(503, gin.H{"ready": false})
}

// Serve starts to answer requests in a goroutine of c and returns at once. Stop
// ends it.
func (s *Server) Serve(c *lifecycle.Group) {
	c.Go(func(<-chan struct{}) { s.http.Serve(s.ln) })
}

// Stop is polite: first this process is not ready and every answer says that
// its connection closes, so that no caller sends on one that is about to go;
// then the listener closes and the requests in hand are answered.
func (s *Server) Stop(ctx context.Context) error {
	s.down.Store(true)
	t := time.NewTimer(s.DrainDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	return s.http.Shutdown(ctx)
}

// parting is a little longer than the longest that a poll is held.
const parting = 900 * time.Millisecond

// WriteError writes the one error shape.
func WriteError(c *gin.Context, status int, code, why string) {
	c.Data(status, "application/json", jsondoc.ErrorBody{Code: code, Message: why}.JSON())
	c.Abort()
}

// Stopping tells whether the polite stop has begun.
func (s *Server) Stopping() bool { return s.down.Load() }

// Ready is what SetReady last said.
func (s *Server) Ready() bool { return s.ready.Load() }

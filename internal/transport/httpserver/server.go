// Package httpserver is the HTTP side that every daemon has: liveness, readiness, metrics,
// one form of error, a bound on connections, and a graceful stop that answers the requests
// in flight.
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
	"go.uber.org/fx"

	"orchidward/internal/api/jsondoc"
	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/daemon/logging"
)

const (
	// defaultDrainDelay is a little longer than the longest that a poll is held.
	defaultDrainDelay = 900 * time.Millisecond

	readHeaderTimeout = 5 * time.Second
	readTimeout       = 15 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 16 << 10
)

// Server is the HTTP server of a daemon: the pages /live, /ready and /metrics, and whatever
// routes the daemon adds to Gin before Serve is called.
type Server struct {
	// Gin is nil for a server made by NewHandlerServer.
	Gin   *gin.Engine
	Gauge *Gauges
	// DrainDelay is how long a stop goes on taking requests, each answered saying that
	// its connection closes, before the listener closes.
	DrainDelay time.Duration

	ready    atomic.Bool
	stopping atomic.Bool
	http     *http.Server
	listener *limitListener
}

// New opens the address and sets up the common pages. The server is not ready, and answers
// no request, until SetReady and Serve are called.
func New(addr string) (*Server, error) {
	s, err := listen(addr)
	if err != nil {
		return nil, err
	}
	gin.SetMode(gin.ReleaseMode)
	s.Gin = gin.New()
	s.Gin.Use(s.closeWhileStopping, gin.CustomRecovery(recoverRequest))
	s.addPages()
	s.http = newHTTPServer(s.Gin)
	return s, nil
}

// listen opens the address, for as many connections as a process may hold.
func listen(addr string) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "http")
	}
	return &Server{
		Gauge:      NewGauges(),
		DrainDelay: defaultDrainDelay,
		listener:   &limitListener{Listener: listener, limit: maxConnections},
	}, nil
}

func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func (s *Server) addPages() {
	registry := prometheus.NewRegistry()
	registry.MustRegister(s.Gauge)
	metrics := promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	s.Gin.GET("/live", func(c *gin.Context) { c.JSON(http.StatusOK, gin.H{"live": true}) })
	s.Gin.GET("/ready", s.serveReady)
	s.Gin.GET("/metrics", func(c *gin.Context) { metrics.ServeHTTP(c.Writer, c.Request) })
	s.Gin.NoRoute(func(c *gin.Context) {
		WriteError(c, http.StatusNotFound, "no-such-path", "no such path")
	})
	s.Gin.HandleMethodNotAllowed = true
	s.Gin.NoMethod(func(c *gin.Context) {
		WriteError(c, http.StatusMethodNotAllowed, "bad-method", "this path does not take this method")
	})
}

// closeWhileStopping says with every response of a stopping server that its connection
// closes.
func (s *Server) closeWhileStopping(c *gin.Context) {
	if s.stopping.Load() {
		c.Header("Connection", "close")
	}
}

func recoverRequest(c *gin.Context, _ any) {
	WriteError(c, http.StatusInternalServerError, "internal", "the request could not be served")
}

func (s *Server) serveReady(c *gin.Context) {
	if s.ready.Load() && !s.stopping.Load() {
		c.JSON(http.StatusOK, gin.H{"ready": true})
		return
	}
	c.JSON(http.StatusServiceUnavailable, gin.H{"ready": false})
}

// Addr is the address in use, with the actual port when 0 was asked for.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// SetReady is what the daemon says of itself; a stopping one is never ready.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Ready is what SetReady last said.
func (s *Server) Ready() bool { return s.ready.Load() }

// Stopping reports whether the graceful stop has begun.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// Serve starts to answer requests in a goroutine of group and returns at once. Stop ends
// it.
func (s *Server) Serve(group *lifecycle.Group) {
	group.Go(func(<-chan struct{}) { _ = s.http.Serve(s.listener) })
}

// Run hooks a daemon into the process's lifecycle: begin starts its goroutines, and requests are
// served until the graceful stop.
func (s *Server) Run(hooks fx.Lifecycle, group *lifecycle.Group, log *logging.Logger, program string, start func()) {
	hooks.Append(fx.Hook{
		OnStart: func(context.Context) error {
			start()
			s.Serve(group)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			log.Event("stop", "program", program)
			return s.Stop(ctx)
		},
	})
}

// Stop is graceful: first this process is not ready and every response says that its
// connection closes, so that no client sends on one that is about to go; then the listener
// closes and the requests in flight are answered. The error is the context's.
func (s *Server) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	delay := time.NewTimer(s.DrainDelay)
	defer delay.Stop()
	select {
	case <-delay.C:
	case <-ctx.Done():
	}
	return s.http.Shutdown(ctx)
}

// WriteError writes an error response in the one form that all have.
func WriteError(c *gin.Context, status int, code, message string) {
	c.Data(status, "application/json", jsondoc.ErrorBody{Code: code, Message: message}.JSON())
	c.Abort()
}

// Package httpserver is the HTTP server shared by all daemons. It provides liveness, readiness
// and metrics endpoints, a common error format, a connection limit, and a graceful stop that
// completes the requests in flight.
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
	// defaultDrainDelay is slightly longer than the longest long poll.
	defaultDrainDelay = 900 * time.Millisecond

	readHeaderTimeout = 5 * time.Second
	readTimeout       = 15 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 16 << 10
)

// Server is the HTTP server of a daemon. It serves /live, /ready and /metrics, and the routes
// that the daemon adds to Gin before it calls Serve.
type Server struct {
	// Gin is nil for a server made by NewHandlerServer.
	Gin   *gin.Engine
	Gauge *Gauges
	// DrainDelay is how long a stopping server continues to accept requests before it closes
	// the listener. Every response in that time carries "Connection: close".
	DrainDelay time.Duration

	ready    atomic.Bool
	stopping atomic.Bool
	http     *http.Server
	listener *limitListener
}

// New listens on addr and sets up the common pages. The server answers requests once Serve is
// called, and reports ready once SetReady(true) is called.
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

// listen opens a listener that is limited to maxConnections.
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

// closeWhileStopping adds "Connection: close" to every response of a stopping server.
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

// Addr returns the listening address, with the actual port if port 0 was requested.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// SetReady sets the daemon's readiness. A stopping server reports not ready regardless.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Ready returns the value last passed to SetReady.
func (s *Server) Ready() bool { return s.ready.Load() }

// Stopping reports whether the graceful stop has begun.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// Serve starts answering requests in a goroutine of group and returns immediately. Stop ends
// that goroutine.
func (s *Server) Serve(group *lifecycle.Group) {
	group.Go(func(<-chan struct{}) { _ = s.http.Serve(s.listener) })
}

// Run registers a daemon with the process's lifecycle. On start it calls start, which starts
// the daemon's goroutines, and then serves requests until the graceful stop.
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

// Stop stops the server gracefully. For DrainDelay the server reports not ready and every
// response carries "Connection: close", so that no client sends a request on a connection that
// is about to be closed. Then the listener is closed and the requests in flight are completed.
// If ctx ends first, Stop returns its error.
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

// WriteError writes an error response in the common format.
func WriteError(c *gin.Context, status int, code, message string) {
	c.Data(status, "application/json", jsondoc.ErrorBody{Code: code, Message: message}.JSON())
	c.Abort()
}

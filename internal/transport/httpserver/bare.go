// A bare server has the same listener, limits and polite stop as any other,
// and none of the routes: all requests go to the handler that it is given.

package httpserver

import (
	"net"
	"net/http"

	"github.com/go-faster/errors"
)

// NewHandlerServer listens on the address for a handler of the caller's own. The caller
// may set Parting before the stop; Gin is nil.
func NewHandlerServer(addr string, h http.Handler) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "http")
	}
	s := &Server{Gauge: NewGauges(), DrainDelay: parting, ln: &limitListener{Listener: ln, most: mostConns}}
	s.http = server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&closingWriter{ResponseWriter: w, from: s}, r)
	}))
	return s, nil
}

// closingWriter writes an answer that says that its connection closes if the stop has
// begun by the time its head goes out.
type closingWriter struct {
	http.ResponseWriter
	from *Server
	sent bool
}

func (c *closingWriter) head() {
	if !c.sent && c.from.Stopping() {
		c.Header().Set("Connection", "close")
	}
	c.sent = true
}

func (c *closingWriter) WriteHeader(status int) {
	if status >= 200 {
		c.head()
	}
	c.ResponseWriter.WriteHeader(status)
}

func (c *closingWriter) Write(b []byte) (int, error) {
	c.head()
	return c.ResponseWriter.Write(b)
}

func (c *closingWriter) Flush() {
	c.head()
	_ = http.NewResponseController(c.ResponseWriter).Flush()
}

// Unwrap lets http.ResponseController reach what this does not offer itself.
func (c *closingWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

package httpserver

import "net/http"

// NewHandlerServer returns a server that listens on addr and serves h. It has the same
// listener, limits and graceful stop as one returned by New, but none of the common pages.
// Gin is nil. The caller may set DrainDelay before the stop.
func NewHandlerServer(addr string, h http.Handler) (*Server, error) {
	s, err := listen(addr)
	if err != nil {
		return nil, err
	}
	s.http = newHTTPServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&closingWriter{ResponseWriter: w, server: s}, r)
	}))
	return s, nil
}

// closingWriter adds "Connection: close" to a response if the stop has begun by the time its
// header is written.
type closingWriter struct {
	http.ResponseWriter
	server      *Server
	wroteHeader bool
}

func (w *closingWriter) beforeHeader() {
	if !w.wroteHeader && w.server.Stopping() {
		w.Header().Set("Connection", "close")
	}
	w.wroteHeader = true
}

func (w *closingWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.beforeHeader()
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *closingWriter) Write(b []byte) (int, error) {
	w.beforeHeader()
	return w.ResponseWriter.Write(b)
}

func (w *closingWriter) Flush() {
	w.beforeHeader()
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap gives http.ResponseController access to the methods of the wrapped writer.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

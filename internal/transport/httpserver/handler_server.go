package httpserver

import "net/http"

// NewHandlerServer listens on the address for a handler of the caller's own. It has the
// same listener, limits and graceful stop as any other server, and none of the pages. The
// caller may set DrainDelay before the stop; Gin is nil.
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

// closingWriter writes a response that says that its connection closes, if the stop has
// begun by the time its header goes out.
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

// Unwrap lets http.ResponseController reach what this does not offer itself.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

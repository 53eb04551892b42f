package httpserver

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/gin-gonic/gin"

	"orchidward/internal/daemon/lifecycle"
)

const (
	requestIDHeader = "X-Id"
	summaryHeader   = "X-Echo"
	maxEchoBody     = 64
	exchangeTimeout = 20 * time.Second
)

// executed is a request that a handler read completely and executed.
type executed struct {
	method string
	path   string
	id     string
	body   string
}

func (e executed) String() string {
	return fmt.Sprintf("%s %s id %s body %q", e.method, e.path, e.id, e.body)
}

// handled is one call of a handler: the request it executed, or the status with which it
// rejected the request, 0 if it did not.
type handled struct {
	executed
	rejectedWith int
}

// summary identifies the call: the response to the request carries it.
func (h handled) summary() string {
	if h.rejectedWith != 0 {
		return fmt.Sprintf("%q refused with %d", h.method, h.rejectedWith)
	}
	return fmt.Sprintf("%q", h.String())
}

var echoMethods = []string{"GET", "HEAD", "PUT", "POST", "PATCH", "DELETE"}

// echo is a handler that answers each request with the summary of its call, and records
// the calls of each connection in order.
type echo struct {
	mu    sync.Mutex
	calls map[string][]handled
}

func (e *echo) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := read(w, r)
	e.mu.Lock()
	e.calls[r.RemoteAddr] = append(e.calls[r.RemoteAddr], call)
	e.mu.Unlock()
	w.Header().Set(summaryHeader, call.summary())
	if call.rejectedWith != 0 {
		w.WriteHeader(call.rejectedWith)
		return
	}
	_, _ = io.WriteString(w, call.String())
}

// read reads a request in the way the daemons' handlers do.
func read(w http.ResponseWriter, r *http.Request) handled {
	var call handled
	call.executed = executed{method: r.Method, path: r.URL.Path, id: r.Header.Get(requestIDHeader)}
	if r.URL.Path == "/early" {
		call.rejectedWith = http.StatusServiceUnavailable
		return call
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxEchoBody))
	call.body = string(body)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		call.rejectedWith = http.StatusRequestEntityTooLarge
	case err != nil:
		call.rejectedWith = http.StatusBadRequest
	case !slices.Contains(echoMethods, r.Method):
		call.rejectedWith = http.StatusMethodNotAllowed
	}
	return call
}

// executedCalls returns the calls that were not rejected.
func executedCalls(calls []handled) []executed {
	var list []executed
	for _, call := range calls {
		if call.rejectedWith == 0 {
			list = append(list, call.executed)
		}
	}
	return list
}

// takeCalls returns and removes the calls of a connection.
func (e *echo) takeCalls(addr string) []handled {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := e.calls[addr]
	delete(e.calls, addr)
	return list
}

// newHandlerEcho serves an echo with a server made by NewHandlerServer.
func newHandlerEcho(t testing.TB) (e *echo, addr string) {
	e = &echo{calls: map[string][]handled{}}
	s, err := NewHandlerServer("127.0.0.1:0", e)
	if err != nil {
		t.Fatal(err)
	}
	serve(t, s)
	return e, s.Addr()
}

// newRoutedEcho serves an echo with a server made by New, which has routes.
func newRoutedEcho(t testing.TB) (e *echo, addr string) {
	e = &echo{calls: map[string][]handled{}}
	s, err := New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.Gin.NoRoute(func(c *gin.Context) {
		c.Status(http.StatusOK)
		e.ServeHTTP(c.Writer, c.Request)
	})
	serve(t, s)
	return e, s.Addr()
}

// serve runs a server until the test ends.
func serve(t testing.TB, s *Server) {
	t.Helper()
	group := lifecycle.New()
	s.Serve(group)
	t.Cleanup(func() {
		s.http.Close()
		_ = group.Stop(context.Background())
	})
}

// exchange writes a stream in pieces, closes its side for writing and reads everything that
// the server sends. clean is false if the connection was reset, so that responses may be
// missing.
func exchange(t testing.TB, addr string, stream []byte, piece int) (answers []byte, local string, clean bool) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(exchangeTimeout))
	for rest := stream; len(rest) > 0; {
		n := len(rest)
		if piece > 0 {
			n = min(n, piece)
		}
		if _, err = conn.Write(rest[:n]); err != nil {
			break
		}
		rest = rest[n:]
	}
	_ = conn.(*net.TCPConn).CloseWrite()
	answers, err = io.ReadAll(conn)
	var late net.Error
	if errors.As(err, &late) && late.Timeout() {
		t.Fatalf("the responses to %q did not end in time", stream)
	}
	return answers, conn.LocalAddr().String(), err == nil
}

// checkResponses checks that the responses match the calls in order. It returns the status of
// every response, including those that the server sent without calling the handler.
func checkResponses(t testing.TB, answers []byte, calls []handled, clean bool) []int {
	t.Helper()
	var list []int
	in := bufio.NewReader(bytes.NewReader(answers))
	next := 0
	for {
		if _, err := in.Peek(1); err != nil {
			break
		}
		method := http.MethodGet
		if next < len(calls) {
			method = calls[next].method
		}
		res, err := http.ReadResponse(in, &http.Request{Method: method})
		if err != nil {
			if clean {
				t.Errorf("a response does not parse: %v in %q", err, answers)
			}
			break
		}
		body, err := io.ReadAll(res.Body)
		if err != nil && clean {
			t.Errorf("a response is truncated: %q", answers)
		}
		if res.StatusCode < 200 {
			continue
		}
		list = append(list, res.StatusCode)
		summary := res.Header.Get(summaryHeader)
		if summary == "" {
			continue
		}
		if next >= len(calls) {
			t.Fatalf("only %d requests were handled, but more were answered: %q", len(calls), answers)
		}
		want := calls[next]
		next++
		if summary != want.summary() {
			t.Errorf("%s was answered with %s", want.summary(), summary)
		}
		if want.rejectedWith == 0 && method != http.MethodHead && err == nil && string(body) != want.String() {
			t.Errorf("%v was answered with %q", want, body)
		}
	}
	if clean && next != len(calls) {
		t.Errorf("%d requests were handled, %d answered: %q", len(calls), next, answers)
	}
	return list
}

// rawRequest returns the raw text of a request.
func rawRequest(method, path, id, more, body string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\n" + requestIDHeader + ": " + id + "\r\n" + more + "\r\n" + body
}

func withLength(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

const chunked = "Transfer-Encoding: chunked\r\n"

// oneChunk returns a chunked body of one chunk.
func oneChunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(text), text) }

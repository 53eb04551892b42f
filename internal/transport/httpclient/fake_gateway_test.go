package httpclient

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"orchidward/internal/daemon/lifecycle"
)

// fakeGateway is a gateway whose raw responses are written by the test.
type fakeGateway struct {
	listener net.Listener
	answer   func(conn *net.TCPConn, r *http.Request)

	mu       sync.Mutex
	requests []string
}

// newFakeGateway starts a gateway that runs until the test ends. It calls answer for each
// complete request.
func newFakeGateway(t *testing.T, answer func(conn *net.TCPConn, r *http.Request)) *fakeGateway {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeGateway{listener: listener, answer: answer}
	group := lifecycle.New()
	ctx, stop := context.WithCancel(context.Background())
	group.Go(func(<-chan struct{}) {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			context.AfterFunc(ctx, func() { conn.Close() })
			group.Go(func(<-chan struct{}) { s.serve(conn.(*net.TCPConn)) })
		}
	})
	t.Cleanup(func() {
		stop()
		listener.Close()
		_ = group.Stop(context.Background())
	})
	return s
}

func (s *fakeGateway) serve(conn *net.TCPConn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err = io.ReadAll(r.Body); err != nil {
			return
		}
		s.mu.Lock()
		s.requests = append(s.requests, r.Method+" "+r.URL.Path)
		s.mu.Unlock()
		s.answer(conn, r)
	}
}

func (s *fakeGateway) addr() string { return s.listener.Addr().String() }

// count returns the number of complete requests received.
func (s *fakeGateway) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// responseText returns the raw text of a response with a body.
func responseText(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// respondWith returns a handler that answers each request with the same raw text.
func respondWith(text string) func(*net.TCPConn, *http.Request) {
	return func(conn *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(conn, text) }
}

// respondAndReset returns a handler that writes the raw text and resets the connection.
func respondAndReset(text string) func(*net.TCPConn, *http.Request) {
	return func(conn *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(conn, text)
		_ = conn.SetLinger(0)
		conn.Close()
	}
}

// neverRespond is a handler that sends no response.
func neverRespond(*net.TCPConn, *http.Request) {}

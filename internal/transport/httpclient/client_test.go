package httpclient

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"orchidward/internal/daemon/lifecycle"
)

// stub is a gate whose every answer is written by hand.
type stub struct {
	ln     net.Listener
	answer func(conn *net.TCPConn, r *http.Request)

	mu  sync.Mutex
	got []string
}

// newStub listens until the test ends; answer is called for each whole request.
func newStub(t *testing.T, answer func(conn *net.TCPConn, r *http.Request)) *stub {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &stub{ln: ln, answer: answer}
	c := lifecycle.New()
	ctx, stop := context.WithCancel(context.Background())
	c.Go(func(<-chan struct{}) {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			context.AfterFunc(ctx, func() { conn.Close() })
			c.Go(func(<-chan struct{}) { s.serve(conn.(*net.TCPConn)) })
		}
	})
	t.Cleanup(func() {
		stop()
		ln.Close()
		_ = c.Stop(context.Background())
	})
	return s
}

func (s *stub) serve(conn *net.TCPConn) {
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
		s.got = append(s.got, r.Method+" "+r.URL.Path)
		s.mu.Unlock()
		s.answer(conn, r)
	}
}

func (s *stub) addr() string { return s.ln.Addr().String() }

// count is how many whole requests arrived.
func (s *stub) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.got)
}

// answerOf writes an answer with a body.
func answerOf(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// always answers each request with the same text.
func always(text string) func(*net.TCPConn, *http.Request) {
	return func(conn *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(conn, text) }
}

// cutOff answers with a text and resets the connection.
func cutOff(text string) func(*net.TCPConn, *http.Request) {
	return func(conn *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(conn, text)
		_ = conn.SetLinger(0)
		conn.Close()
	}
}

// silent answers nothing.
func silent(*net.TCPConn, *http.Request) {}

const shortWait = 150 * time.Millisecond

var unrepeatable = []struct{ verb, path string }{
	{"PUT", "/v1/closings/north"},
	{"DELETE", "/v1/closings/north"},
	{"PUT", "/v1/table"},
	{"PATCH", "/v1/table"},
}

// TestUnknownIsNotRepeated: a change that is not known again is sent once, and
// no more, once a gate may have taken it: it was silent, reset the connection
// after any byte of its answer, closed it, or said itself that it doesn't know.
func TestUnknownIsNotRepeated(t *testing.T) {
	whole := answerOf(200, `{"done":true}`)
	faults := map[string]func(*net.TCPConn, *http.Request){
		"silence":         silent,
		"too short":       func(conn *net.TCPConn, r *http.Request) { always(whole[:len(whole)-1])(conn, r); conn.Close() },
		"outcome unknown": always(answerOf(504, `{}`)),
	}
	for n := range len(whole) {
		faults[fmt.Sprintf("a reset after %d bytes", n)] = cutOff(whole[:n])
	}
	for fault, answer := range faults {
		for _, change := range unrepeatable {
			s := newStub(t, answer)
			c := New([]string{s.addr(), s.addr()}, shortWait)
			got, err := c.Do(t.Context(), change.verb, change.path, []byte(`{"base":1}`))
			if s.count() != 1 {
				t.Fatalf("%s: %s %s was sent %d times", fault, change.verb, change.path, s.count())
			}
			if !errors.Is(err, ErrOutcomeUnknown) && got.Status != 504 {
				t.Errorf("%s: %s %s came to %d, %v", fault, change.verb, change.path, got.Status, err)
			}
		}
	}
}

// TestRepeatable: jobs are known by their id and sent again after a silence, a
// reset or a 504, and reads change nothing.
func TestRepeatable(t *testing.T) {
	for fault, answer := range map[string]func(*net.TCPConn, *http.Request){
		"silence": silent, "reset": cutOff("HTTP/1.1 2"), "unknown": always(answerOf(504, `{}`)),
	} {
		for _, one := range []struct{ verb, path string }{{"PUT", "/v1/jobs/a/1"}, {"DELETE", "/v1/jobs/a/1"}, {"GET", "/v1/table"}} {
			first, second := newStub(t, answer), newStub(t, always(answerOf(200, one.path)))
			c := New([]string{first.addr(), second.addr()}, shortWait)
			got, err := c.Do(t.Context(), one.verb, one.path, nil)
			if err != nil || got.Status != 200 || string(got.Body) != one.path || got.Gateway != second.addr() {
				t.Errorf("%s: %s %s came to %+v, %v", fault, one.verb, one.path, got, err)
			}
		}
	}
}

// TestNotTakenIsRepeated: what no gate can have taken is sent again, whatever
// it is: nobody listened, or the gate said that it did not take it.
func TestNotTakenIsRepeated(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	full := newStub(t, always(answerOf(503, `{}`)))
	for _, first := range []string{closed.Addr().String(), full.addr()} {
		for _, change := range unrepeatable {
			second := newStub(t, always(answerOf(200, `{}`)))
			c := New([]string{first, second.addr()}, shortWait)
			got, err := c.Do(t.Context(), change.verb, change.path, nil)
			if err != nil || got.Status != 200 || second.count() != 1 {
				t.Errorf("%s %s came to %d, %v; sent %d times", change.verb, change.path, got.Status, err, second.count())
			}
		}
	}
	c := New([]string{closed.Addr().String()}, shortWait)
	if _, err = c.Do(t.Context(), "PUT", "/v1/table", nil); !errors.Is(err, ErrUnreachable) || errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("nobody listens: %v", err)
	}
}

// TestUnknownIsNoRefusal: once an attempt may have been taken, neither the
// refusals of later ones nor an unreachable gate make it one that was not.
func TestUnknownIsNoRefusal(t *testing.T) {
	for fault, answer := range map[string]func(*net.TCPConn, *http.Request){
		"silence": silent, "reset": cutOff("HTTP/1.1 2"), "unknown": always(answerOf(504, `{}`)),
	} {
		for _, status := range []int{429, 503} {
			first, second := newStub(t, answer), newStub(t, always(answerOf(status, `{}`)))
			c := New([]string{first.addr(), second.addr()}, shortWait)
			c.Attempts = 1
			if got, err := c.Do(t.Context(), "PUT", "/v1/jobs/a/1", nil); !errors.Is(err, ErrOutcomeUnknown) {
				t.Errorf("%s, then %d: came to %d, %v", fault, status, got.Status, err)
			}
			if first.count() != 1 || second.count() != 1 {
				t.Errorf("%s, then %d: sent %d and %d times", fault, status, first.count(), second.count())
			}
		}
		first := newStub(t, answer)
		c := New([]string{first.addr()}, shortWait)
		ctx, end := context.WithTimeout(t.Context(), 2*shortWait)
		if _, err := c.Do(ctx, "PUT", "/v1/jobs/a/1", nil); !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("%s, and the caller gave up: %v", fault, err)
		}
		end()
	}
}

// TestOwnAnswer: a gate that answers twice, says more than its answer is long,
// or answers a request that was given up, leaves nothing for the next request.
func TestOwnAnswer(t *testing.T) {
	stray := answerOf(200, "another's")
	answered := sync.Map{}
	for fault, answer := range map[string]func(conn *net.TCPConn, r *http.Request){
		"two answers": func(conn *net.TCPConn, r *http.Request) { always(answerOf(200, r.URL.Path)+stray)(conn, r) },
		"second answer, when the next request comes": func(conn *net.TCPConn, r *http.Request) {
			if _, before := answered.Swap(conn, true); before {
				always(stray)(conn, r)
			}
			always(answerOf(200, r.URL.Path))(conn, r)
		},
		"too long": func(conn *net.TCPConn, r *http.Request) {
			always(answerOf(200, r.URL.Path)+"GET / HTTP/1.1\r\n\r\n"+stray)(conn, r)
		},
		"late": func(conn *net.TCPConn, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "0") {
				// The caller gives up and closes; only then is it answered.
				_, _ = conn.Read(make([]byte, 1))
			}
			always(answerOf(200, r.URL.Path))(conn, r)
		},
	} {
		s := newStub(t, answer)
		c := New([]string{s.addr()}, shortWait)
		c.Attempts = 1
		for i := range 30 {
			path := fmt.Sprintf("/v1/jobs/a/%d", i)
			got, err := c.Do(t.Context(), "PUT", path, []byte("{}"))
			if err == nil && string(got.Body) != path {
				t.Fatalf("%s: %s was answered with %q", fault, path, got.Body)
			}
			if late := fault == "late" && i%10 == 0; (err != nil) != late {
				t.Errorf("%s: %s came to %v", fault, path, err)
			}
		}
	}
}

// TestClosedWhileIdle: where connections are kept, one that the gate closes just
// as a change is sent on it is not repeated behind the caller's back.
func TestClosedWhileIdle(t *testing.T) {
	for _, change := range unrepeatable {
		s := newStub(t, func(conn *net.TCPConn, r *http.Request) {
			if r.Method != "GET" {
				cutOff("")(conn, r)
				return
			}
			always(answerOf(200, "{}"))(conn, r)
		})
		c := NewKeepAlive([]string{s.addr()}, shortWait)
		if got, err := c.Do(t.Context(), "GET", "/v1/table", nil); err != nil || got.Status != 200 {
			t.Fatalf("%d, %v", got.Status, err)
		}
		if _, err := c.Do(t.Context(), change.verb, change.path, nil); !errors.Is(err, ErrOutcomeUnknown) || s.count() != 2 {
			t.Errorf("%s %s: %v, sent %d times", change.verb, change.path, err, s.count()-1)
		}
	}
}

// TestNoRedirection: a request goes to the gate that was asked and no further.
func TestNoRedirection(t *testing.T) {
	for _, status := range []int{301, 302, 303, 307, 308} {
		other := newStub(t, always(answerOf(200, "{}")))
		s := newStub(t, always(fmt.Sprintf("HTTP/1.1 %d X\r\nLocation: http://%s/\r\nContent-Length: 0\r\n\r\n", status, other.addr())))
		got, err := New([]string{s.addr()}, shortWait).Do(t.Context(), "PUT", "/v1/closings/north", []byte("{}"))
		if err != nil || got.Status != status || other.count() != 0 {
			t.Errorf("%d came to %d, %v; another got it %d times", status, got.Status, err, other.count())
		}
	}
}

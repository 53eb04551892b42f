package httpclient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	attemptTimeout = 150 * time.Millisecond
	// longTimeout is for attempts that must receive their response, however busy the
	// machine is.
	longTimeout = 10 * time.Second
)

var nonIdempotent = []struct{ method, path string }{
	{http.MethodPut, "/v1/closings/north"},
	{http.MethodDelete, "/v1/closings/north"},
	{http.MethodPut, "/v1/table"},
	{http.MethodPatch, "/v1/table"},
}

// TestUnknownIsNotRepeated checks that a non-idempotent change is not sent again once a gateway
// may have accepted it: the gateway sent no response, reset the connection after any byte of
// its response, closed it early, or responded that the outcome is unknown.
func TestUnknownIsNotRepeated(t *testing.T) {
	complete := responseText(http.StatusOK, `{"done":true}`)
	faults := map[string]func(*net.TCPConn, *http.Request){
		"no response": neverRespond,
		"too short": func(conn *net.TCPConn, r *http.Request) {
			respondWith(complete[:len(complete)-1])(conn, r)
			conn.Close()
		},
		"outcome unknown": respondWith(responseText(http.StatusGatewayTimeout, `{}`)),
	}
	for n := range len(complete) {
		faults[fmt.Sprintf("a reset after %d bytes", n)] = respondAndReset(complete[:n])
	}
	for fault, answer := range faults {
		for _, change := range nonIdempotent {
			gateway := newFakeGateway(t, answer)
			c := New([]string{gateway.addr(), gateway.addr()}, attemptTimeout)
			got, err := c.Do(t.Context(), change.method, change.path, []byte(`{"base":1}`))
			if gateway.count() != 1 {
				t.Fatalf("%s: %s %s was sent %d times", fault, change.method, change.path, gateway.count())
			}
			if !errors.Is(err, ErrOutcomeUnknown) && got.Status != http.StatusGatewayTimeout {
				t.Errorf("%s: %s %s returned %d, %v", fault, change.method, change.path, got.Status, err)
			}
		}
	}
}

// unknownOutcomes returns gateway behaviors after which the outcome of a request is unknown.
func unknownOutcomes() map[string]func(*net.TCPConn, *http.Request) {
	return map[string]func(*net.TCPConn, *http.Request){
		"no response": neverRespond,
		"reset":       respondAndReset("HTTP/1.1 2"),
		"unknown":     respondWith(responseText(http.StatusGatewayTimeout, `{}`)),
	}
}

// TestIdempotentIsRepeated checks that reads, and changes of jobs, which are identified by their
// IDs, are sent again after a missing response, a reset or a 504.
func TestIdempotentIsRepeated(t *testing.T) {
	for fault, answer := range unknownOutcomes() {
		for _, test := range []struct{ method, path string }{
			{http.MethodPut, "/v1/jobs/a/1"},
			{http.MethodDelete, "/v1/jobs/a/1"},
			{http.MethodGet, "/v1/table"},
		} {
			first := newFakeGateway(t, answer)
			second := newFakeGateway(t, respondWith(responseText(http.StatusOK, test.path)))
			c := New([]string{first.addr(), second.addr()}, attemptTimeout)
			got, err := c.Do(t.Context(), test.method, test.path, nil)
			if err != nil || got.Status != http.StatusOK || string(got.Body) != test.path || got.Gateway != second.addr() {
				t.Errorf("%s: %s %s returned %+v, %v", fault, test.method, test.path, got, err)
			}
		}
	}
}

// TestNotTakenIsRepeated checks that a request that no gateway can have accepted is always sent
// again: when the connection was refused, or the gateway rejected the request.
func TestNotTakenIsRepeated(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	full := newFakeGateway(t, respondWith(responseText(http.StatusServiceUnavailable, `{}`)))
	for _, first := range []string{closed.Addr().String(), full.addr()} {
		for _, change := range nonIdempotent {
			second := newFakeGateway(t, respondWith(responseText(http.StatusOK, `{}`)))
			c := New([]string{first, second.addr()}, attemptTimeout)
			got, err := c.Do(t.Context(), change.method, change.path, nil)
			if err != nil || got.Status != http.StatusOK || second.count() != 1 {
				t.Errorf("%s %s returned %d, %v; sent %d times", change.method, change.path, got.Status, err, second.count())
			}
		}
	}
	c := New([]string{closed.Addr().String()}, attemptTimeout)
	if _, err = c.Do(t.Context(), http.MethodPut, "/v1/table", nil); !errors.Is(err, ErrUnreachable) || errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("no listener: %v", err)
	}
}

// TestUnknownIsNoRefusal checks that once an attempt may have been accepted, neither rejections
// of later attempts nor an unreachable gateway turn the outcome into a rejection.
func TestUnknownIsNoRefusal(t *testing.T) {
	for fault, answer := range unknownOutcomes() {
		for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable} {
			first := newFakeGateway(t, answer)
			second := newFakeGateway(t, respondWith(responseText(status, `{}`)))
			c := New([]string{first.addr(), second.addr()}, attemptTimeout)
			c.Attempts = 1
			if got, err := c.Do(t.Context(), http.MethodPut, "/v1/jobs/a/1", nil); !errors.Is(err, ErrOutcomeUnknown) {
				t.Errorf("%s, then %d: returned %d, %v", fault, status, got.Status, err)
			}
			if first.count() != 1 || second.count() != 1 {
				t.Errorf("%s, then %d: sent %d and %d times", fault, status, first.count(), second.count())
			}
		}
		first := newFakeGateway(t, answer)
		c := New([]string{first.addr()}, attemptTimeout)
		ctx, cancel := context.WithTimeout(t.Context(), 2*attemptTimeout)
		if _, err := c.Do(ctx, http.MethodPut, "/v1/jobs/a/1", nil); !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("%s, and the caller timed out: %v", fault, err)
		}
		cancel()
	}
}

// TestStrayResponsesIgnored checks that the next request never mistakes stray data for its own
// response, after a gateway has responded twice, sent more than the length of its response, or
// responded to an abandoned request.
func TestStrayResponsesIgnored(t *testing.T) {
	stray := responseText(http.StatusOK, "another's")
	answered := sync.Map{}
	for fault, answer := range map[string]func(conn *net.TCPConn, r *http.Request){
		"two responses": func(conn *net.TCPConn, r *http.Request) {
			respondWith(responseText(http.StatusOK, r.URL.Path)+stray)(conn, r)
		},
		"second response when the next request arrives": func(conn *net.TCPConn, r *http.Request) {
			if _, before := answered.Swap(conn, true); before {
				respondWith(stray)(conn, r)
			}
			respondWith(responseText(http.StatusOK, r.URL.Path))(conn, r)
		},
		"too long": func(conn *net.TCPConn, r *http.Request) {
			respondWith(responseText(http.StatusOK, r.URL.Path)+"GET / HTTP/1.1\r\n\r\n"+stray)(conn, r)
		},
		"late": func(conn *net.TCPConn, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "0") {
				// The response is sent only after the caller has timed out and closed.
				_, _ = conn.Read(make([]byte, 1))
			}
			respondWith(responseText(http.StatusOK, r.URL.Path))(conn, r)
		},
	} {
		gateway := newFakeGateway(t, answer)
		c := New([]string{gateway.addr()}, longTimeout)
		c.Attempts = 1
		for i := range 30 {
			path := fmt.Sprintf("/v1/jobs/a/%d", i)
			late := fault == "late" && i%10 == 0
			timeout := longTimeout
			if late {
				timeout = attemptTimeout
			}
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			got, err := c.Do(ctx, http.MethodPut, path, []byte("{}"))
			cancel()
			if err == nil && string(got.Body) != path {
				t.Fatalf("%s: %s was answered with %q", fault, path, got.Body)
			}
			if (err != nil) != late {
				t.Errorf("%s: %s returned %v", fault, path, err)
			}
		}
	}
}

// TestClosedWhileIdle checks that on a persistent connection a change is not resent
// automatically when the gateway closes the connection just as the change is sent.
func TestClosedWhileIdle(t *testing.T) {
	for _, change := range nonIdempotent {
		gateway := newFakeGateway(t, func(conn *net.TCPConn, r *http.Request) {
			if r.Method != http.MethodGet {
				respondAndReset("")(conn, r)
				return
			}
			respondWith(responseText(http.StatusOK, "{}"))(conn, r)
		})
		c := NewKeepAlive([]string{gateway.addr()}, attemptTimeout)
		if got, err := c.Do(t.Context(), http.MethodGet, "/v1/table", nil); err != nil || got.Status != http.StatusOK {
			t.Fatalf("%d, %v", got.Status, err)
		}
		if _, err := c.Do(t.Context(), change.method, change.path, nil); !errors.Is(err, ErrOutcomeUnknown) || gateway.count() != 2 {
			t.Errorf("%s %s: %v, sent %d times", change.method, change.path, err, gateway.count()-1)
		}
	}
}

// TestNoRedirection checks that redirects are not followed.
func TestNoRedirection(t *testing.T) {
	for _, status := range []int{301, 302, 303, 307, 308} {
		other := newFakeGateway(t, respondWith(responseText(http.StatusOK, "{}")))
		header := fmt.Sprintf("Location: http://%s/\r\nContent-Length: 0\r\n", other.addr())
		redirection := fmt.Sprintf("HTTP/1.1 %d X\r\n%s\r\n", status, header)
		gateway := newFakeGateway(t, respondWith(redirection))
		got, err := New([]string{gateway.addr()}, attemptTimeout).Do(t.Context(), http.MethodPut, "/v1/closings/north", []byte("{}"))
		if err != nil || got.Status != status || other.count() != 0 {
			t.Errorf("%d returned %d, %v; another got it %d times", status, got.Status, err, other.count())
		}
	}
}

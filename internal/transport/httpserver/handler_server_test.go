package httpserver

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"orchidward/internal/daemon/lifecycle"
)

// waitUntilClosed waits until connections to an address are refused.
func waitUntilClosed(t *testing.T, addr string) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		conn.Close()
	}
	t.Fatal("still listening")
}

// serveInFlight starts a server with one request in flight, which is answered when release is
// closed. got receives the result that its client sees.
func serveInFlight(t *testing.T, group *lifecycle.Group) (s *Server, release chan bool, got chan string) {
	t.Helper()
	entered := make(chan bool)
	release = make(chan bool)
	got = make(chan string, 1)
	s, err := NewHandlerServer("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			entered <- true
			<-release
		}
		_, _ = w.Write([]byte("complete"))
	}))
	if err != nil {
		t.Fatal(err)
	}
	s.Serve(group)
	group.Go(func(<-chan struct{}) {
		res, err := http.Get("http://" + s.Addr() + "/slow")
		if err != nil {
			got <- "failed: " + err.Error()
			return
		}
		defer res.Body.Close()
		line, _ := bufio.NewReader(res.Body).ReadString(0)
		if !res.Close {
			line += ", and the connection stays open"
		}
		got <- line
	})
	<-entered
	return s, release, got
}

// TestStopWaitsForInFlight checks that a request that is still in flight after the drain delay,
// when the listener is closed, is answered completely, however long it takes.
func TestStopWaitsForInFlight(t *testing.T) {
	group := lifecycle.New()
	defer group.Stop(context.Background())
	s, release, got := serveInFlight(t, group)
	s.DrainDelay = 0
	stopped := make(chan error, 1)
	group.Go(func(<-chan struct{}) { stopped <- s.Stop(context.Background()) })
	waitUntilClosed(t, s.Addr())
	close(release)
	if text := <-got; text != "complete" {
		t.Errorf("past the drain delay, the request in flight got %q", text)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// TestDrainClosesConnections checks that a draining server accepts requests, and that every
// response carries "Connection: close", including responses to requests that were in flight
// when the drain began.
func TestDrainClosesConnections(t *testing.T) {
	group := lifecycle.New()
	defer group.Stop(context.Background())
	s, release, got := serveInFlight(t, group)
	if s.DrainDelay != defaultDrainDelay {
		t.Errorf("drain delay %v, want the default", s.DrainDelay)
	}
	conn, res := get(t, s.Addr(), "/")
	conn.Close()
	if res.StatusCode != http.StatusOK || res.Close {
		t.Errorf("before the stop: status %d, closes connection: %v", res.StatusCode, res.Close)
	}
	s.DrainDelay = time.Hour
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	group.Go(func(<-chan struct{}) { stopped <- s.Stop(ctx) })
	for until := time.Now().Add(30 * time.Second); !s.Stopping(); {
		if time.Now().After(until) {
			t.Fatal("the stop did not begin")
		}
	}
	conn, res = get(t, s.Addr(), "/")
	conn.Close()
	if res.StatusCode != http.StatusOK || !res.Close {
		t.Errorf("while draining: status %d, closes connection: %v", res.StatusCode, res.Close)
	}
	close(release)
	if text := <-got; text != "complete" {
		t.Errorf("the request in flight got %q", text)
	}
	cancel()
	<-stopped
	waitUntilClosed(t, s.Addr())
}

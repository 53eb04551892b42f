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

// gone waits until nobody listens on the address.
func gone(t *testing.T, addr string) {
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

// held is a server with one request in hand, which goes on when out is closed.
func held(t *testing.T, c *lifecycle.Group) (s *Server, out chan bool, got chan string) {
	t.Helper()
	in := make(chan bool)
	out, got = make(chan bool), make(chan string, 1)
	s, err := NewHandlerServer("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			in <- true
			<-out
		}
		_, _ = w.Write([]byte("whole"))
	}))
	if err != nil {
		t.Fatal(err)
	}
	s.Serve(c)
	c.Go(func(<-chan struct{}) {
		res, err := http.Get("http://" + s.Addr() + "/slow")
		if err != nil {
			got <- "broke off: " + err.Error()
			return
		}
		defer res.Body.Close()
		line, _ := bufio.NewReader(res.Body).ReadString(0)
		if !res.Close {
			line += ", and the connection stays"
		}
		got <- line
	})
	<-in
	return s, out, got
}

// TestStopWaits: a request still in hand when the drain delay is over and the
// listener has closed is answered whole, however long it takes.
func TestStopWaits(t *testing.T) {
	c := lifecycle.New()
	defer c.Stop(context.Background())
	s, out, got := held(t, c)
	s.DrainDelay = 0
	over := make(chan error, 1)
	c.Go(func(<-chan struct{}) { over <- s.Stop(context.Background()) })
	gone(t, s.Addr())
	close(out)
	if text := <-got; text != "whole" {
		t.Errorf("past the drain delay, the request in hand got %q", text)
	}
	if err := <-over; err != nil {
		t.Error(err)
	}
}

// TestBareParts: while a bare server parts it takes requests, and every answer,
// also of those taken in before, says that its connection closes.
func TestBareParts(t *testing.T) {
	c := lifecycle.New()
	defer c.Stop(context.Background())
	s, out, got := held(t, c)
	if s.DrainDelay != defaultDrainDelay {
		t.Errorf("parts for %v", s.DrainDelay)
	}
	conn, res := get(t, s.Addr(), "/")
	conn.Close()
	if res.StatusCode != 200 || res.Close {
		t.Errorf("before the stop: %d, closes: %v", res.StatusCode, res.Close)
	}
	s.DrainDelay = time.Hour
	ctx, end := context.WithCancel(context.Background())
	over := make(chan error, 1)
	c.Go(func(<-chan struct{}) { over <- s.Stop(ctx) })
	for until := time.Now().Add(30 * time.Second); !s.Stopping(); {
		if time.Now().After(until) {
			t.Fatal("the stop did not begin")
		}
	}
	conn, res = get(t, s.Addr(), "/")
	conn.Close()
	if res.StatusCode != 200 || !res.Close {
		t.Errorf("while draining: %d, closes: %v", res.StatusCode, res.Close)
	}
	close(out)
	if text := <-got; text != "whole" {
		t.Errorf("the request in hand got %q", text)
	}
	end()
	<-over
	gone(t, s.Addr())
}

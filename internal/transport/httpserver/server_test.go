package httpserver

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/gin-gonic/gin"

	"orchidward/internal/daemon/lifecycle"
)

func ask(t *testing.T, addr string) (conn net.Conn, res *http.Response) {
	return get(t, addr, "/live")
}

func get(t *testing.T, addr, path string) (conn net.Conn, res *http.Response) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	req, err := http.NewRequest("GET", "http://"+addr+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = req.Write(conn)
	if res, err = http.ReadResponse(bufio.NewReader(conn), req); err != nil {
		t.Fatal(err)
	}
	return conn, res
}

// TestCrowdIsTurnedAway: a full process says so at once and when to come back,
// and takes callers again as soon as others leave.
func TestCrowdIsTurnedAway(t *testing.T) {
	s, err := New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.listener.limit = 3
	c := lifecycle.New()
	s.Serve(c)
	defer c.Stop(context.Background())
	defer s.http.Close()
	held := []net.Conn{}
	for i := 0; i < 3; i++ {
		conn, res := ask(t, s.Addr())
		if res.StatusCode != 200 {
			t.Fatalf("caller %d got %d", i, res.StatusCode)
		}
		held = append(held, conn)
	}
	if _, res := ask(t, s.Addr()); res.StatusCode != 503 || res.Header.Get("Retry-After") == "" {
		t.Errorf("one too many got %d", res.StatusCode)
	}
	held[0].Close()
	for end := time.Now().Add(30 * time.Second); s.listener.open.Load() > 2; {
		if time.Now().After(end) {
			t.Fatal("a closed connection is still counted")
		}
	}
	if _, res := ask(t, s.Addr()); res.StatusCode != 200 {
		t.Errorf("after one left, the next got %d", res.StatusCode)
	}
}

// TestPoliteStop: a request in hand when the stop begins is answered whole,
// and the process is not ready from that moment on.
func TestPoliteStop(t *testing.T) {
	s, err := New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	in, out := make(chan bool), make(chan bool)
	s.Gin.GET("/slow", func(c *gin.Context) {
		in <- true
		<-out
		c.String(200, "whole")
	})
	s.SetReady(true)
	c := lifecycle.New()
	s.Serve(c)
	defer c.Stop(context.Background())
	got := make(chan string, 1)
	c.Go(func(<-chan struct{}) {
		res, err := http.Get("http://" + s.Addr() + "/slow")
		if err != nil {
			got <- err.Error()
			return
		}
		defer res.Body.Close()
		line, _ := bufio.NewReader(res.Body).ReadString(0)
		got <- line
	})
	<-in
	over := make(chan error, 1)
	c.Go(func(<-chan struct{}) { over <- s.Stop(context.Background()) })
	for end := time.Now().Add(30 * time.Second); !s.Stopping(); {
		if time.Now().After(end) {
			t.Fatal("the stop did not begin")
		}
	}
	if _, res := get(t, s.Addr(), "/ready"); res.StatusCode != 503 {
		t.Errorf("a stopping process says %d to /ready", res.StatusCode)
	}
	out <- true
	if text := <-got; text != "whole" {
		t.Errorf("the request in hand got %q", text)
	}
	if err = <-over; err != nil {
		t.Error(err)
	}
}

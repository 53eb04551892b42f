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

// get sends a request on a new connection, which stays open.
func get(t *testing.T, addr, path string) (conn net.Conn, res *http.Response) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
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

// TestConnectionLimit checks that a server at its connection limit rejects further connections
// immediately with Retry-After, and accepts connections again once others are closed.
func TestConnectionLimit(t *testing.T) {
	s, err := New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.listener.limit = 3
	serve(t, s)
	var open []net.Conn
	for i := 0; i < 3; i++ {
		conn, res := get(t, s.Addr(), "/live")
		if res.StatusCode != http.StatusOK {
			t.Fatalf("client %d got %d", i, res.StatusCode)
		}
		open = append(open, conn)
	}
	if _, res := get(t, s.Addr(), "/live"); res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
		t.Errorf("connection over the limit got %d", res.StatusCode)
	}
	open[0].Close()
	for end := time.Now().Add(30 * time.Second); s.listener.open.Load() > 2; {
		if time.Now().After(end) {
			t.Fatal("a closed connection is still counted")
		}
	}
	if _, res := get(t, s.Addr(), "/live"); res.StatusCode != http.StatusOK {
		t.Errorf("after one was closed, the next connection got %d", res.StatusCode)
	}
}

// TestStopAnswersInFlight checks that a request in flight when the stop begins is answered
// completely, and that the server reports not ready from then on.
func TestStopAnswersInFlight(t *testing.T) {
	s, err := New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	entered := make(chan bool)
	release := make(chan bool)
	s.Gin.GET("/slow", func(c *gin.Context) {
		entered <- true
		<-release
		c.String(http.StatusOK, "complete")
	})
	s.SetReady(true)
	group := lifecycle.New()
	s.Serve(group)
	defer group.Stop(context.Background())
	got := make(chan string, 1)
	group.Go(func(<-chan struct{}) {
		res, err := http.Get("http://" + s.Addr() + "/slow")
		if err != nil {
			got <- err.Error()
			return
		}
		defer res.Body.Close()
		line, _ := bufio.NewReader(res.Body).ReadString(0)
		got <- line
	})
	<-entered
	stopped := make(chan error, 1)
	group.Go(func(<-chan struct{}) { stopped <- s.Stop(context.Background()) })
	for end := time.Now().Add(30 * time.Second); !s.Stopping(); {
		if time.Now().After(end) {
			t.Fatal("the stop did not begin")
		}
	}
	if _, res := get(t, s.Addr(), "/ready"); res.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("a stopping server answers /ready with %d", res.StatusCode)
	}
	release <- true
	if text := <-got; text != "complete" {
		t.Errorf("the request in flight got %q", text)
	}
	if err = <-stopped; err != nil {
		t.Error(err)
	}
}

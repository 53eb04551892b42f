package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestResponseToClosedConnectionDropped checks that the response to a request whose client has
// closed the connection is dropped, and that requests on a later connection get their own
// responses.
func TestResponseToClosedConnectionDropped(t *testing.T) {
	entered := make(chan bool)
	release := make(chan bool)
	s, err := NewHandlerServer("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			entered <- true
			<-release
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}))
	if err != nil {
		t.Fatal(err)
	}
	serve(t, s)
	first, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(first, rawRequest("PUT", "/slow", "1", withLength(0), "")+rawRequest("PUT", "/behind", "2", withLength(0), ""))
	<-entered
	_ = first.(*net.TCPConn).SetLinger(0)
	first.Close()
	second, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	_ = second.SetDeadline(time.Now().Add(exchangeTimeout))
	close(release)
	for _, path := range []string{"/one", "/two"} {
		_, _ = io.WriteString(second, rawRequest("GET", path, "3", "", ""))
	}
	reader := bufio.NewReader(second)
	for _, path := range []string{"/one", "/two"} {
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, _ := io.ReadAll(res.Body); string(body) != path {
			t.Errorf("%s was answered with %q", path, body)
		}
	}
}

// TestResetWithinBodyIsError checks that reading a body fails when the connection is reset
// after any byte but the last.
func TestResetWithinBodyIsError(t *testing.T) {
	const body = "abcdefgh"
	entered := make(chan bool)
	outcome := make(chan error)
	s, err := NewHandlerServer("127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		entered <- true
		_, err := io.ReadAll(r.Body)
		outcome <- err
	}))
	if err != nil {
		t.Fatal(err)
	}
	serve(t, s)
	for n := range len(body) {
		for _, head := range []string{withLength(len(body)), chunked} {
			text := rawRequest("PUT", "/a", "1", head, "")
			if head == chunked {
				text += fmt.Sprintf("%x\r\n", len(body))
			}
			conn, err := net.Dial("tcp", s.Addr())
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(conn, text+body[:n])
			<-entered
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
			if err = <-outcome; err == nil {
				t.Errorf("a body with %d of %d bytes received was read as complete", n, len(body))
			}
		}
	}
}

package link

import (
	"bufio"
	"context"
	"net"
	"runtime"
	"testing"
	"time"

	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/transport/wire"
)

// waitFor waits until something holds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// received is one frame and the line that it came on.
type received struct {
	from    wire.Peer
	message wire.Message
}

// listen makes a link whose frames go to a channel, until the test ends.
func listen(t *testing.T) (l *Link, in chan received) {
	t.Helper()
	c := lifecycle.New()
	l, err := Listen("127.0.0.1:0", c)
	if err != nil {
		t.Fatal(err)
	}
	in = make(chan received, 1024)
	l.Serve(func(from wire.Peer, msg wire.Message) { in <- received{from, msg} })
	t.Cleanup(func() { _ = c.Stop(context.Background()) })
	return l, in
}

func request(id uint64) wire.Message {
	return wire.Message{Request: &wire.Request{ID: id, Method: "GET", Path: "/"}}
}

func response(id uint64) wire.Message {
	return wire.Message{Response: &wire.Response{ID: id, Status: 200}}
}

// remoteProcess is a process at the other end of one connection.
type remoteProcess struct {
	net.Conn
	decoder *wire.Decoder
}

func newRemoteProcess(t *testing.T, conn net.Conn) *remoteProcess {
	t.Helper()
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return &remoteProcess{conn, wire.NewDecoder(bufio.NewReader(conn))}
}

// dialAndRequest dials a link and sends one request on the line.
func dialAndRequest(t *testing.T, to *Link, id uint64) *remoteProcess {
	t.Helper()
	conn, err := net.Dial("tcp", to.Addr())
	if err != nil {
		t.Fatal(err)
	}
	if err = wire.NewEncoder(conn).Encode(request(id)); err != nil {
		t.Fatal(err)
	}
	return newRemoteProcess(t, conn)
}

// connectionCount is how many lines a link has.
func (l *Link) connectionCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.connections)
}

// TestReplyToClosedConnectionDropped: a reply goes out on the connection that its
// request came on; once that is gone it is dropped, whoever has connected since
// and whatever number their requests bear.
func TestReplyToClosedConnectionDropped(t *testing.T) {
	l, in := listen(t)
	first := dialAndRequest(t, l, 5)
	gone := (<-in).from
	first.Close()
	waitFor(t, "a closed connection stays", func() bool { return l.connectionCount() == 0 })
	second := dialAndRequest(t, l, 5)
	here := (<-in).from
	if gone == here {
		t.Errorf("two connections have one name, %s", here)
	}
	_, before := l.FrameCounts()
	l.Send(gone, response(5))
	if _, lost := l.FrameCounts(); lost != before+1 || l.connectionCount() != 1 {
		t.Errorf("%d replies dropped, %d lines", lost-before, l.connectionCount())
	}
	l.Send(here, response(6))
	got, err := second.decoder.Decode()
	if err != nil || got.Response == nil || got.Response.ID != 6 {
		t.Errorf("the second caller got %+v, %v; want its own reply alone", got.Response, err)
	}
}

const (
	queuedRequests = 300
	largeBodyBytes = 64 << 10
	lastID         = 1 << 40
)

// TestQueuedMessagesNotSentToSuccessor: what waits for a process whose line is lost goes to
// nobody else that listens at its address next; that one gets what is sent from
// then on.
func TestQueuedMessagesNotSentToSuccessor(t *testing.T) {
	l, _ := listen(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	to := wire.Peer(addr)
	for id := range uint64(queuedRequests) {
		l.Send(to, wire.Message{Request: &wire.Request{ID: id, Method: "PUT", Path: "/", Body: make([]byte, largeBodyBytes)}})
	}
	first, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	again, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	_ = first.(*net.TCPConn).SetLinger(0)
	first.Close()
	_ = again.(*net.TCPListener).SetDeadline(time.Now().Add(20 * time.Second))
	conn, err := again.Accept()
	if err != nil {
		t.Fatal(err)
	}
	l.Send(to, request(lastID))
	if got, err := newRemoteProcess(t, conn).decoder.Decode(); err != nil || got.Request == nil || got.Request.ID != lastID {
		t.Errorf("who listens now got what waited for another: %v, %v", got.Request != nil && got.Request.ID < queuedRequests, err)
	}
}

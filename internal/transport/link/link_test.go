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
	from wire.Peer
	msg  wire.Message
}

// open makes a link whose frames go to a channel, until the test ends.
func open(t *testing.T) (l *Link, in chan received) {
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

func ask(id uint64) wire.Message {
	return wire.Message{Request: &wire.Request{ID: id, Method: "GET", Path: "/"}}
}

func reply(id uint64) wire.Message {
	return wire.Message{Response: &wire.Response{ID: id, Status: 200}}
}

// far is a process at the other end of one connection.
type far struct {
	net.Conn
	dec *wire.Decoder
}

func newFar(t *testing.T, conn net.Conn) *far {
	t.Helper()
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return &far{conn, wire.NewDecoder(bufio.NewReader(conn))}
}

// call dials a link and sends one request on the line.
func call(t *testing.T, to *Link, id uint64) *far {
	t.Helper()
	conn, err := net.Dial("tcp", to.Addr())
	if err != nil {
		t.Fatal(err)
	}
	if err = wire.NewEncoder(conn).Encode(ask(id)); err != nil {
		t.Fatal(err)
	}
	return newFar(t, conn)
}

// count is how many lines a link has.
func (l *Link) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.lines)
}

// TestReplyToALineThatIsGone: a reply goes out on the connection that its
// request came on; once that is gone it is dropped, whoever has connected since
// and whatever number their requests bear.
func TestReplyToALineThatIsGone(t *testing.T) {
	l, in := open(t)
	first := call(t, l, 5)
	gone := (<-in).from
	first.Close()
	waitFor(t, "a closed connection stays", func() bool { return l.count() == 0 })
	second := call(t, l, 5)
	here := (<-in).from
	if gone == here {
		t.Errorf("two connections have one name, %s", here)
	}
	_, before := l.FrameCounts()
	l.Send(gone, reply(5))
	if _, lost := l.FrameCounts(); lost != before+1 || l.count() != 1 {
		t.Errorf("%d replies dropped, %d lines", lost-before, l.count())
	}
	l.Send(here, reply(6))
	got, err := second.dec.Decode()
	if err != nil || got.Response == nil || got.Response.ID != 6 {
		t.Errorf("the second caller got %+v, %v; want its own reply alone", got.Response, err)
	}
}

const (
	waiting   = 300
	largeBody = 64 << 10
	last      = 1 << 40
)

// TestAnotherAtTheAddress: what waits for a process whose line is lost goes to
// nobody else that listens at its address next; that one gets what is sent from
// then on.
func TestAnotherAtTheAddress(t *testing.T) {
	l, _ := open(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	to := wire.Peer(addr)
	for id := range uint64(waiting) {
		l.Send(to, wire.Message{Request: &wire.Request{ID: id, Method: "PUT", Path: "/", Body: make([]byte, largeBody)}})
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
	l.Send(to, ask(last))
	if got, err := newFar(t, conn).dec.Decode(); err != nil || got.Request == nil || got.Request.ID != last {
		t.Errorf("who listens now got what waited for another: %v, %v", got.Request != nil && got.Request.ID < waiting, err)
	}
}

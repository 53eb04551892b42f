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

// testTimeout bounds how long a test waits for an expected event.
const testTimeout = 20 * time.Second

// waitFor waits until a condition is met.
func waitFor(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); runtime.Gosched() {
		if time.Now().After(deadline) {
			t.Fatal(failure)
		}
	}
}

// received is a message and the peer that sent it.
type received struct {
	from    wire.Peer
	message wire.Message
}

// listen returns a link and a channel of its received messages. The link runs until the test
// ends.
func listen(t *testing.T) (*Link, <-chan received) {
	t.Helper()
	group := lifecycle.New()
	l, err := Listen("127.0.0.1:0", group)
	if err != nil {
		t.Fatal(err)
	}
	in := make(chan received, 1024)
	l.Serve(func(from wire.Peer, message wire.Message) { in <- received{from, message} })
	t.Cleanup(func() { _ = group.Stop(context.Background()) })
	return l, in
}

// connectionCount returns the number of connections of a link.
func (l *Link) connectionCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.connections)
}

func request(id uint64) wire.Message {
	return wire.Message{Request: &wire.Request{ID: id, Method: "GET", Path: "/"}}
}

func response(id uint64) wire.Message {
	return wire.Message{Response: &wire.Response{ID: id, Status: 200}}
}

// remoteProcess is a process at the remote end of a connection.
type remoteProcess struct {
	net.Conn
	decoder *wire.Decoder
}

func newRemoteProcess(t *testing.T, conn net.Conn) *remoteProcess {
	t.Helper()
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return &remoteProcess{conn, wire.NewDecoder(bufio.NewReader(conn))}
}

// dialAndRequest dials a link and sends one request on the connection.
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

// TestReplyToClosedConnectionDropped checks that a reply is sent only on the connection on
// which its request arrived. Once that connection is closed the reply is dropped, even if
// another process has connected since and uses the same request ID.
func TestReplyToClosedConnectionDropped(t *testing.T) {
	l, in := listen(t)
	first := dialAndRequest(t, l, 5)
	firstPeer := (<-in).from
	first.Close()
	waitFor(t, "a closed connection is not removed", func() bool { return l.connectionCount() == 0 })
	second := dialAndRequest(t, l, 5)
	secondPeer := (<-in).from
	if firstPeer == secondPeer {
		t.Errorf("two connections have the same peer, %s", secondPeer)
	}
	before := l.Counts().Dropped
	l.Send(firstPeer, response(5))
	if dropped := l.Counts().Dropped; dropped != before+1 || l.connectionCount() != 1 {
		t.Errorf("%d replies dropped, %d connections", dropped-before, l.connectionCount())
	}
	l.Send(secondPeer, response(6))
	got, err := second.decoder.Decode()
	if err != nil || got.Response == nil || got.Response.ID != 6 {
		t.Errorf("the second caller got %+v, %v; want its own reply alone", got.Response, err)
	}
}

// TestQueuedMessagesNotSentToSuccessor checks that messages queued for a process whose
// connection is lost are not sent to another process that listens at the same address later,
// and that the new process receives the messages sent from then on.
func TestQueuedMessagesNotSentToSuccessor(t *testing.T) {
	const (
		queuedRequests = 300
		largeBodyBytes = 64 << 10
		lastID         = 1 << 40
	)
	l, _ := listen(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	to := wire.Peer(addr)
	for id := range uint64(queuedRequests) {
		l.Send(to, wire.Message{Request: &wire.Request{ID: id, Method: "PUT", Path: "/", Body: make([]byte, largeBodyBytes)}})
	}
	first, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	successor, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer successor.Close()
	_ = first.(*net.TCPConn).SetLinger(0)
	first.Close()
	_ = successor.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout))
	conn, err := successor.Accept()
	if err != nil {
		t.Fatal(err)
	}
	l.Send(to, request(lastID))
	if got, err := newRemoteProcess(t, conn).decoder.Decode(); err != nil || got.Request == nil || got.Request.ID != lastID {
		t.Errorf("the new listener got messages queued for another process: %v, %v", got.Request != nil && got.Request.ID < queuedRequests, err)
	}
}

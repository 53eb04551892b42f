package link

import (
	"context"
	"net"
	"testing"
	"time"

	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/transport/wire"
)

const (
	// shortIdleTimeout is the idle timeout of links whose connections may become idle.
	shortIdleTimeout = 100 * time.Millisecond
	// longIdleTimeout is the idle timeout of links whose connections must not become idle, even
	// if the test is delayed.
	longIdleTimeout = 2 * time.Second
)

// listenWithIdleTimeout returns a link with the given idle timeout and a channel of its
// received messages. The link runs until the test ends.
func listenWithIdleTimeout(t *testing.T, idle time.Duration) (*Link, <-chan received) {
	t.Helper()
	group := lifecycle.New()
	l, err := Listen("127.0.0.1:0", group)
	if err != nil {
		t.Fatal(err)
	}
	l.idleTimeout = idle
	in := make(chan received, 1024)
	l.Serve(func(from wire.Peer, message wire.Message) { in <- received{from, message} })
	t.Cleanup(func() { _ = group.Stop(context.Background()) })
	return l, in
}

// TestIdleConnectionAnswered checks that a process that has sent requests for a long time
// without receiving a response, as a gateway does with a follower, still receives a response
// on the same connection.
func TestIdleConnectionAnswered(t *testing.T) {
	l, in := listenWithIdleTimeout(t, shortIdleTimeout)
	caller := dialAndRequest(t, l, 1)
	peer := (<-in).from
	encoder := wire.NewEncoder(caller)
	for id := uint64(2); id < 8; id++ {
		time.Sleep(shortIdleTimeout / 2)
		if err := encoder.Encode(request(id)); err != nil {
			t.Fatal(err)
		}
		if got := <-in; got.from != peer || got.message.Request.ID != id {
			t.Fatalf("request %d was received as %d from %s", id, got.message.Request.ID, got.from)
		}
	}
	const shortWait = 3 * time.Second
	_ = caller.SetDeadline(time.Now().Add(shortWait))
	l.Send(peer, response(7))
	if got, err := caller.decoder.Decode(); err != nil || got.Response == nil || got.Response.ID != 7 {
		t.Errorf("no response on a connection that is still read: %v", err)
	}
}

// TestIdleConnectionEndsOnBothSides checks that a connection on which nothing is sent or
// received is closed by the dialling side and removed on both sides.
func TestIdleConnectionEndsOnBothSides(t *testing.T) {
	dialling, _ := listenWithIdleTimeout(t, shortIdleTimeout)
	accepting, in := listenWithIdleTimeout(t, shortIdleTimeout)
	dialling.Send(wire.Peer(accepting.Addr()), request(1))
	<-in
	waitFor(t, "the dialling side keeps an idle connection", func() bool { return dialling.connectionCount() == 0 })
	waitFor(t, "the accepting side keeps an idle connection", func() bool { return accepting.connectionCount() == 0 })
}

// TestReceivingConnectionNotIdle checks that a connection is kept while only responses arrive
// on it, long after the last request.
func TestReceivingConnectionNotIdle(t *testing.T) {
	dialling, responses := listenWithIdleTimeout(t, longIdleTimeout)
	accepting, in := listenWithIdleTimeout(t, longIdleTimeout)
	dialling.Send(wire.Peer(accepting.Addr()), request(1))
	peer := (<-in).from
	for id := range uint64(7) {
		time.Sleep(longIdleTimeout / 3)
		accepting.Send(peer, response(id))
		select {
		case got := <-responses:
			if got.message.Response == nil || got.message.Response.ID != id {
				t.Fatalf("response %d was received as %+v", id, got.message.Response)
			}
		case <-time.After(testTimeout):
			t.Fatalf("response %d did not come", id)
		}
	}
}

// TestRefusingPeerNotDialledForNothing checks that a peer that closes each connection at once,
// as a peer at its connection limit does, is dialled at most twice for a message, and then not
// until there is another one.
func TestRefusingPeerNotDialledForNothing(t *testing.T) {
	l, _ := listen(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	accepted := make(chan struct{}, 1024)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			conn.Close()
		}
	}()
	const maxDialsAMessage = 2
	for id := range uint64(3) {
		l.Send(wire.Peer(listener.Addr().String()), request(id))
		waitFor(t, "a connection to a rejecting peer is kept", func() bool { return len(accepted) > 0 && l.connectionCount() == 0 })
		time.Sleep(5 * redialInterval)
		if dials := len(accepted); dials > maxDialsAMessage {
			t.Fatalf("dialled %d times for message %d", dials, id)
		}
		for len(accepted) > 0 {
			<-accepted
		}
	}
}

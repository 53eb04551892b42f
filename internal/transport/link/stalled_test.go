package link

import (
	"net"
	"testing"
	"time"

	"orchidward/internal/transport/wire"
)

// TestStalledConnectionReported checks that a connection whose messages are not dequeued is
// reported once after the limit has passed, and again only after it has made progress.
func TestStalledConnectionReported(t *testing.T) {
	const limit = 2 * time.Second
	l, _ := listen(t)
	peer := wire.AcceptedPeer(99)
	c := newConnection()
	l.connections[peer] = c
	now := time.Unix(1000, 0)
	check := func(after time.Duration) int {
		now = now.Add(after)
		return len(l.TakeStalled(now, limit))
	}
	for range 2 {
		if check(time.Minute) != 0 {
			t.Error("a connection without messages is reported")
		}
	}
	l.Send(peer, response(1))
	l.Send(peer, response(2))
	if check(limit/2) != 0 {
		t.Error("reported before the limit")
	}
	if check(limit) != 1 {
		t.Error("not reported after the limit")
	}
	if check(limit) != 0 {
		t.Error("reported twice")
	}
	<-c.queue.Out()
	c.dequeued.Add(1)
	if check(limit/2) != 0 || check(limit) != 1 {
		t.Error("not reported again after progress")
	}
}

// TestCounts checks that accepted connections, dialled connections and failed dials are
// counted.
func TestCounts(t *testing.T) {
	l, _ := listen(t)
	other, in := listen(t)
	l.Send(wire.Peer(other.Addr()), request(1))
	<-in
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unusedAddr := unused.Addr().String()
	unused.Close()
	l.Send(wire.Peer(unusedAddr), request(2))
	waitFor(t, "a failed dial is not counted", func() bool { return l.Counts().DialFailures > 0 })
	if counts := l.Counts(); counts.Dialled != 1 || counts.Sent != 2 {
		t.Errorf("the dialling side counts %+v", counts)
	}
	if counts := other.Counts(); counts.Accepted != 1 {
		t.Errorf("the accepting side counts %+v", counts)
	}
}

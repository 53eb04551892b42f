package link

import (
	"cmp"
	"slices"
	"time"

	"orchidward/internal/transport/wire"
)

// queueProgress records the progress of a connection's queue as of the last check.
type queueProgress struct {
	dequeued uint64
	since    time.Time
	reported bool
}

// StalledConnection describes a connection whose queued messages are not being sent.
type StalledConnection struct {
	Peer wire.Peer
	// Queued is the number of messages in the queue.
	Queued int
}

// TakeStalled returns the connections, sorted by peer, whose messages have been queued for at
// least limit without any being dequeued. A connection is returned once, and again only after
// it has made progress in between. TakeStalled must be called regularly, at intervals shorter
// than limit.
func (l *Link) TakeStalled(now time.Time, limit time.Duration) []StalledConnection {
	l.mu.Lock()
	defer l.mu.Unlock()
	var stalled []StalledConnection
	for peer, c := range l.connections {
		if c.stalled(now, limit) {
			stalled = append(stalled, StalledConnection{Peer: peer, Queued: c.queue.Len()})
		}
	}
	slices.SortFunc(stalled, func(a, b StalledConnection) int { return cmp.Compare(a.Peer, b.Peer) })
	return stalled
}

// stalled checks the queue and reports whether it is newly found to be stalled.
func (c *connection) stalled(now time.Time, limit time.Duration) bool {
	dequeued := c.dequeued.Load()
	if c.queue.Len() == 0 || dequeued != c.progress.dequeued || c.progress.since.IsZero() {
		c.progress = queueProgress{dequeued: dequeued, since: now}
		return false
	}
	if c.progress.reported || now.Sub(c.progress.since) < limit {
		return false
	}
	c.progress.reported = true
	return true
}

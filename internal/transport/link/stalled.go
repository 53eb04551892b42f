package link

import (
	"cmp"
	"slices"
	"time"

	"orchidward/internal/transport/wire"
)

// queueProgress is what the last check saw of a connection's queue.
type queueProgress struct {
	dequeued uint64
	since    time.Time
	reported bool
}

// StalledConnection is a connection for which messages wait while none is taken to be
// sent.
type StalledConnection struct {
	Peer wire.Peer
	// Queued is how many messages wait.
	Queued int
}

// TakeStalled returns the connections, in the order of their peers, for which messages
// have waited at least limit without one being taken. Each is returned once, until it
// makes progress again. It is to be called regularly, more often than limit.
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

// stalled checks the queue, and reports whether it has now been found to stand still.
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

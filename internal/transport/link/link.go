package link

import (
	"net"
	"sync"
	"time"

	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/transport/wire"
)

const (
	// queueLength is the capacity of the send queue of one connection.
	queueLength = 4096
	// maxConnections bounds the connections, dialled and accepted together.
	maxConnections = 1024
)

// Handler handles received messages. It must not block for long.
type Handler func(from wire.Peer, message wire.Message)

// Link sends and receives messages over TCP, with one connection for each peer.
// Messages can be lost and are not acknowledged. It is safe for concurrent use.
type Link struct {
	group   *lifecycle.Group
	handler Handler
	// idleTimeout is how long a dialled connection may go without a message sent or received
	// before it is closed; tests shorten it.
	idleTimeout time.Duration
	listener    net.Listener

	mu          sync.Mutex
	connections map[wire.Peer]*connection
	// accepted counts the connections accepted so far.
	accepted uint64
	closed   bool
	counts   Counts
}

// Counts holds counters of a link since its start.
type Counts struct {
	// Sent counts messages accepted for sending. Dropped counts messages that Send discarded
	// because their queue was full or their peer must not be dialled. A message that found its
	// queue full counts as both.
	Sent    uint64
	Dropped uint64
	// Accepted and Dialled count connections, DialFailures counts failed dials.
	Accepted     uint64
	Dialled      uint64
	DialFailures uint64
}

// Listen opens a link that listens on addr. It receives messages once Serve is called. The
// link's goroutines run in group.
func Listen(addr string, group *lifecycle.Group) (*Link, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Link{group: group, listener: listener, idleTimeout: idleTimeout, connections: map[wire.Peer]*connection{}}, nil
}

// Addr returns the listening address, with the actual port if port 0 was requested.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// Serve starts accepting connections and returns immediately. It must be called before the
// first Send. The handler is called from one goroutine per connection, so calls may be
// concurrent.
func (l *Link) Serve(handler Handler) {
	l.handler = handler
	l.group.Go(func(_ <-chan struct{}) { l.acceptLoop() })
	l.group.Go(func(stop <-chan struct{}) {
		<-stop
		l.Close()
	})
}

// Close stops listening and closes all connections, without waiting for their goroutines.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.listener.Close()
	for _, c := range l.connections {
		if c.conn != nil {
			c.conn.Close()
		}
	}
}

// Send queues a message for a peer and dials the peer if there is no connection. It never
// blocks: a message that cannot be queued is dropped.
func (l *Link) Send(to wire.Peer, message wire.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.connections[to]
	if c == nil {
		if !l.mayDial(to) {
			l.counts.Dropped++
			return
		}
		c = newConnection()
		l.connections[to] = c
		l.group.Go(func(stop <-chan struct{}) { l.dialLoop(to, c, stop) })
	}
	l.counts.Sent++
	if !c.queue.TryPush(message) {
		l.counts.Dropped++
	}
}

// mayDial reports whether a peer without a connection may be dialled.
func (l *Link) mayDial(to wire.Peer) bool {
	return !l.closed && to != "" && !to.Accepted() && len(l.connections) < maxConnections
}

// Counts returns the current counters.
func (l *Link) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

package link

import (
	"net"
	"sync"
	"time"

	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/transport/wire"
)

const (
	// queueLength is how many messages may wait for one connection.
	queueLength = 4096
	// maxConnections bounds the connections, dialled and accepted together.
	maxConnections = 1024
)

// Handler receives what comes in. It must not block for long.
type Handler func(from wire.Peer, message wire.Message)

// Link sends and receives messages over TCP, with one connection for each peer.
// Messages can be lost and there is no acknowledgement. It is safe for
// concurrent use.
type Link struct {
	group   *lifecycle.Group
	handler Handler
	// idleTimeout is after how long without a message to send a dialled connection is
	// closed; tests shorten it.
	idleTimeout time.Duration
	listener    net.Listener

	mu          sync.Mutex
	connections map[wire.Peer]*connection
	// accepted counts the connections that were accepted so far.
	accepted uint64
	closed   bool
	counts   Counts
}

// Counts are numbers of a link since its start.
type Counts struct {
	// Sent messages were accepted for sending, Dropped ones were not sent, because their
	// queue was full or their peer could not be dialled. A message whose queue is full
	// counts as both.
	Sent    uint64
	Dropped uint64
	// Accepted and Dialled are connections, DialFailures attempts to dial one.
	Accepted     uint64
	Dialled      uint64
	DialFailures uint64
}

// Listen opens the address; messages come in once Serve is called. The link's
// goroutines run in the group.
func Listen(addr string, group *lifecycle.Group) (*Link, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Link{group: group, listener: listener, idleTimeout: idleTimeout, connections: map[wire.Peer]*connection{}}, nil
}

// Addr is the listening address, with the actual port when 0 was asked for.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// Serve starts to accept connections and returns at once; it must be called
// before the first Send. The handler is called from one goroutine for each
// connection, also at the same time.
func (l *Link) Serve(handler Handler) {
	l.handler = handler
	l.group.Go(func(_ <-chan struct{}) { l.acceptLoop() })
	l.group.Go(func(stop <-chan struct{}) {
		<-stop
		l.Close()
	})
}

// Close stops listening, closes all connections and does not wait for their
// goroutines.
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

// Send queues a message for a peer and dials it if need be. It never blocks; a
// message that cannot be queued is dropped.
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

// mayDial reports whether a peer without a connection may get one.
func (l *Link) mayDial(to wire.Peer) bool {
	return !l.closed && to != "" && !to.Accepted() && len(l.connections) < maxConnections
}

// Counts returns the numbers so far.
func (l *Link) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

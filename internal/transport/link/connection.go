package link

import (
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/transport/wire"
)

const (
	// A peer that has lost power sends nothing, and answers the first packet of a new
	// connection only after seconds. Dials therefore time out quickly and are repeated often,
	// and a connection is closed once data on it has been unacknowledged for userTimeoutMs
	// milliseconds.
	dialTimeout    = 400 * time.Millisecond
	redialInterval = 60 * time.Millisecond
	userTimeoutMs  = 800
	writeTimeout   = 3 * time.Second
	// idleTimeout closes a dialled connection on which nothing was sent or received.
	idleTimeout = 60 * time.Second
	// bufferBytes is the size of the read buffer and of the write buffer of a connection.
	bufferBytes = 64 << 10
)

// connection holds the messages queued for one peer and the current TCP connection to it.
// conn is nil until the first dial succeeds, and is guarded by the link's mutex.
type connection struct {
	queue *lifecycle.Queue[wire.Message]
	conn  net.Conn
	// dequeued counts the messages removed from the queue, whether sent or dropped.
	dequeued atomic.Uint64
	progress queueProgress
	// received counts the messages received.
	received atomic.Uint64
}

func newConnection() *connection {
	return &connection{queue: lifecycle.NewQueue[wire.Message](queueLength)}
}

// discard drops the messages queued for a connection that is down. Senders retransmit what
// still matters, and by the time the address is reachable again another process may be
// listening there.
func (c *connection) discard() {
	for {
		select {
		case <-c.queue.Out():
			c.dequeued.Add(1)
		default:
			return
		}
	}
}

func (l *Link) acceptLoop() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.accept(conn)
	}
}

func (l *Link) accept(conn net.Conn) {
	setUserTimeout(conn)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || len(l.connections) >= maxConnections {
		conn.Close()
		return
	}
	l.accepted++
	l.counts.Accepted++
	peer := wire.AcceptedPeer(l.accepted)
	c := newConnection()
	c.conn = conn
	l.connections[peer] = c
	readEnded := make(chan struct{})
	l.group.Go(func(stop <-chan struct{}) { l.writeAccepted(c, conn, readEnded, stop) })
	l.group.Go(func(_ <-chan struct{}) {
		l.readLoop(peer, c, conn)
		close(readEnded)
		l.remove(peer, c)
	})
}

// remove removes a connection. If it was dialled, the next Send to its peer dials again.
func (l *Link) remove(peer wire.Peer, c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connections[peer] == c {
		delete(l.connections, peer)
	}
}

// activity returns the number of messages dequeued and received so far.
func (c *connection) activity() uint64 { return c.dequeued.Load() + c.received.Load() }

// removeIfEmpty removes a connection that is down unless messages are queued for it, and
// reports whether it found the queue empty.
func (l *Link) removeIfEmpty(peer wire.Peer, c *connection) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.queue.Len() > 0 {
		return false
	}
	if l.connections[peer] == c {
		delete(l.connections, peer)
	}
	return true
}

// dialLoop keeps a peer connected while there are messages to send to it. If a dial fails, or
// the peer closes the connection before anything was sent or received on it, the peer is not
// dialled again until another message is queued.
func (l *Link) dialLoop(to wire.Peer, c *connection, stop <-chan struct{}) {
	for {
		before := c.activity()
		conn, err := net.DialTimeout("tcp", string(to), dialTimeout)
		if err == nil && l.runDialled(to, c, conn, stop) {
			return
		}
		if err != nil {
			l.countDialFailure()
		}
		unused := c.activity() == before
		c.discard()
		select {
		case <-stop:
			return
		case <-time.After(redialInterval):
		}
		if unused && l.removeIfEmpty(to, c) {
			return
		}
	}
}

func (l *Link) countDialFailure() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.DialFailures++
}

// runDialled runs a dialled connection until it ends. It returns true if the peer must not be
// redialled, because the connection was idle or the link is closed.
func (l *Link) runDialled(to wire.Peer, c *connection, conn net.Conn, stop <-chan struct{}) bool {
	defer conn.Close()
	setUserTimeout(conn)
	if !l.attach(c, conn) {
		return true
	}
	readEnded := make(chan struct{})
	l.group.Go(func(<-chan struct{}) {
		l.readLoop(to, c, conn)
		close(readEnded)
	})
	idle := l.writeDialled(c, conn, readEnded, stop)
	if idle {
		l.remove(to, c)
	}
	return idle
}

// attach records a dialled connection, and reports whether the link is still open.
func (l *Link) attach(c *connection, conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.conn = conn
	l.counts.Dialled++
	return !l.closed
}

// setUserTimeout makes the kernel close a connection whose peer acknowledges nothing for
// userTimeoutMs (RFC 5482). If the option cannot be set, the connection is left unchanged.
func setUserTimeout(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMs)
	})
}

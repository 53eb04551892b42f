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
	// A peer that has lost power sends nothing and answers a first packet only after
	// seconds, so that it is dialled anew often. Data that it has not acknowledged for
	// userTimeoutMs milliseconds ends the connection.
	dialTimeout    = 400 * time.Millisecond
	redialInterval = 60 * time.Millisecond
	userTimeoutMs  = 800
	writeTimeout   = 3 * time.Second
	// idleTimeout ends a dialled connection on which nothing was sent or received.
	idleTimeout = 60 * time.Second
	// bufferBytes is the size of the buffers on both sides of a connection.
	bufferBytes = 64 << 10
)

// connection is what is to be sent to one peer. conn is nil while it is not yet
// dialled, and is guarded by the link's mutex.
type connection struct {
	queue *lifecycle.Queue[wire.Message]
	conn  net.Conn
	// dequeued counts the messages that were dequeued off the queue, to be sent or dropped.
	dequeued atomic.Uint64
	progress queueProgress
	// received counts the messages that came in.
	received atomic.Uint64
}

func newConnection() *connection {
	return &connection{queue: lifecycle.NewQueue[wire.Message](queueLength)}
}

// discard drops what waits for a connection that is down: what is still wanted is sent
// again, and another process may be at the address by then.
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

// remove forgets a connection. A peer that was dialled is dialled again by the next
// Send.
func (l *Link) remove(peer wire.Peer, c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connections[peer] == c {
		delete(l.connections, peer)
	}
}

// activity counts the messages that were sent and received.
func (c *connection) activity() uint64 { return c.dequeued.Load() + c.received.Load() }

// removeIfEmpty forgets a connection that is down while no message waits for it, and
// reports whether it did.
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

// dialLoop keeps a peer connected for as long as there is something to send to it. A peer
// that cannot be dialled, or closes a connection before anything was sent or received on
// it, is not dialled again until there is.
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

// runDialled runs a connection until it ends, and reports whether it is not to be
// dialled again: it was idle, or the link is closed.
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

// attach records what was dialled, unless the link is closed.
func (l *Link) attach(c *connection, conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.conn = conn
	l.counts.Dialled++
	return !l.closed
}

// setUserTimeout has the kernel end a connection whose other end acknowledges
// nothing for userTimeoutMs (RFC 5482). A connection that cannot be set stays as it
// is.
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

// Package link carries frames between processes over TCP. Lines are dialled
// when first needed and again when lost; each has a bounded ring of frames to
// send, and a frame that finds it full is dropped, as a network would.
package link

import (
	"bufio"
	"net"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/transport/wire"
)

// Handler receives what comes in. It must not block for long.
type Handler func(from wire.Peer, msg wire.Message)

// Link sends and receives messages over TCP, with one connection for each peer.
// Messages can be lost and there is no acknowledgement. It is safe for
// concurrent use.
type Link struct {
	group    *lifecycle.Group
	handler  Handler
	listener net.Listener

	mu          sync.Mutex
	connections map[wire.Peer]*connection
	accepted    uint64
	closed      bool
	dropped     uint64
	sent        uint64
}

type connection struct {
	queue *lifecycle.Queue[wire.Message]
	conn  net.Conn
}

const (
	queueLength = 4096
	// A peer that has lost power says nothing and answers a first packet only
	// after seconds, so that it is dialled anew often; what it has not taken in
	// for unheard, in milliseconds, ends the line.
	dialTimeout    = 400 * time.Millisecond
	redialInterval = 60 * time.Millisecond
	userTimeoutMs  = 800
	writeTimeout   = 3 * time.Second
	idleTimeout    = 60 * time.Second
	maxConnections = 1024
)

// Listen opens the address; frames come in once Serve is called.
func Listen(addr string, c *lifecycle.Group) (*Link, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Link{group: c, listener: ln, connections: map[wire.Peer]*connection{}}, nil
}

// Addr is the listening address, with the actual port when 0 was asked for.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// Serve starts to accept connections and returns at once; it must be called
// before the first Send. take is called from one goroutine for each connection,
// also at the same time.
func (l *Link) Serve(take Handler) {
	l.handler = take
	l.group.Go(func(_ <-chan struct{}) {
		for {
			conn, err := l.listener.Accept()
			if err != nil {
				return
			}
			l.accept(conn)
		}
	})
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
	for _, x := range l.connections {
		if x.conn != nil {
			x.conn.Close()
		}
	}
}

// setUserTimeout has the kernel give a line up when the other end takes nothing in.
func setUserTimeout(conn net.Conn) {
	t, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMs)
	})
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
	peer := wire.Peer("#" + strconv.FormatUint(l.accepted, 10))
	x := &connection{queue: lifecycle.NewQueue[wire.Message](queueLength), conn: conn}
	l.connections[peer] = x
	l.group.Go(func(stop <-chan struct{}) { l.writeLoop(peer, x, conn, stop) })
	l.group.Go(func(_ <-chan struct{}) {
		l.readLoop(peer, conn)
		l.remove(peer, x)
	})
}

// remove forgets a line that was accepted; a dialled one is dialled again.
func (l *Link) remove(peer wire.Peer, x *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connections[peer] == x {
		delete(l.connections, peer)
	}
	x.conn.Close()
}

// Send offers a message to a line, dialling it if need be.
func (l *Link) Send(to wire.Peer, msg wire.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.connections[to]
	if x == nil {
		if l.closed || to == "" || to[0] == '#' || len(l.connections) >= maxConnections {
			l.dropped++
			return
		}
		x = &connection{queue: lifecycle.NewQueue[wire.Message](queueLength)}
		l.connections[to] = x
		l.group.Go(func(stop <-chan struct{}) { l.dialLoop(to, x, stop) })
	}
	l.sent++
	if !x.queue.TryPush(msg) {
		l.dropped++
	}
}

// dialLoop keeps one line up for as long as there is something to send on it.
func (l *Link) dialLoop(to wire.Peer, x *connection, stop <-chan struct{}) {
	for {
		conn, err := net.DialTimeout("tcp", string(to), dialTimeout)
		if err == nil {
			setUserTimeout(conn)
		}
		if err == nil {
			l.mu.Lock()
			x.conn = conn
			down := l.closed
			l.mu.Unlock()
			if down {
				conn.Close()
				return
			}
			l.group.Go(func(<-chan struct{}) { l.readLoop(to, conn) })
			if idle := l.writeLoop(to, x, conn, stop); idle {
				l.remove(to, x)
				return
			}
			conn.Close()
		}
		discard(x.queue)
		select {
		case <-stop:
			return
		case <-time.After(redialInterval):
		}
		if err != nil && x.queue.Len() == 0 {
			l.forget(to, x)
			return
		}
	}
}

func (l *Link) forget(to wire.Peer, x *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connections[to] == x {
		delete(l.connections, to)
	}
}

// discard throws away what waited for a line that is down: all of it will be
// asked for again, and old news is worse than none.
func discard(r *lifecycle.Queue[wire.Message]) {
	for {
		select {
		case <-r.Out():
		default:
			return
		}
	}
}

func (l *Link) writeLoop(_ wire.Peer, x *connection, conn net.Conn, stop <-chan struct{}) bool {
	buf := bufio.NewWriterSize(conn, 64<<10)
	enc := wire.NewEncoder(buf)
	t := time.NewTimer(idleTimeout)
	defer t.Stop()
	for {
		t.Reset(idleTimeout)
		select {
		case <-stop:
			return false
		case <-t.C:
			return true
		case msg := <-x.queue.Out():
			conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if enc.Encode(msg) != nil {
				conn.Close()
				return false
			}
			if x.queue.Len() == 0 && buf.Flush() != nil {
				conn.Close()
				return false
			}
		}
	}
}

func (l *Link) readLoop(peer wire.Peer, conn net.Conn) {
	defer conn.Close()
	dec := wire.NewDecoder(bufio.NewReaderSize(conn, 64<<10))
	for {
		msg, err := dec.Decode()
		if err != nil {
			return
		}
		l.handler(peer, msg)
	}
}

// FrameCounts tells how many frames went out and how many were dropped.
func (l *Link) FrameCounts() (sent, lost uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent, l.dropped
}

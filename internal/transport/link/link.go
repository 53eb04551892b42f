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
	crew *lifecycle.Group
	take Handler
	ln   net.Listener

	mu    sync.Mutex
	lines map[wire.Peer]*line
	next  uint64
	down  bool
	lost  uint64
	sent  uint64
}

type line struct {
	out  *lifecycle.Queue[wire.Message]
	conn net.Conn
}

const (
	ringSize = 4096
	// A peer that has lost power says nothing and answers a first packet only
	// after seconds, so that it is dialled anew often; what it has not taken in
	// for unheard, in milliseconds, ends the line.
	dialWait  = 400 * time.Millisecond
	dialGap   = 60 * time.Millisecond
	unheard   = 800
	writeWait = 3 * time.Second
	idleDrop  = 60 * time.Second
	mostLines = 1024
)

// Listen opens the address; frames come in once Serve is called.
func Listen(addr string, c *lifecycle.Group) (*Link, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Link{crew: c, ln: ln, lines: map[wire.Peer]*line{}}, nil
}

// Addr is the listening address, with the actual port when 0 was asked for.
func (l *Link) Addr() string { return l.ln.Addr().String() }

// Serve starts to accept connections and returns at once; it must be called
// before the first Send. take is called from one goroutine for each connection,
// also at the same time.
func (l *Link) Serve(take Handler) {
	l.take = take
	l.crew.Go(func(_ <-chan struct{}) {
		for {
			conn, err := l.ln.Accept()
			if err != nil {
				return
			}
			l.accept(conn)
		}
	})
	l.crew.Go(func(stop <-chan struct{}) {
		<-stop
		l.Close()
	})
}

// Close stops listening, closes all connections and does not wait for their
// goroutines.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = true
	l.ln.Close()
	for _, x := range l.lines {
		if x.conn != nil {
			x.conn.Close()
		}
	}
}

// hurry has the kernel give a line up when the other end takes nothing in.
func hurry(conn net.Conn) {
	t, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, unheard) })
}

func (l *Link) accept(conn net.Conn) {
	hurry(conn)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || len(l.lines) >= mostLines {
		conn.Close()
		return
	}
	l.next++
	peer := wire.Peer("#" + strconv.FormatUint(l.next, 10))
	x := &line{out: lifecycle.NewQueue[wire.Message](ringSize), conn: conn}
	l.lines[peer] = x
	l.crew.Go(func(stop <-chan struct{}) { l.write(peer, x, conn, stop) })
	l.crew.Go(func(_ <-chan struct{}) {
		l.read(peer, conn)
		l.drop(peer, x)
	})
}

// drop forgets a line that was accepted; a dialled one is dialled again.
func (l *Link) drop(peer wire.Peer, x *line) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lines[peer] == x {
		delete(l.lines, peer)
	}
	x.conn.Close()
}

// Send offers a message to a line, dialling it if need be.
func (l *Link) Send(to wire.Peer, msg wire.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.lines[to]
	if x == nil {
		if l.down || to == "" || to[0] == '#' || len(l.lines) >= mostLines {
			l.lost++
			return
		}
		x = &line{out: lifecycle.NewQueue[wire.Message](ringSize)}
		l.lines[to] = x
		l.crew.Go(func(stop <-chan struct{}) { l.dial(to, x, stop) })
	}
	l.sent++
	if !x.out.TryPush(msg) {
		l.lost++
	}
}

// dial keeps one line up for as long as there is something to send on it.
func (l *Link) dial(to wire.Peer, x *line, stop <-chan struct{}) {
	for {
		conn, err := net.DialTimeout("tcp", string(to), dialWait)
		if err == nil {
			hurry(conn)
		}
		if err == nil {
			l.mu.Lock()
			x.conn = conn
			down := l.down
			l.mu.Unlock()
			if down {
				conn.Close()
				return
			}
			l.crew.Go(func(<-chan struct{}) { l.read(to, conn) })
			if idle := l.write(to, x, conn, stop); idle {
				l.drop(to, x)
				return
			}
			conn.Close()
		}
		drain(x.out)
		select {
		case <-stop:
			return
		case <-time.After(dialGap):
		}
		if err != nil && x.out.Len() == 0 {
			l.forget(to, x)
			return
		}
	}
}

func (l *Link) forget(to wire.Peer, x *line) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lines[to] == x {
		delete(l.lines, to)
	}
}

// drain throws away what waited for a line that is down: all of it will be
// asked for again, and old news is worse than none.
func drain(r *lifecycle.Queue[wire.Message]) {
	for {
		select {
		case <-r.Out():
		default:
			return
		}
	}
}

func (l *Link) write(_ wire.Peer, x *line, conn net.Conn, stop <-chan struct{}) bool {
	buf := bufio.NewWriterSize(conn, 64<<10)
	enc := wire.NewEncoder(buf)
	t := time.NewTimer(idleDrop)
	defer t.Stop()
	for {
		t.Reset(idleDrop)
		select {
		case <-stop:
			return false
		case <-t.C:
			return true
		case msg := <-x.out.Out():
			conn.SetWriteDeadline(time.Now().Add(writeWait))
			if enc.Encode(msg) != nil {
				conn.Close()
				return false
			}
			if x.out.Len() == 0 && buf.Flush() != nil {
				conn.Close()
				return false
			}
		}
	}
}

func (l *Link) read(peer wire.Peer, conn net.Conn) {
	defer conn.Close()
	dec := wire.NewDecoder(bufio.NewReaderSize(conn, 64<<10))
	for {
		msg, err := dec.Decode()
		if err != nil {
			return
		}
		l.take(peer, msg)
	}
}

// FrameCounts tells how many frames went out and how many were dropped.
func (l *Link) FrameCounts() (sent, lost uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent, l.lost
}

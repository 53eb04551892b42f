package httpserver

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// maxConnections is how many connections a process holds at once.
	maxConnections = 8192
	// refusalTimeout is how long the refusal of a connection may take to write.
	refusalTimeout = time.Second
)

// tooManyConnections is the whole answer to a connection past the limit.
const tooManyConnections = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// limitListener accepts connections while fewer than limit are open. One that comes past
// that is told to come back, at once, and is not kept waiting in a queue.
type limitListener struct {
	net.Listener
	open  atomic.Int64
	limit int64
}

func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &countedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		refuse(conn)
	}
}

// refuse answers a connection past the limit; whether the answer arrives is up to its
// client.
func refuse(conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(refusalTimeout))
	_, _ = conn.Write([]byte(tooManyConnections))
	_ = conn.Close()
}

// countedConn is one connection, counted until it closes.
type countedConn struct {
	net.Conn
	closed   atomic.Bool
	listener *limitListener
}

func (c *countedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.listener.open.Add(-1)
	}
	return c.Conn.Close()
}

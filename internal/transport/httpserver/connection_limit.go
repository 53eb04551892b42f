package httpserver

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// maxConnections is the maximum number of open connections per process.
	maxConnections = 8192
	// rejectTimeout bounds writing the response to a rejected connection.
	rejectTimeout = time.Second
)

// tooManyConnections is the raw response to a connection over the limit.
const tooManyConnections = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// limitListener accepts connections while fewer than limit are open. A connection over the
// limit is answered immediately with a 503 and Retry-After instead of waiting in the backlog.
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
		reject(conn)
	}
}

// reject answers a connection over the limit and closes it. Write errors are ignored: the
// response is best effort.
func reject(conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(rejectTimeout))
	_, _ = conn.Write([]byte(tooManyConnections))
	_ = conn.Close()
}

// countedConn is a connection that counts toward the limit until it is closed.
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

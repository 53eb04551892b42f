// A limited listener holds only so many connections. Whoever comes past that is
// told to come back, at once, and is not kept waiting in a queue.

package httpserver

import (
	"net"
	"sync/atomic"
	"time"
)

// mostConns is how many connections a process holds at once.
const mostConns = 8192

// tooManyConnections is the whole answer to whoever comes past the limit.
const tooManyConnections = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// limitListener accepts connections while fewer than most are open.
type limitListener struct {
	net.Listener
	open atomic.Int64
	most int64
}

// countedConn is one connection, counted until it closes.
type countedConn struct {
	net.Conn
	closed atomic.Bool
	from   *limitListener
}

func (l *limitListener) Accept() (net.Conn, error) {
	var conn net.Conn
	var err error
	for {
		conn, err = l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most {
			return &countedConn{Conn: conn, from: l}, nil
		}
		l.open.Add(-1)
		conn.SetDeadline(time.Now().Add(time.Second))
		_, _ = conn.Write([]byte(tooManyConnections))
		conn.Close()
	}
}

func (c *countedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.from.open.Add(-1)
	}
	return c.Conn.Close()
}

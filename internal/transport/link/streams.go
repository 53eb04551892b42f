package link

import (
	"bufio"
	"net"
	"time"

	"orchidward/internal/transport/wire"
)

// The two directions of a connection begin and end together: when reading ends, so does
// writing, and a writer that ends closes the connection. One that is read but no longer
// written to would take requests and answer none. Only the side that dialled ends a
// connection because it is idle, and so both sides know of it.

// writeAccepted sends what is queued until either direction fails or the link stops.
func (l *Link) writeAccepted(c *connection, conn net.Conn, readEnded, stop <-chan struct{}) {
	defer conn.Close()
	writer := newMessageWriter(c, conn)
	for {
		select {
		case <-stop:
			return
		case <-readEnded:
			return
		case message := <-c.queue.Out():
			if writer.write(message) != nil {
				return
			}
		}
	}
}

// writeDialled sends what is queued until either direction fails, the link stops, or
// nothing was sent or received for the idle timeout. It reports whether it ended for the
// last reason. Its caller closes the connection.
func (l *Link) writeDialled(c *connection, conn net.Conn, readEnded, stop <-chan struct{}) (idle bool) {
	writer := newMessageWriter(c, conn)
	timer := time.NewTimer(l.idleTimeout)
	defer timer.Stop()
	receivedBefore := c.received.Load()
	for {
		select {
		case <-stop:
			return false
		case <-readEnded:
			return false
		case <-timer.C:
			received := c.received.Load()
			if received == receivedBefore {
				return true
			}
			receivedBefore = received
		case message := <-c.queue.Out():
			if writer.write(message) != nil {
				return false
			}
		}
		timer.Reset(l.idleTimeout)
	}
}

// messageWriter writes the messages of one connection.
type messageWriter struct {
	connection *connection
	conn       net.Conn
	buffer     *bufio.Writer
	encoder    *wire.Encoder
}

func newMessageWriter(c *connection, conn net.Conn) *messageWriter {
	buffer := bufio.NewWriterSize(conn, bufferBytes)
	return &messageWriter{connection: c, conn: conn, buffer: buffer, encoder: wire.NewEncoder(buffer)}
}

// write writes a message that was taken off the queue, and what is buffered once no other
// waits.
func (w *messageWriter) write(message wire.Message) error {
	w.connection.dequeued.Add(1)
	if err := w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if err := w.encoder.Encode(message); err != nil {
		return err
	}
	if w.connection.queue.Len() > 0 {
		return nil
	}
	return w.buffer.Flush()
}

func (l *Link) readLoop(peer wire.Peer, c *connection, conn net.Conn) {
	defer conn.Close()
	decoder := wire.NewDecoder(bufio.NewReaderSize(conn, bufferBytes))
	for {
		message, err := decoder.Decode()
		if err != nil {
			return
		}
		c.received.Add(1)
		l.handler(peer, message)
	}
}

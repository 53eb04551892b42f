package link

import (
	"bufio"
	"net"
	"time"

	"orchidward/internal/transport/wire"
)

// The two directions of a connection start and end together: when reading ends, so does
// writing, and a writer that ends closes the connection. A connection that is read but no
// longer written to would accept requests and answer none. Only the dialling side closes an
// idle connection, which the accepting side then sees as the end of the stream.

// writeAccepted sends queued messages until either direction fails or the link stops.
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

// writeDialled sends queued messages until either direction fails, the link stops, or nothing
// was sent or received for the idle timeout. It returns true in the last case. The caller
// closes the connection.
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

// write writes a message that was removed from the queue. It flushes the buffer once the queue
// is empty.
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

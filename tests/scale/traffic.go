package main

import (
	"sync/atomic"

	"orchidward/internal/transport/wire"
)

// traffic counts the encoded bytes of the messages that an agent sends and receives.
type traffic struct {
	sent, received atomic.Int64
}

// byteCounter is an io.Writer that counts the bytes written to it and discards them.
type byteCounter struct{ total *atomic.Int64 }

func (c byteCounter) Write(b []byte) (int, error) {
	c.total.Add(int64(len(b)))
	return len(b), nil
}

// countBytes adds the encoded size of a message to a total.
func countBytes(total *atomic.Int64, message wire.Message) {
	if err := wire.NewEncoder(byteCounter{total}).Encode(message); err != nil {
		panic("scale: encode message: " + err.Error())
	}
}

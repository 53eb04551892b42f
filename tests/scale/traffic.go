package main

import (
	"sync/atomic"

	"orchidward/internal/transport/wire"
)

// traffic counts the bytes of an agent's frames.
type traffic struct {
	sent, received atomic.Int64
}

// byteCounter is a writer that only counts.
type byteCounter struct{ total *atomic.Int64 }

func (c byteCounter) Write(b []byte) (int, error) {
	c.total.Add(int64(len(b)))
	return len(b), nil
}

// countBytes adds the size of a message as encoded.
func countBytes(total *atomic.Int64, message wire.Message) {
	if err := wire.NewEncoder(byteCounter{total}).Encode(message); err != nil {
		panic("scale: a message does not encode: " + err.Error())
	}
}

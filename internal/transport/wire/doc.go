// Package wire defines the messages exchanged by the project's processes. They are Go values
// in this package and Cap'n Proto frames in the stream encoding on the connection (package
// frame, which is generated).
//
// An [Encoder] writes a [Message] to a stream and a [Decoder] reads one from it. Decoding
// checks only the format of a message; the receiver validates its content.
//
// The schema keeps the names of its first version (ask, reply, tell, view and others). Only
// encode.go and decode.go use them; all other code uses the names of [Message].
//
// Invariants: a frame that cannot be decoded results in an error, after which the connection
// must be closed, and never in a panic; the size of a frame is checked before it is read; and
// frames of the first version decode as they did in that version (testdata).
//
// Start reading at message.go, then encode.go and decode.go.
package wire

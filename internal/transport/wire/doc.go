// Package wire holds the messages among the project's processes: Go values here,
// Cap'n Proto frames in the stream encoding on the connection (package frame, which
// is generated).
//
// An [Encoder] writes a [Message] to a stream and a [Decoder] reads one from it. What
// this package decodes is checked in form only; its receiver judges the content.
//
// The schema keeps the names of its first version (ask, reply, tell, view and others);
// only encode.go and decode.go know them, and the code elsewhere uses those of [Message].
//
// Invariants: a frame that does not decode is an error after which the
// connection must be closed, never a panic; its size is bounded before it is read;
// and frames of the first version read as they always did (testdata).
//
// Begin with message.go, then encode.go and decode.go.
package wire

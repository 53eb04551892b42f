// Package link carries messages between processes over TCP.
//
// Messages are sent with Send and received by the Handler passed to Serve. A connection is
// dialled when it is first needed and redialled when it is lost; both ends send on the same
// connection. Each connection has a bounded queue of outgoing messages.
//
// Invariants: messages may be lost, as on any network, but are not duplicated; a message is
// dropped if its queue is full or its connection is lost; and a message addressed to an
// accepted connection is sent on that connection or not at all.
package link

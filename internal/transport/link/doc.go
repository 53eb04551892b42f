// Package link carries messages between processes over TCP.
//
// Input is Send, output the Handler given to Serve. A connection is dialled when it
// is first needed and again when it is lost; both ends use the same one. Each has a
// bounded queue of messages to send.
//
// Invariants: messages may be lost, as on any network, but are not
// duplicated; a message that finds its queue full, or its connection lost, is dropped;
// and a message to a connection that was accepted goes out on that one or not at all.
package link

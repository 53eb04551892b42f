// Package serverd runs a control-plane server as a daemon. The event loop alone touches the
// server; the disk has a goroutine of its own (store.go), so that heartbeats never wait for
// a sync. Requests come in by Do from a face such as package platform, messages of other
// processes by the link.
package serverd

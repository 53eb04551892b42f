// Package serverd runs a control-plane server as a daemon. Only the event loop accesses the
// server. Disk operations run in a separate goroutine (store.go), so that heartbeats never wait
// for a sync. Requests arrive through Do from a frontend such as package platform, messages of
// other processes through the link.
package serverd

package main

import (
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/transport/wire"
)

const (
	// discoveryInterval is the time between two searches for gateways while none responds,
	// refreshInterval the time while one does. The latter searches keep the list of members
	// up to date, so that this process can answer the discovery requests of others.
	discoveryInterval clock.Millis = 500
	refreshInterval   clock.Millis = 5000
	// longAgo is the time of the last search before there was one; it makes the first
	// search due at once.
	longAgo clock.Monotonic = -10000
)

// discovery is the state of the search for gateways.
type discovery struct {
	seeds []string
	// self is the announcement that this process sends.
	self    wire.Announcement
	members []raft.Member
	lastAt  clock.Monotonic
}

func newDiscovery(seeds []string, self wire.Announcement) discovery {
	return discovery{seeds: seeds, self: self, lastAt: longAgo}
}

// handleMessage answers discovery requests, and learns gateways and members from replies.
func (d *daemon) handleMessage(from wire.Peer, msg wire.Message) {
	t := msg.Announcement
	if t == nil {
		return
	}
	if t.WantReply {
		reply := d.discovery.self
		reply.Members = d.discovery.members
		reply.Gateways = d.runner.Gateways()
		reply.Founded = len(d.discovery.members) > 0
		d.link.Send(from, wire.Message{Announcement: &reply})
		return
	}
	if len(t.Members) > 0 {
		d.discovery.members = t.Members
	}
	if !d.http.Ready() {
		d.runner.LearnGateways(t.Gateways)
	}
}

// discover asks members and seeds for gateways when the next search is due.
func (d *daemon) discover() {
	interval := discoveryInterval
	if d.http.Ready() {
		interval = refreshInterval
	}
	if d.clock.Now().Since(d.discovery.lastAt) < interval {
		return
	}
	d.discovery.lastAt = d.clock.Now()
	request := d.discovery.self
	request.WantReply = true
	for addr := range d.discovery.addresses(d.http.Ready()) {
		d.link.Send(wire.Peer(addr), wire.Message{Announcement: &request})
	}
}

// addresses returns the addresses of the known members, and also those of the seeds if no
// member is known or the runner is not ready.
func (d *discovery) addresses(ready bool) map[string]bool {
	set := map[string]bool{}
	for _, member := range d.members {
		set[member.Addr] = true
	}
	if len(d.members) == 0 || !ready {
		for _, seed := range d.seeds {
			set[seed] = true
		}
	}
	delete(set, d.self.Addr)
	return set
}

package main

import (
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/transport/wire"
)

const (
	// discoveryInterval lies between two searches for gateways while none answers,
	// refreshInterval while one does: then it keeps the members known for others that ask.
	discoveryInterval clock.Millis = 500
	refreshInterval   clock.Millis = 5000
	// longAgo lies before every search.
	longAgo clock.Monotonic = -10000
)

// discovery is how a runner finds gateways.
type discovery struct {
	seeds []string
	// self is what this process announces of itself.
	self    wire.Announcement
	members []raft.Member
	lastAt  clock.Monotonic
}

func newDiscovery(seeds []string, self wire.Announcement) discovery {
	return discovery{seeds: seeds, self: self, lastAt: longAgo}
}

// handleMessage answers discovery, and learns gateways and members from it.
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

// discover asks seeds and members for gateways when it is time to.
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

// addresses are the members known, and the seeds where that is not enough.
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

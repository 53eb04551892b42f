package controlplane

import (
	"slices"

	"orchidward/internal/clock"
	"orchidward/internal/transport/wire"
)

// seedAnnounceInterval is how often a leader announces the group to the seeds that
// are no members.
const seedAnnounceInterval clock.Millis = 1000

// announcement is what this server tells other processes of itself and the group.
func (s *Server) announcement(wantReply bool) *wire.Announcement {
	a := &wire.Announcement{
		WantReply: wantReply,
		Role:      wire.RoleServer,
		Node:      s.config.ID,
		Addr:      s.config.Addr,
		Domain:    s.config.Domain,
		Gateways:  s.gateways.liveClientAddrs(s.now),
	}
	if s.forwarder != nil {
		s.forwarder.describe(a, s.now)
	}
	if s.raft != nil {
		a.Founded = true
		a.LeaderID = s.raft.Leader()
		a.Members = s.raft.Members()
		a.Founders = s.founders
		if s.isActiveLeader() {
			a.LeaderTime = s.leaderTime()
		}
	}
	return a
}

// handleAnnouncement takes what another process tells of itself and the group.
func (s *Server) handleAnnouncement(from wire.Peer, t *wire.Announcement) {
	if t.Role == wire.RoleGateway {
		s.gateways.clientAddrSeen(t.HTTP, s.now)
		s.gateways.peerAddrSeen(t.Addr, s.now)
	}
	if t.WantReply && s.forwarder != nil && s.forwarder.undecided(s.now) {
		s.learnGroup(t)
		return
	}
	if t.WantReply {
		s.send(from, wire.Message{Announcement: s.announcement(false)})
		if s.discovery == nil || !t.Founded {
			return
		}
	}
	switch {
	case s.forwarder != nil:
		s.learnGroup(t)
	case s.discovery == nil || s.discovery.creating:
		s.requestRejoin(from, t)
	default:
		s.discoverGroup(from, t)
	}
}

// announceLeadership tells gateways and agents that this server leads, so that none
// of them waits for the leader before it.
func (s *Server) announceLeadership() {
	list := s.gateways.livePeerAddrs(s.now)
	for _, name := range s.state.RunnerNames() {
		runner := s.state.Runners[name]
		if runner.AgentAddr != "" && !runner.Gone {
			list = append(list, runner.AgentAddr)
		}
	}
	slices.Sort(list)
	a := s.announcement(false)
	for _, addr := range list {
		s.send(wire.Peer(addr), wire.Message{Announcement: a})
	}
}

// announceToSeeds tells seeds that are no members where the group is: servers without
// a disk, which forget it, and machines that have come back empty.
func (s *Server) announceToSeeds() {
	if s.now.Since(s.leader.seedsToldAt) < seedAnnounceInterval {
		return
	}
	s.leader.seedsToldAt = s.now
	members := map[string]bool{}
	for _, member := range s.raft.Members() {
		members[member.Addr] = true
	}
	for _, seed := range s.config.Seeds {
		if !members[seed] {
			s.send(wire.Peer(seed), wire.Message{Announcement: s.announcement(false)})
		}
	}
}

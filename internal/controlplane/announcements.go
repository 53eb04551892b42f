package controlplane

import (
	"slices"

	"orchidward/internal/clock"
	"orchidward/internal/transport/wire"
)

// seedAnnounceInterval is how often a leader announces the group to the seeds that are
// not members.
const seedAnnounceInterval clock.Millis = 1000

// announcement returns this server's description of itself and the group, for other
// processes.
func (s *Server) announcement(wantReply bool) *wire.Announcement {
	announcement := &wire.Announcement{
		WantReply: wantReply,
		Role:      wire.RoleServer,
		Node:      s.config.ID,
		Addr:      s.config.Addr,
		Domain:    s.config.Domain,
		Gateways:  s.gateways.liveClientAddrs(s.now),
	}
	if s.forwarder != nil {
		s.forwarder.describe(announcement, s.now)
	}
	if s.raft != nil {
		announcement.Founded = true
		announcement.LeaderID = s.raft.Leader()
		announcement.Members = s.raft.Members()
		announcement.Founders = s.founders
		if s.isActiveLeader() {
			announcement.LeaderTime = s.leaderTime()
		}
	}
	return announcement
}

// handleAnnouncement handles another process's description of itself and the group.
func (s *Server) handleAnnouncement(from wire.Peer, announcement *wire.Announcement) {
	if announcement.Role == wire.RoleGateway {
		s.gateways.clientAddrSeen(announcement.HTTP, s.now)
		s.gateways.peerAddrSeen(announcement.Addr, s.now)
	}
	if announcement.WantReply && s.forwarder != nil && s.forwarder.undecided(s.now) {
		s.learnGroup(announcement)
		return
	}
	if announcement.WantReply {
		s.send(from, wire.Message{Announcement: s.announcement(false)})
		if s.discovery == nil || !announcement.Founded {
			return
		}
	}
	switch {
	case s.forwarder != nil:
		s.learnGroup(announcement)
	case s.discovery == nil || s.discovery.creating:
		s.requestRejoin(from, announcement)
	default:
		s.discoverGroup(from, announcement)
	}
}

// announceLeadership announces to gateways and agents that this server leads, so that
// none of them keeps waiting for the previous leader.
func (s *Server) announceLeadership() {
	list := s.gateways.livePeerAddrs(s.now)
	for _, name := range s.state.RunnerNames() {
		runner := s.state.Runners[name]
		if runner.AgentAddr != "" && !runner.Gone {
			list = append(list, runner.AgentAddr)
		}
	}
	slices.Sort(list)
	announcement := s.announcement(false)
	for _, addr := range list {
		s.send(wire.Peer(addr), wire.Message{Announcement: announcement})
	}
}

// announceToSeeds announces the group to the seeds that are not members: servers without
// a disk, which lose this information on a restart, and machines that returned with an
// empty disk.
func (s *Server) announceToSeeds() {
	if s.now.Since(s.leader.seedsAnnouncedAt) < seedAnnounceInterval {
		return
	}
	s.leader.seedsAnnouncedAt = s.now
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

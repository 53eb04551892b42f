package gateway

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/transport/wire"
)

// serverSet is what a gateway knows of the control-plane servers.
type serverSet struct {
	members  []raft.Member
	gateways []string
	leaderID identifier.Node
	// target is the server that requests go to now, empty when one is to be chosen.
	target wire.Peer
	// failedAt is when each server last failed to answer.
	failedAt map[wire.Peer]clock.Monotonic
}

// neverFailed lies before every time at which a server can have failed.
const neverFailed clock.Monotonic = -1 << 40

// markFailed passes over a server for a while.
func (s *serverSet) markFailed(server wire.Peer, now clock.Monotonic) {
	s.failedAt[server] = now
	s.target = ""
}

// choose prefers the leader, then whichever member has not failed for longest.
func (s *serverSet) choose(now clock.Monotonic) wire.Peer {
	var best wire.Peer
	var bestFailedAt clock.Monotonic
	for _, member := range s.members {
		server := wire.Peer(member.Addr)
		failedAt, failed := s.failedAt[server]
		if member.ID == s.leaderID && (!failed || now.Since(failedAt) > failedServerBackoff) {
			return server
		}
		if !failed {
			failedAt = neverFailed
		}
		if best == "" || failedAt < bestFailedAt {
			best = server
			bestFailedAt = failedAt
		}
	}
	return best
}

// ensureTarget chooses a server where none is chosen.
func (s *serverSet) ensureTarget(now clock.Monotonic) wire.Peer {
	if s.target == "" {
		s.target = s.choose(now)
	}
	return s.target
}

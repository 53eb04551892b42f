package gateway

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/transport/wire"
)

// serverSet holds a gateway's knowledge of the control-plane servers.
type serverSet struct {
	members  []raft.Member
	gateways []string
	leaderID identifier.Node
	// target is the server that requests are currently sent to, empty if one has yet to be
	// chosen.
	target wire.Peer
	// failedAt is when each server last failed.
	failedAt map[wire.Peer]clock.Monotonic
}

// neverFailed is earlier than any time at which a server can have failed.
const neverFailed clock.Monotonic = -1 << 40

// markFailed records the failure of a server, so that it is avoided for a while, and clears
// the target.
func (s *serverSet) markFailed(server wire.Peer, now clock.Monotonic) {
	s.failedAt[server] = now
	s.target = ""
}

// choose returns the leader unless it has failed recently, and otherwise the member whose
// last failure is the longest ago. It returns an empty peer if there are no members.
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

// ensureTarget returns the target, choosing one if there is none.
func (s *serverSet) ensureTarget(now clock.Monotonic) wire.Peer {
	if s.target == "" {
		s.target = s.choose(now)
	}
	return s.target
}

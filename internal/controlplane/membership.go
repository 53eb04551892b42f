// Seats of the group. A learner that has caught up takes the seat of a voter
// that is gone: first it becomes a voter, then the dead one leaves, each by its
// own entry. A member whose address another identity has taken lost its disk
// and never comes back, so that nothing is waited for; one that is merely
// silent is given a little time, and can ask for a seat again when it returns.

package controlplane

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/raft"
)

const (
	// voterSilentLimit is how long a voter is silent before a learner that stands ready
	// takes its seat. Losses may follow one another within few seconds.
	voterSilentLimit = 2000
	// A group has minVoters voters, and maxVoters where so many members live.
	minVoters = 3
	maxVoters = 5
	// caughtUpGap is how many entries a learner may lack when it becomes a voter.
	caughtUpGap = 64
)

// changeMembership changes the group by one member when there is reason to.
func (s *Server) changeMembership() {
	list := s.memberStates()
	calm := s.now.Since(s.leader.since) > voterSilentLimit
	if next := nextMembers(list, s.wantedVoters(list), calm); next != nil {
		s.raft.ProposeMembers(next)
	}
}

// wantedVoters is how many voters there should be. Five become three only when fewer
// than five have been alive for long; on the way up or down, with four, there
// is no reason to linger.
func (s *Server) wantedVoters(list []memberState) int {
	live, voters := 0, 0
	for _, member := range list {
		if member.live {
			live++
		}
		if member.Voter {
			voters++
		}
	}
	if live >= maxVoters {
		s.leader.fiveAliveAt = s.now
		return maxVoters
	}
	if voters >= maxVoters && s.now.Since(s.leader.fiveAliveAt) <= memberDeadAfter {
		return maxVoters
	}
	return minVoters
}

// memberStates is the group as this leader sees it. Whoever it has not heard in
// its own term is neither live nor ready.
func (s *Server) memberStates() []memberState {
	var out []memberState
	list, seen := s.raft.Members(), map[identifier.Node]raft.MemberStatus{}
	for _, status := range s.raft.MemberStatuses() {
		seen[status.ID] = status
	}
	for _, mem := range list {
		status, other := seen[mem.ID]
		if !other {
			out = append(out, memberState{Member: mem, self: true, live: true})
			continue
		}
		gone := addressTaken(list, mem)
		quiet := status.SilentFor
		if gone {
			quiet = max(quiet, memberDeadAfter) * 2
		}
		heard := status.WallTimeReadAt != 0 && quiet < voterSilentLimit && !status.Leaving
		out = append(out, memberState{Member: mem, silentFor: quiet, live: heard, replaceable: mem.Voter && (quiet > voterSilentLimit || status.Leaving), abandoned: !mem.Voter && quiet > memberDeadAfter,
			caughtUp: !mem.Voter && heard && quiet < voterSilentLimit/2 && status.Match >= s.raft.TermStart() && status.Match+caughtUpGap >= s.raft.CommitIndex()})
	}
	return out
}

// addressTaken tells whether a later member has this one's address: its process
// and its disk are gone.
func addressTaken(list []raft.Member, one raft.Member) bool {
	var yes bool
	seen := false
	for _, mem := range list {
		seen = seen || mem.ID == one.ID
		yes = yes || seen && mem.ID != one.ID && mem.Addr == one.Addr
	}
	return yes
}

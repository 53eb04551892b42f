package controlplane

import (
	"encoding/json"
	"net/http"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
)

const (
	// minVoterSilence is how long a voter is silent at least before a learner that has
	// caught up takes its place, silentElections the same in election timeouts. Losses may
	// follow one another within few seconds.
	minVoterSilence clock.Millis = 1000
	silentElections clock.Millis = 2
	// memberDeadAfter is how long a member is silent before it counts as dead for good.
	memberDeadAfter clock.Millis = 10000
	// maxLearners bounds the members without a vote.
	maxLearners = 4
	// A group has minVoters voters, and maxVoters where so many members live.
	minVoters = 3
	maxVoters = 5
	// caughtUpGap is how many entries a learner may lack when it becomes a voter.
	caughtUpGap = 64
)

// voterSilentLimit is how long a voter is silent before a learner that has caught up takes
// its place. Most of the time until the group tolerates its next loss is this silence. A
// voter that comes back later finds its seat taken, and is a learner.
func (s *Server) voterSilentLimit() clock.Millis {
	return max(minVoterSilence, silentElections*s.config.Timing.ElectionTimeout)
}

// changeMembership changes the group by one member when there is reason to. A learner
// that has caught up takes the place of a voter that is gone: first it becomes a
// voter, then the dead one leaves, each by its own entry. A member whose address
// another identity has taken lost its disk and never comes back, so that nothing is
// waited for; one that is merely silent is given a little time, and can ask to join
// again when it returns.
func (s *Server) changeMembership(statuses []raft.MemberStatus) {
	members := s.memberStates(statuses)
	established := s.now.Since(s.leader.since) > s.voterSilentLimit()
	wanted := s.wantedVoters(members)
	next := nextMembers(members, wanted, established)
	if next != nil && s.raft.ProposeMembers(next) {
		s.logMembershipChange(members, next, wanted)
	}
}

// logMembershipChange logs why the group is changed: how many voters are wanted, and which
// members are alive.
func (s *Server) logMembershipChange(members []memberState, next []raft.Member, wanted int) {
	var live []string
	var silent []string
	for _, member := range members {
		if member.live {
			live = append(live, member.ID.String())
		} else {
			silent = append(silent, member.ID.String())
		}
	}
	s.logEvent("membership-change", "wantedVoters", wanted, "votersBefore", countVoters(members), "list", next,
		"live", live, "silent", silent)
}

func countVoters(members []memberState) int {
	voters := 0
	for _, member := range members {
		if member.Voter {
			voters++
		}
	}
	return voters
}

// wantedVoters is how many voters there should be. Five become three only when fewer
// than five have been alive for long, and never where three could not bear the losses that
// are tolerated; on the way up or down, with four, there is no reason to linger.
func (s *Server) wantedVoters(members []memberState) int {
	live := 0
	voters := 0
	for _, member := range members {
		if member.live {
			live++
		}
		if member.Voter {
			voters++
		}
	}
	if live >= maxVoters {
		s.leader.maxVotersLiveAt = s.now
		return maxVoters
	}
	if voters >= maxVoters && s.votersToBearLosses() >= maxVoters {
		return maxVoters
	}
	if voters >= maxVoters && s.now.Since(s.leader.maxVotersLiveAt) <= memberDeadAfter {
		return maxVoters
	}
	return minVoters
}

// votersToBearLosses is how many voters it takes for what a majority has on disk, and for a
// majority itself, to outlast the loss of as many disks as are tolerated.
func (s *Server) votersToBearLosses() int {
	return 2*min(s.config.LossesTolerated, maxVoters/2) + 1
}

// memberStates is the group as this leader sees it. Whoever it has not heard in its
// own term is neither live nor caught up.
func (s *Server) memberStates(statuses []raft.MemberStatus) []memberState {
	members := s.raft.Members()
	byID := map[identifier.Node]raft.MemberStatus{}
	for _, status := range statuses {
		byID[status.ID] = status
	}
	var list []memberState
	for _, member := range members {
		status, other := byID[member.ID]
		if !other {
			list = append(list, memberState{Member: member, self: true, live: true})
			continue
		}
		list = append(list, s.memberState(member, status, addressTaken(members, member)))
	}
	return list
}

// memberState judges another member by what the leader has heard of it. gone says that
// its process and its disk are no more.
func (s *Server) memberState(member raft.Member, status raft.MemberStatus, gone bool) memberState {
	silentFor := status.SilentFor
	if gone {
		// Longer than any member that may still return, so that it is replaced first.
		silentFor = max(silentFor, memberDeadAfter) * 2
	}
	limit := s.voterSilentLimit()
	heard := status.WallTimeReadAt != 0 && silentFor < limit && !status.Leaving
	caughtUp := status.Match >= s.raft.TermStart() && status.Match+caughtUpGap >= s.raft.CommitIndex()
	return memberState{
		Member:      member,
		silentFor:   silentFor,
		live:        heard,
		replaceable: member.Voter && (silentFor > limit || status.Leaving),
		abandoned:   !member.Voter && silentFor > memberDeadAfter,
		caughtUp:    !member.Voter && heard && silentFor < limit/2 && caughtUp,
	}
}

// addressTaken reports whether a later member has this one's address: its process and
// its disk are gone.
func addressTaken(members []raft.Member, member raft.Member) bool {
	taken := false
	passed := false
	for _, other := range members {
		passed = passed || other.ID == member.ID
		taken = taken || passed && other.ID != member.ID && other.Addr == member.Addr
	}
	return taken
}

// joinResponse is the answer to a request to join.
type joinResponse struct {
	Asked bool `json:"asked"`
}

// handleJoin takes a server with an empty disk in as a learner, or notes a member's
// new address. Asking again does no harm.
func (s *Server) handleJoin(r *apiRequest) {
	var body joinRequest
	if err := json.Unmarshal(r.Body, &body); err != nil {
		s.replyError(r.peer, r.ID, errJoinMalformed)
		return
	}
	id, ok := identifier.ParseNode(body.ID)
	if !ok || body.Addr == "" {
		s.replyError(r.peer, r.ID, errJoinIncomplete)
		return
	}
	if body.Level < s.state.Level {
		s.logEvent("join-refused", "node", id, "level", body.Level, "want", s.state.Level)
		s.replyError(r.peer, r.ID, errTooOldToJoin)
		return
	}
	next, ok := membersWith(s.raft.Members(), raft.Member{ID: id, Addr: body.Addr, Domain: body.Domain})
	if !ok {
		s.replyError(r.peer, r.ID, errLearnersFull)
		return
	}
	s.raft.ProposeMembers(next)
	s.replyJSON(r.peer, r.ID, http.StatusAccepted, joinResponse{Asked: true})
}

// membersWith is a member list with a joining member: a known one has its address
// changed, another one is added as a learner. It is not ok when there are enough
// learners.
func membersWith(members []raft.Member, joining raft.Member) (next []raft.Member, ok bool) {
	known := false
	learners := 0
	for _, member := range members {
		if !member.Voter {
			learners++
		}
		if member.ID == joining.ID {
			known = true
			member.Addr = joining.Addr
			member.Domain = joining.Domain
		}
		next = append(next, member)
	}
	if known {
		return next, true
	}
	if learners >= maxLearners {
		return nil, false
	}
	return append(next, joining), true
}

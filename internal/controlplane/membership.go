package controlplane

import (
	"encoding/json"
	"net/http"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
)

const (
	// minVoterSilence is the minimum time, and silentElections the minimum number of
	// election timeouts, that a voter must be silent before a caught-up learner replaces
	// it. Both are short because losses may follow one another within a few seconds.
	minVoterSilence clock.Millis = 1000
	silentElections clock.Millis = 2
	// memberDeadAfter is how long a member is silent before it is considered permanently
	// dead.
	memberDeadAfter clock.Millis = 10000
	// maxLearners bounds the members without a vote.
	maxLearners = 4
	// A group has minVoters voters, or maxVoters if that many members are live.
	minVoters = 3
	maxVoters = 5
	// caughtUpGap is how many entries a learner may lag behind when it becomes a voter.
	caughtUpGap = 64
)

// voterSilentLimit is how long a voter is silent before a caught-up learner replaces it.
// This wait accounts for most of the time until the group can tolerate its next loss. A
// voter that returns later finds itself replaced and becomes a learner.
func (s *Server) voterSilentLimit() clock.Millis {
	return max(minVoterSilence, silentElections*s.config.Timing.ElectionTimeout)
}

// changeMembership changes the group by at most one member. A caught-up learner replaces
// a dead voter in two steps, each with its own entry: the learner becomes a voter, then
// the dead voter is removed. A member whose address has been taken over by another
// identity has lost its disk and never returns, so it is replaced without delay; one that
// is merely silent gets a grace period, and can ask to join again when it returns.
func (s *Server) changeMembership(statuses []raft.MemberStatus) {
	members := s.memberStates(statuses)
	established := s.now.Since(s.leader.since) > s.voterSilentLimit()
	wanted := s.wantedVoters(members)
	next := nextMembers(members, wanted, established)
	if next != nil && s.raft.ProposeMembers(next) {
		s.logMembershipChange(members, next, wanted)
	}
}

// logMembershipChange logs the inputs of a membership change: how many voters are wanted,
// and which members are live.
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

// wantedVoters returns the desired number of voters. A group of five shrinks to three
// only after fewer than five members have been live for memberDeadAfter, and never if
// three could not tolerate the configured losses. With four voters the group is already
// growing or shrinking and there is no reason to wait.
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
	if voters >= maxVoters && s.votersToTolerateLosses() >= maxVoters {
		return maxVoters
	}
	if voters >= maxVoters && s.now.Since(s.leader.maxVotersLiveAt) <= memberDeadAfter {
		return maxVoters
	}
	return minVoters
}

// votersToTolerateLosses returns how many voters are needed so that both committed data
// and a majority survive the loss of the configured number of disks.
func (s *Server) votersToTolerateLosses() int {
	return 2*min(s.config.LossesTolerated, maxVoters/2) + 1
}

// memberStates returns the group as this leader sees it. A member that has not been heard
// in this leader's term is neither live nor caught up.
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

// memberState assesses another member by what the leader has heard from it. addressReused
// means that the member's process and disk no longer exist.
func (s *Server) memberState(member raft.Member, status raft.MemberStatus, addressReused bool) memberState {
	silentFor := status.SilentFor
	if addressReused {
		// Longer than for any member that may still return, so that this one is replaced
		// first.
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

// addressTaken reports whether a member later in the list has the same address, which
// means that this member's process and disk are gone.
func addressTaken(members []raft.Member, member raft.Member) bool {
	taken := false
	passed := false
	for _, other := range members {
		passed = passed || other.ID == member.ID
		taken = taken || passed && other.ID != member.ID && other.Addr == member.Addr
	}
	return taken
}

// joinResponse is the response to a join request.
type joinResponse struct {
	Asked bool `json:"asked"`
}

// handleJoin adds a server with an empty disk as a learner, or updates a member's
// address. It is idempotent.
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

// membersWith returns the member list after a join: a known member has its address
// updated, a new one is added as a learner. ok is false if the group already has
// maxLearners learners.
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

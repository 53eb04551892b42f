package raft

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// MemberStatus is what the leader can tell of one member.
type MemberStatus struct {
	Member
	Match           identifier.Index
	SilentFor       clock.Millis
	WallTime        clock.WallTime
	WallTimeReadAt  clock.Monotonic
	FirstKnownTerm  identifier.Term
	ClusterTime     clock.ClusterTime
	ClusterTimeTerm identifier.Term
	Level           uint16
	// Leaving is a member that has said that it stops soon.
	Leaving bool
}

// MemberStatuses lists the other members as the leader sees them.
func (r *Raft) MemberStatuses() []MemberStatus {
	var statuses []MemberStatus
	for _, m := range r.Members() {
		if p := r.peers[m.ID]; p != nil {
			statuses = append(statuses, MemberStatus{Member: m, Match: p.match, SilentFor: r.now.Since(p.lastHeardAt), WallTime: p.wallTime, WallTimeReadAt: p.wallTimeReadAt, FirstKnownTerm: p.firstKnownTerm, ClusterTime: p.clusterTime, ClusterTimeTerm: p.clusterTimeTerm, Level: p.level, Leaving: p.leaving})
		}
	}
	return statuses
}

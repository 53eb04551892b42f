package raft

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// MemberStatus is what the leader knows of one other member.
type MemberStatus struct {
	Member
	// Match is the last entry known to be on the member's disk.
	Match identifier.Index
	// SilentFor is how long ago the member last answered.
	SilentFor clock.Millis
	// WallTime is the member's wall clock, read at WallTimeReadAt of the leader's
	// monotonic clock.
	WallTime       clock.WallTime
	WallTimeReadAt clock.Monotonic
	// FirstKnownTerm is the first term in which the member's process knew a
	// leader.
	FirstKnownTerm identifier.Term
	// ClusterTime is the cluster time that the member would continue from, and
	// ClusterTimeTerm the term of the entry that it has it from.
	ClusterTime     clock.ClusterTime
	ClusterTimeTerm identifier.Term
	// Level is the highest level of commands that the member knows.
	Level uint16
	// Leaving says that the member has announced that it stops soon.
	Leaving bool
}

// MemberStatuses lists the other members as the leader sees them, none on any
// other member.
func (r *Raft) MemberStatuses() []MemberStatus {
	var statuses []MemberStatus
	for _, m := range r.Members() {
		if p := r.peers[m.ID]; p != nil {
			statuses = append(statuses, p.status(m, r.now))
		}
	}
	return statuses
}

func (p *peer) status(m Member, now clock.Monotonic) MemberStatus {
	return MemberStatus{
		Member:          m,
		Match:           p.match,
		SilentFor:       now.Since(p.lastHeardAt),
		WallTime:        p.wallTime,
		WallTimeReadAt:  p.wallTimeReadAt,
		FirstKnownTerm:  p.evidence.firstKnownTerm,
		ClusterTime:     p.evidence.clusterTime,
		ClusterTimeTerm: p.evidence.clusterTimeTerm,
		Level:           p.level,
		Leaving:         p.leaving,
	}
}

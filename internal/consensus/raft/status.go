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
	// Transfer is the snapshot on its way to the member; its Index is 0 for none.
	Transfer TransferStatus
}

// TransferStatus is how far the transfer of a snapshot has come.
type TransferStatus struct {
	// Index is the last entry that the snapshot covers.
	Index identifier.Index
	// Acknowledged of Total bytes are known to have arrived.
	Acknowledged int64
	Total        int64
	// UnchangedFor is how long ago the transfer began or Acknowledged last changed.
	UnchangedFor clock.Millis
}

// IncomingSnapshot is the snapshot that this member is being sent: the last entry it
// covers and how many of its bytes have arrived. It is not ok while there is none.
func (r *Raft) IncomingSnapshot() (index identifier.Index, received int64, ok bool) {
	if r.incoming.snapshot == nil {
		return 0, 0, false
	}
	return r.incoming.snapshot.Index, r.incoming.size(), true
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
		Transfer:        p.transfer.status(now),
	}
}

func (t *snapshotTransfer) status(now clock.Monotonic) TransferStatus {
	if t.snapshot == nil {
		return TransferStatus{}
	}
	return TransferStatus{
		Index:        t.snapshot.Index,
		Acknowledged: t.offset,
		Total:        int64(len(t.snapshot.Data)),
		UnchangedFor: now.Since(t.advancedAt),
	}
}

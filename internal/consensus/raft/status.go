package raft

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// MemberStatus is the leader's view of another member.
type MemberStatus struct {
	Member
	// Match is the index of the last entry known to be on the member's disk.
	Match identifier.Index
	// SilentFor is the time since the member's last reply.
	SilentFor clock.Millis
	// WallTime is the member's wall clock, as received at WallTimeReadAt on the leader's
	// monotonic clock.
	WallTime       clock.WallTime
	WallTimeReadAt clock.Monotonic
	// FirstKnownTerm is the first term in which the member's process knew a
	// leader.
	FirstKnownTerm identifier.Term
	// ClusterTime is the cluster time that the member would continue from as leader, and
	// ClusterTimeTerm the term of the entry that this time is derived from.
	ClusterTime     clock.ClusterTime
	ClusterTimeTerm identifier.Term
	// Level is the highest command level that the member supports.
	Level uint16
	// Leaving is set if the member has announced that it is about to stop.
	Leaving bool
	// Transfer is the snapshot transfer to the member; its Index is 0 if there is none.
	Transfer TransferStatus
}

// TransferStatus is the progress of a snapshot transfer.
type TransferStatus struct {
	// Index is the index of the last entry that the snapshot covers.
	Index identifier.Index
	// Acknowledged is the number of bytes, of Total, that the member has acknowledged.
	Acknowledged int64
	Total        int64
	// UnchangedFor is the time since the transfer began or Acknowledged last changed.
	UnchangedFor clock.Millis
}

// IncomingSnapshot returns the progress of the snapshot that this member is receiving:
// the index of the last entry it covers and the number of bytes received so far. ok is
// false if no transfer is in progress.
func (r *Raft) IncomingSnapshot() (index identifier.Index, received int64, ok bool) {
	if r.incoming.snapshot == nil {
		return 0, 0, false
	}
	return r.incoming.snapshot.Index, r.incoming.size(), true
}

// MemberStatuses returns the status of all other members on the leader, and nil on any
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

package raft

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// Role is the role of a member in its current term.
type Role uint8

const (
	// Follower accepts entries from the leader of its term, if there is one.
	Follower Role = iota
	// PreCandidate asks the voters whether it could win an election, without
	// incrementing its term.
	PreCandidate
	// Candidate has incremented its term, voted for itself and requests votes from the
	// other voters.
	Candidate
	// Leader has received votes from a quorum. Only the leader appends new entries.
	Leader
)

// noLeader means that the leader is unknown.
const noLeader identifier.Node = 0

// never precedes every time that a clock returns.
const never clock.Monotonic = -1 << 40

// Raft is one member of the group, implemented as a deterministic state machine. It
// performs no I/O and reads no clock: the caller passes in the time, messages and
// completed writes, and collects the results with TakeOutput. It is not safe for
// concurrent use.
type Raft struct {
	id     identifier.Node
	timing Timing

	// startedAt is when this process started; now and wall are the monotonic and the
	// wall time of the input being handled.
	startedAt clock.Monotonic
	now       clock.Monotonic
	wall      clock.WallTime

	hardState HardState
	role      Role
	leader    identifier.Node
	// leaderHeardAt is when a message from a leader of any term last arrived.
	leaderHeardAt clock.Monotonic
	timer         electionTimer
	votes         map[identifier.Node]bool

	leadership leadership
	// peers tracks the other members while this member leads; nil otherwise.
	peers map[identifier.Node]*peer

	log  log
	tail tailLimit
	// truncatedFrom is the lowest index replaced since the last TakeTruncatedFrom, 0 if
	// none was.
	truncatedFrom  identifier.Index
	configurations []configuration
	commit         identifier.Index
	// delivered is the last index returned in Output.Committed.
	delivered identifier.Index
	incoming  incomingSnapshot

	evidence clockEvidence
	// level is the highest command level that this member supports.
	level uint16
	// leaving is set once this member is about to stop, permanently or temporarily.
	leaving bool

	outbox outbox
}

// leadership describes the term in which a member leads, or in which it last led.
type leadership struct {
	electedAt       clock.Monotonic
	heartbeatSentAt clock.Monotonic
	// termStart is the index of the blank entry at the start of the term.
	termStart identifier.Index
	// previousLogTerm is the term of the last entry before termStart.
	previousLogTerm identifier.Term
}

// clockEvidence holds what a member reports for the agreement on the cluster time.
type clockEvidence struct {
	// firstKnownTerm is the first term in which the process knew a leader, 0 if it has
	// not known one yet.
	firstKnownTerm identifier.Term
	clusterTime    clock.ClusterTime
	// clusterTimeTerm is the term of the entry that clusterTime is derived from.
	clusterTimeTerm identifier.Term
}

// New returns a member restored from its disk: the hard state, the newest snapshot and
// the entries after it. A new group starts from a snapshot that contains its initial
// members and no data. The seed randomizes election timeouts.
func New(
	id identifier.Node, timing Timing, seed int64, now clock.Monotonic,
	hardState HardState, snapshot *Snapshot, entries []Entry,
) *Raft {
	r := &Raft{
		id:             id,
		timing:         timing,
		startedAt:      now,
		now:            now,
		hardState:      hardState,
		leaderHeardAt:  never,
		timer:          newElectionTimer(timing.ElectionTimeout, seed, now),
		log:            log{base: snapshot.Index, baseTerm: snapshot.Term, snapshot: snapshot, entries: entries},
		tail:           defaultTail,
		configurations: []configuration{{snapshot.Index, snapshot.Members}},
		commit:         snapshot.Index,
		delivered:      snapshot.Index,
	}
	for _, e := range entries {
		r.recordConfiguration(e)
	}
	r.outbox.syncedIndex = r.log.last()
	return r
}

// Role returns the role of this member in its current term.
func (r *Raft) Role() Role { return r.role }

// Leader returns the leader of the current term, 0 if this member knows none.
func (r *Raft) Leader() identifier.Node { return r.leader }

// Term returns the current term, which may not have been synced to disk yet.
func (r *Raft) Term() identifier.Term { return r.hardState.Term }

// CommitIndex returns the highest index known to be committed.
func (r *Raft) CommitIndex() identifier.Index { return r.commit }

// LastIndex returns the index of the last entry in the log, committed or not.
func (r *Raft) LastIndex() identifier.Index { return r.log.last() }

// SnapshotIndex returns the index of the last entry that the newest snapshot covers.
func (r *Raft) SnapshotIndex() identifier.Index { return r.log.snapshot.Index }

// TermStart returns the index of the blank entry that this leader appended at the start
// of its term. Once that entry is applied, the leader's state contains every entry
// committed in earlier terms.
func (r *Raft) TermStart() identifier.Index { return r.leadership.termStart }

// SetLevel sets the highest command level that this member supports. The member
// announces it in every message.
func (r *Raft) SetLevel(level uint16) { r.level = level }

// TakeTruncatedFrom returns the lowest index at which another leader's entry replaced
// one of this log since the last call, 0 if there is none.
func (r *Raft) TakeTruncatedFrom() identifier.Index {
	index := r.truncatedFrom
	r.truncatedFrom = 0
	return index
}

// ClusterTimeTerm returns the term of the last entry in this leader's log when it was
// elected. Besides its own, the leader accepts only the cluster times of members whose
// cluster time is derived from an entry of at least that term.
func (r *Raft) ClusterTimeTerm() identifier.Term { return r.leadership.previousLogTerm }

// SetClusterTime sets the cluster time that this member would continue from as leader,
// and the term of the entry that this time is derived from.
func (r *Raft) SetClusterTime(clusterTime clock.ClusterTime, term identifier.Term) {
	r.evidence.clusterTime = clusterTime
	r.evidence.clusterTimeTerm = term
}

// FirstKnownTerm returns the first term in which this process knew a leader, 0 if it
// has not known one yet.
func (r *Raft) FirstKnownTerm() identifier.Term { return r.evidence.firstKnownTerm }

// recordFirstKnownTerm sets the first known term unless it is already set.
func (r *Raft) recordFirstKnownTerm() {
	if r.evidence.firstKnownTerm == 0 {
		r.evidence.firstKnownTerm = r.hardState.Term
	}
}

// setHardState changes the term or the vote; both are part of the next write.
func (r *Raft) setHardState(h HardState) {
	r.hardState = h
	r.outbox.setHardState(h)
}

package raft

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// Role is the part that a member plays in its current term.
type Role uint8

const (
	// Follower accepts entries from the leader of its term, if there is one.
	Follower Role = iota
	// PreCandidate asks whether it would win an election, without raising its
	// term.
	PreCandidate
	// Candidate has raised its term, voted for itself and asks the others for
	// votes.
	Candidate
	// Leader won the votes of a quorum and is the only one that appends entries.
	Leader
)

// noLeader stands for an unknown leader.
const noLeader identifier.Node = 0

// never is a time before all others.
const never clock.Monotonic = -1 << 40

// Raft is one member of the group as a pure state machine. It does no input or
// output and reads no clock: the caller passes in the time, messages and
// finished writes, and collects the results with TakeOutput. It is not safe for
// concurrent use.
type Raft struct {
	id     identifier.Node
	timing Timing

	// startedAt is when this process started; now and wall are the times of the
	// input being handled.
	startedAt clock.Monotonic
	now       clock.Monotonic
	wall      clock.WallTime

	hardState HardState
	role      Role
	leader    identifier.Node
	// leaderHeardAt is when a leader of any term was last heard.
	leaderHeardAt clock.Monotonic
	timer         electionTimer
	votes         map[identifier.Node]bool

	leadership leadership
	// peers holds the other members while this one leads; nil otherwise.
	peers map[identifier.Node]*peer

	log  log
	tail tailLimit
	// truncatedFrom is the lowest index replaced since TakeTruncatedFrom, 0 for
	// none.
	truncatedFrom  identifier.Index
	configurations []configuration
	commit         identifier.Index
	// delivered is the last index handed out in Output.Committed.
	delivered identifier.Index
	incoming  incomingSnapshot

	evidence clockEvidence
	// level is the highest level of commands that this member knows.
	level uint16
	// leaving says that this member is about to stop for good or for a while.
	leaving bool

	outbox outbox
}

// leadership is what a member knows of the term in which it leads, or in which
// it last led.
type leadership struct {
	electedAt       clock.Monotonic
	heartbeatSentAt clock.Monotonic
	// termStart is the index of the blank entry that opened the term.
	termStart identifier.Index
	// previousLogTerm is the term of the last entry before termStart.
	previousLogTerm identifier.Term
}

// clockEvidence is what a member contributes to the group's cluster time.
type clockEvidence struct {
	// firstKnownTerm is the first term in which the process knew a leader, 0
	// before that.
	firstKnownTerm identifier.Term
	clusterTime    clock.ClusterTime
	// clusterTimeTerm is the term of the entry that clusterTime comes from.
	clusterTimeTerm identifier.Term
}

// New makes a member from what its disk holds: the hard state, the newest
// snapshot, and the entries after it. A new group starts from a snapshot that
// carries its first members and no data. The seed randomizes election timeouts.
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

// Role is the part this member plays in its current term.
func (r *Raft) Role() Role { return r.role }

// Leader is the leader of the current term as far as this member knows, 0 for
// none.
func (r *Raft) Leader() identifier.Node { return r.leader }

// Term is the current term. It may not have been synced to disk yet.
func (r *Raft) Term() identifier.Term { return r.hardState.Term }

// CommitIndex is the highest index known to be committed.
func (r *Raft) CommitIndex() identifier.Index { return r.commit }

// LastIndex is the index of the last entry in the log, committed or not.
func (r *Raft) LastIndex() identifier.Index { return r.log.last() }

// SnapshotIndex is the index that the newest snapshot covers.
func (r *Raft) SnapshotIndex() identifier.Index { return r.log.snapshot.Index }

// TermStart is the index of the blank entry with which this leader opened its
// term. Once that is applied, the leader's state holds all that was ever
// acknowledged.
func (r *Raft) TermStart() identifier.Index { return r.leadership.termStart }

// SetLevel sets the highest level of commands that this member knows, which it
// sends along with each message.
func (r *Raft) SetLevel(level uint16) { r.level = level }

// TakeTruncatedFrom returns the lowest index whose entry was replaced by another
// leader's since the last call, 0 for none.
func (r *Raft) TakeTruncatedFrom() identifier.Index {
	index := r.truncatedFrom
	r.truncatedFrom = 0
	return index
}

// ClusterTimeTerm is the term of the last entry that this leader found in its
// log when it was elected. Only a cluster time carried on from that term counts
// beside its own.
func (r *Raft) ClusterTimeTerm() identifier.Term { return r.leadership.previousLogTerm }

// SetClusterTime sets the cluster time that this member would continue from,
// and the term of the entry that it has it from.
func (r *Raft) SetClusterTime(clusterTime clock.ClusterTime, term identifier.Term) {
	r.evidence.clusterTime = clusterTime
	r.evidence.clusterTimeTerm = term
}

// FirstKnownTerm is the first term in which this process knew a leader, 0 before
// that.
func (r *Raft) FirstKnownTerm() identifier.Term { return r.evidence.firstKnownTerm }

// recordFirstKnownTerm sets the first known term unless it is set already.
func (r *Raft) recordFirstKnownTerm() {
	if r.evidence.firstKnownTerm == 0 {
		r.evidence.firstKnownTerm = r.hardState.Term
	}
}

// setHardState changes the term or the vote; both go to disk with the next
// write.
func (r *Raft) setHardState(h HardState) {
	r.hardState = h
	r.outbox.setHardState(h)
}

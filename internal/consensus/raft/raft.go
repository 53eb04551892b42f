// Raft is the machine. Each of Tick, Step, Synced and Propose is one input;
// Take then hands over what it led to.

package raft

import (
	"math/rand"

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

const (
	maxAppendBytes     = 256 << 10
	maxInFlightEntries = 2048
	maxInFlightBytes   = 8 << 20
	snapshotChunkBytes = 256 << 10
)

// never is a time before all others.
const never clock.Monotonic = -1 << 40

type configuration struct {
	index   identifier.Index
	members []Member
}

type pendingMessage struct {
	seq     uint64
	message Message
	ownVote bool
}

// Raft is one member of the group as a pure state machine. It does no input or
// output and reads no clock: the caller passes in the time, messages and
// finished writes, and collects the results with Take. It is not safe for
// concurrent use.
type Raft struct {
	id        identifier.Node
	timing    Timing
	random    *rand.Rand
	startedAt clock.Monotonic
	now       clock.Monotonic
	wall      clock.WallTime

	hardState      HardState
	role           Role
	leader         identifier.Node
	log            log
	tail           tailLimit
	configurations []configuration
	commit         identifier.Index
	delivered      identifier.Index

	timerResetAt clock.Monotonic
	// leaderHeardAt is when a leader was last heard, of whatever term.
	leaderHeardAt     clock.Monotonic
	randomizedTimeout clock.Millis
	votes             map[identifier.Node]bool
	peers             map[identifier.Node]*peer
	heartbeatSentAt   clock.Monotonic
	electedAt         clock.Monotonic
	firstKnownTerm    identifier.Term
	clusterTime       clock.ClusterTime
	clusterTimeTerm   identifier.Term
	previousLogTerm   identifier.Term
	termStart         identifier.Index
	incomingSnapshot  *Snapshot
	incomingFrom      identifier.Node
	level             uint16
	truncatedFrom     identifier.Index
	// leaving says that this member is about to stop for good or for a while.
	leaving bool

	seq             uint64
	syncedSeq       uint64
	hardStateSeq    uint64
	syncedIndex     identifier.Index
	inFlight        []inFlightWrite
	pendingMessages []pendingMessage
	write           Write
	output          Output
}

// inFlightWrite is a write handed out and not yet synced.
type inFlightWrite struct {
	seq       uint64
	lastIndex identifier.Index
	issuedAt  clock.Monotonic
}

// New starts from what the disk gave: the hard state, the last view (nil for a
// founding log, whose members are given), and the entries after it.
func New(id identifier.Node, timing Timing, seed int64, now clock.Monotonic, hardState HardState, snapshot *Snapshot, entries []Entry) *Raft {
	r := &Raft{id: id, timing: timing, random: rand.New(rand.NewSource(seed)), startedAt: now, now: now, hardState: hardState, timerResetAt: now, leaderHeardAt: never, tail: defaultTail}
	r.log = log{base: snapshot.Index, baseTerm: snapshot.Term, snapshot: snapshot, entries: entries}
	r.commit, r.delivered = snapshot.Index, snapshot.Index
	r.configurations = []configuration{{snapshot.Index, snapshot.Members}}
	for _, e := range entries {
		r.recordConfiguration(e)
	}
	r.syncedIndex = r.log.last()
	r.resetElectionTimer()
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

// SetLevel sets the level this member says it knows.
func (r *Raft) SetLevel(level uint16) { r.level = level }

// TakeTruncatedFrom tells the lowest index whose entry another has replaced since it was
// last asked; 0 for none.
func (r *Raft) TakeTruncatedFrom() identifier.Index {
	var i identifier.Index
	i, r.truncatedFrom = r.truncatedFrom, 0
	return i
}

// ClusterTimeTerm is the term of the last entry this leader found in its log: only a
// cluster time carried on from that term counts beside its own.
func (r *Raft) ClusterTimeTerm() identifier.Term { return r.previousLogTerm }

// CarryClusterTime takes the cluster time this keeper would go on from, and the term of the
// entry it has it from.
func (r *Raft) CarryClusterTime(clusterTime clock.ClusterTime, term identifier.Term) {
	r.clusterTime, r.clusterTimeTerm = clusterTime, term
}

// FirstKnownTerm is the first term in which this process knew a leader, 0 before that.
func (r *Raft) FirstKnownTerm() identifier.Term { return r.firstKnownTerm }

// SnapshotIndex is the index that the newest snapshot covers.
func (r *Raft) SnapshotIndex() identifier.Index { return r.log.snapshot.Index }

// TermStart is the index of the blank entry a leader opens its term with: once
// that is applied the leader's state holds all that was ever acknowledged.
func (r *Raft) TermStart() identifier.Index { return r.termStart }

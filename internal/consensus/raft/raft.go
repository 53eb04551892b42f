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
	appendBytes = 256 << 10
	window      = 2048
	windowBytes = 8 << 20
	chunk       = 256 << 10
)

// never is a time before all others.
const never clock.Monotonic = -1 << 40

type configuration struct {
	index   identifier.Index
	members []Member
}

type pendingMessage struct {
	seq uint64
	msg Message
	own bool
}

// Raft is one member of the group as a pure state machine. It does no input or
// output and reads no clock: the caller passes in the time, messages and
// finished writes, and collects the results with Take. It is not safe for
// concurrent use.
type Raft struct {
	id    identifier.Node
	tm    Timing
	rnd   *rand.Rand
	start clock.Monotonic
	now   clock.Monotonic
	wall  clock.WallTime

	hard           HardState
	role           Role
	lead           identifier.Node
	log            log
	tail           tailLimit
	configurations []configuration
	commit         identifier.Index
	taken          identifier.Index

	heard clock.Monotonic
	// followed is when a leader was last heard, of whatever term.
	followed      clock.Monotonic
	wait          clock.Millis
	votes         map[identifier.Node]bool
	peers         map[identifier.Node]*peer
	beat          clock.Monotonic
	ledSince      clock.Monotonic
	met           identifier.Term
	site          clock.ClusterTime
	from          identifier.Term
	basis         identifier.Term
	first         identifier.Index
	receiving     *Snapshot
	receivingFrom identifier.Node
	level         uint16
	truncatedFrom identifier.Index
	// leaving says that this member is about to stop for good or for a while.
	leaving bool

	seq             uint64
	done            uint64
	hardSeq         uint64
	synced          identifier.Index
	inFlight        []flight
	pendingMessages []pendingMessage
	write           Write
	out             Output
}

// flight is a write handed out and not yet synced.
type flight struct {
	seq  uint64
	last identifier.Index
	at   clock.Monotonic
}

// New starts from what the disk gave: the hard state, the last view (nil for a
// founding log, whose members are given), and the entries after it.
func New(id identifier.Node, tm Timing, seed int64, now clock.Monotonic, hard HardState, view *Snapshot, list []Entry) *Raft {
	r := &Raft{id: id, tm: tm, rnd: rand.New(rand.NewSource(seed)), start: now, now: now, hard: hard, heard: now, followed: never, tail: defaultTail}
	r.log = log{base: view.Index, baseTerm: view.Term, view: view, list: list}
	r.commit, r.taken = view.Index, view.Index
	r.configurations = []configuration{{view.Index, view.Members}}
	for _, e := range list {
		r.learnConfiguration(e)
	}
	r.synced = r.log.last()
	r.resetElectionWait()
	return r
}

// Role is the part this member plays in its current term.
func (r *Raft) Role() Role { return r.role }

// Leader is the leader of the current term as far as this member knows, 0 for
// none.
func (r *Raft) Leader() identifier.Node { return r.lead }

// Term is the current term. It may not have been synced to disk yet.
func (r *Raft) Term() identifier.Term { return r.hard.Term }

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
func (r *Raft) ClusterTimeTerm() identifier.Term { return r.basis }

// CarryClusterTime takes the cluster time this keeper would go on from, and the term of the
// entry it has it from.
func (r *Raft) CarryClusterTime(site clock.ClusterTime, from identifier.Term) {
	r.site, r.from = site, from
}

// FirstKnownTerm is the first term in which this process knew a leader, 0 before that.
func (r *Raft) FirstKnownTerm() identifier.Term { return r.met }

// SnapshotIndex is the index that the newest snapshot covers.
func (r *Raft) SnapshotIndex() identifier.Index { return r.log.view.Index }

// TermStart is the index of the blank entry a leader opens its term with: once
// that is applied the leader's state holds all that was ever acknowledged.
func (r *Raft) TermStart() identifier.Index { return r.first }

// Tick passes in the time. A leader sends heartbeats that are due, and steps
// down when no quorum has answered it for two election timeouts; any other voter
// starts a pre-vote once its election timeout has passed without a leader.
func (r *Raft) Tick(now clock.Monotonic, wall clock.WallTime) {
	r.now, r.wall = now, wall
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if now.Since(r.heard) >= r.wait && r.voter(r.id) && !r.leaving {
		r.campaign(RequestPreVote, false)
	}
}

func (r *Raft) tickLeader() {
	if r.now.Since(max(r.ledSince, r.quorumAck(r.now))) >= 2*r.tm.ElectionTimeout {
		r.becomeFollower(r.hard.Term, 0)
		return
	}
	if r.slow() {
		r.TransferLeadership()
		return
	}
	if r.now.Since(r.beat) >= r.tm.HeartbeatInterval {
		r.beat = r.now
		for _, m := range r.Members() {
			r.replicateTo(m.ID, true)
		}
	}
}

// slow tells whether this leader's own disk holds the group up: a write of its
// own is long overdue while a quorum of the others has synced past it.
func (r *Raft) slow() bool {
	if len(r.inFlight) == 0 || r.now.Since(r.inFlight[0].at) < r.tm.ElectionTimeout {
		return false
	}
	ahead := 0
	for _, m := range r.Members() {
		if p := r.peers[m.ID]; m.Voter && p != nil && p.match > r.synced {
			ahead++
		}
	}
	return ahead > 0 && ahead >= r.voters()/2
}

// Machine ties the parts together. Its inputs are Tick, Frame, Synced and
// Started; Take hands over the output.

package controlplane

import (
	"github.com/go-faster/errors"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/scheduler"
	"orchidward/internal/scheduler/policy"
	"orchidward/internal/state"
	"orchidward/internal/transport/wire"
)

// Server is a control-plane server as a pure state machine: consensus, the
// replicated state, and the work of the leader. It does no input or output and
// reads no clock. It is not safe for concurrent use.
type Server struct {
	config Config
	now    clock.Monotonic
	wall   clock.WallTime
	raft   *raft.Raft
	state  *state.Store
	at     identifier.Index
	since  int64
	seen   clusterClock
	// seenTerm is the term of the entry that seen goes on from.
	seenTerm identifier.Term
	// gots notes when entries came, for those not yet applied: an entry's time
	// runs on from then, however late it is decided.
	gots []got
	sums sums
	// voice is who leads, by its own word: the members this keeper knows of may
	// be of a time before that one was among them.
	voice voice
	// leaderClock is the latest reading of the leader's clock that came here.
	leaderClock wire.LeaderTime
	over        bool
	// routed is what gateways are told from.
	routed routed
	// leave is the orderly stop under way, nil until it begins.
	leave *leaving
	// follows is where the leader listens that this keeper last knew.
	follows wire.Peer
	reach   reach
	// reached is when this keeper last had a leader to go to.
	reached clock.Monotonic
	out     Output

	founders []raft.Member
	find     *find
	porter   *porter
	gates    map[string]clock.Monotonic
	// edge is where gates listen, and when each was last heard.
	edge  map[string]clock.Monotonic
	alone clock.Monotonic

	waits  map[identifier.Index]wait
	tables int
	bytes  int
	relays map[uint64]relay
	nextID uint64

	term   identifier.Term
	lead   *lead
	reason map[identifier.JobKey]map[int]string
	shelf  *policy.Cache
	fared  scheduler.PolicyResults
	// LogPercentUsed tells how much of the write-ahead log is in use, in percent, so that
	// a snapshot is taken before it is full. The owner of the disk replaces it.
	LogPercentUsed func() int
}

// wait is a request whose proposal is under way.
type wait struct {
	peer  wire.Peer
	id    uint64
	term  identifier.Term
	table bool
	size  int
}

// voice is a keeper and the line it was heard on.
type voice struct {
	id   identifier.Node
	peer wire.Peer
}

// relay is a request passed on to the leader for another: to is whom it was
// passed to, and the only one whose reply counts.
type relay struct {
	peer wire.Peer
	id   uint64
	to   wire.Peer
	at   clock.Monotonic
}

// New makes a server without any state: one with a disk looks for a group to
// join or, if told so, founds one; one without a disk only forwards requests to
// the leader. Resume follows where the disk held state.
func New(boot Config, now clock.Monotonic) *Server {
	m := &Server{config: boot, now: now, nextID: uint64(boot.Seed), gates: map[string]clock.Monotonic{}, edge: map[string]clock.Monotonic{}, waits: map[identifier.Index]wait{}, relays: map[uint64]relay{},
		find: newFind(now), alone: now, reached: now, reason: map[identifier.JobKey]map[int]string{}, state: state.New(), shelf: policy.NewCache(), fared: scheduler.PolicyResults{}, LogPercentUsed: func() int { return 0 }}
	if boot.Diskless {
		m.find, m.porter = nil, &porter{}
	}
	return m
}

// Resume starts from what the disk held. A view that doesn't decode is damage
// that no keeper should run over.
func (m *Server) Resume(hard raft.HardState, view *raft.Snapshot, list []raft.Entry) error {
	b, err := state.Decode(view.Data)
	if err != nil {
		return err
	}
	if b.Level > m.config.Level {
		return errors.Errorf("the folder is of level %d, and this program knows %d: start one at least as new as before", b.Level, m.config.Level)
	}
	m.state, m.at = b, view.Index
	m.forgetRouting()
	m.founders = view.Members
	m.raft = raft.New(m.config.ID, m.config.Timing, m.config.Seed, m.now, hard, view, list)
	m.raft.SetLevel(m.config.Level)
	m.find = nil
	return nil
}

// Config is the configuration that the server was started with.
func (m *Server) Config() Config { return m.config }

// State is the replicated state as applied so far. Callers must not change it.
func (m *Server) State() *state.Store { return m.state }

// Raft is the member of the consensus group, nil until this server belongs to
// one.
func (m *Server) Raft() *raft.Raft { return m.raft }

func (m *Server) event(name string, vals ...any) {
	m.out.Events = append(m.out.Events, Event{name, vals})
}

func (m *Server) send(to wire.Peer, msg wire.Message) {
	if msg.Response != nil && m.leads() {
		msg.Response.LeaderTime = m.leaderTime()
	}
	m.out.Messages = append(m.out.Messages, wire.Envelope{To: to, Message: msg})
}

// Tick passes in the time and starts whatever is due: heartbeats, elections,
// discovery, and the periodic work of a leader. It should come every Tick
// milliseconds.
func (m *Server) Tick(now clock.Monotonic, wall clock.WallTime) {
	if m.over {
		return
	}
	m.clock(now, wall)
	m.noteLeader()
	m.reachLeader()
	if m.find != nil {
		m.seek()
		return
	}
	if m.porter != nil {
		m.round()
		m.expire()
	}
	if m.raft == nil {
		return
	}
	m.raft.Tick(now, wall)
	m.handOn()
	m.turn()
	m.expire()
	m.stray()
	if m.lead != nil {
		m.duties()
	}
	m.settle()
}

func (m *Server) clock(now clock.Monotonic, wall clock.WallTime) {
	m.now, m.wall = max(m.now, now), wall
	if m.raft != nil && m.seen.base > 0 {
		m.raft.CarryClusterTime(m.seen.site(m.now), m.seenTerm)
	}
}

// HandleMessage passes in one message from another process. from is where a reply goes;
// it need not be the sender's listening address.
func (m *Server) HandleMessage(from wire.Peer, msg wire.Message, now clock.Monotonic, wall clock.WallTime) {
	if m.over {
		return
	}
	m.clock(now, wall)
	if from == m.follows && (msg.Announcement != nil || msg.Response != nil) {
		m.reach.answered(m.now)
	}
	switch {
	case msg.Announcement != nil:
		m.tell(from, msg.Announcement)
	case msg.Raft != nil && m.find != nil:
		m.find.stirred = m.now
	case msg.Raft != nil && m.raft != nil:
		if msg.Raft.Kind == raft.AppendEntries || msg.Raft.Kind == raft.InstallSnapshot {
			m.voice = voice{msg.Raft.From, from}
			m.heardAppend(msg.Raft)
		}
		m.raft.Step(*msg.Raft, m.now, wall)
	case msg.Request != nil:
		m.turn()
		m.ask(from, msg.Request)
	case msg.Response != nil:
		m.passBack(from, msg.Response)
	}
	m.turn()
	m.settle()
	m.handOnNow()
}

// Synced reports that all writes up to and including seq are on disk, which lets
// acknowledgements that waited for them go out.
func (m *Server) Synced(seq uint64, now clock.Monotonic, wall clock.WallTime) {
	if m.over {
		return
	}
	m.clock(now, wall)
	if m.raft != nil {
		m.raft.Synced(seq)
	}
	m.settle()
	m.handOnNow()
}

// TakeOutput hands over the output so far.
func (m *Server) TakeOutput() Output {
	out := m.out
	m.out = Output{}
	return out
}

// settle carries out what agreement decided until nothing more comes of it.
func (m *Server) settle() {
	if m.raft == nil {
		return
	}
	for more := true; more && !m.over; {
		if m.lead != nil {
			m.work()
		}
		m.raft.Flush()
		m.note()
		more = m.carry(m.raft.TakeOutput())
	}
}

// turn notices that leadership has come or gone.
func (m *Server) turn() {
	if m.raft == nil {
		return
	}
	if m.raft.Leader() != 0 {
		m.alone = m.now
	}
	leads := m.raft.Role() == raft.Leader
	if m.lead != nil && (!leads || m.term != m.raft.Term()) {
		m.lead = nil
		m.event("leader-lost", "term", m.term)
		for _, i := range m.waiting() {
			m.giveUp(m.waits[i])
			m.drop(i)
		}
	}
	if leads && m.lead == nil && m.at >= m.raft.TermStart() && m.raft.HasLease(m.now) {
		m.term = m.raft.Term()
		m.rise()
		m.herald()
		m.event("leader", "term", m.term, "index", m.at)
	}
}

// leads tells whether this keeper may act as the leader at this moment.
func (m *Server) leads() bool {
	return m.leave == nil && m.lead != nil && m.raft.HasLease(m.now)
}

func (m *Server) giveUp(w wait) {
	m.refuse(w.peer, w.id, 504, "leader-changed", "the outcome is not known here; ask again", leaderChangedRetry)
}

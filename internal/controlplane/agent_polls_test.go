package controlplane_test

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"orchidward/internal/agent"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/controlplane"
	"orchidward/internal/state"
	"orchidward/internal/transport/wire"
)

// timeAt is one keeper that leads alone, agents, and a stand-in runner beside
// each, in virtual time: what the leader and the agents owe their runners.
type site struct {
	t      *testing.T
	now    clock.Monotonic
	keep   *controlplane.Server
	posts  []post
	hands  []*hand
	ask    uint64
	got    map[uint64]*wire.Response
	rnd    *rand.Rand
	done   map[string]bool
	starts map[string]int
	// loseSilentRunners counts the runs that outlived their hold.
	lapses int
}

// post is a message under way.
type post struct {
	at   clock.Monotonic
	to   string
	from string
	msg  wire.Message
}

// hand is an agent and its runner.
type hand struct {
	name  string
	mach  *agent.Agent
	inc   int
	seq   uint64
	room  job.Demand
	next  clock.Monotonic
	runs  []*running
	ends  []runnerapi.RunEnd
	n     uint64
	drain bool
	// dead is a runner that has crashed; mute one that loses what it is answered.
	// hung holds all its work still; cut keeps its agent from the core; frozen
	// is until when the runner does nothing.
	dead, mute, hung, cut bool
	frozen                clock.Monotonic
	hold                  clock.Millis
	// slow is how many times as long all work takes.
	slow  clock.Monotonic
	until clock.Monotonic
	saves bool
}

type running struct {
	runnerapi.Start
	at, end clock.Monotonic
	stop    clock.Monotonic
	bad     bool
}

func newSite(t *testing.T, seed int64, hands int) *site {
	s := &site{t: t, rnd: rand.New(rand.NewSource(seed)), got: map[uint64]*wire.Response{}, done: map[string]bool{}, starts: map[string]int{}}
	s.keep = controlplane.New(controlplane.Config{ID: 1, Addr: "k", Domain: "a", Timing: raft.DefaultTiming(), Level: state.SupportedLevel, MayFound: true}, 0)
	v := &raft.Snapshot{Index: 1, Term: 1, Members: []raft.Member{{ID: 1, Addr: "k", Domain: "a", Voter: true}}, Data: state.New().Encode()}
	if err := s.keep.Resume(raft.HardState{}, v, nil); err != nil {
		t.Fatal(err)
	}
	for i := 0; i < hands; i++ {
		h := &hand{name: fmt.Sprintf("m%d", i), room: job.Demand{MilliCores: 4000, Mem: 4000}}
		h.mach = s.agent(h)
		s.hands = append(s.hands, h)
	}
	s.run(4000)
	s.must("PUT", "/v1/catalog", `{"base":0,"version":2,"queues":[{"name":"r","host":"h","prefix":"/p/","pool":"x","rank":0,"tries":2,"stretch":2000,"setPointMs":1000,"timeoutMs":3000}],"pools":[{"name":"x"}]}`)
	s.run(1000)
	return s
}

func (s *site) agent(h *hand) *agent.Agent {
	return agent.New(agent.Config{Name: identifier.Runner(h.name), Addr: h.name, Domain: "a", Seeds: []string{"k"}, Seed: int64(s.now) * 1000, MaxLease: 6000, UsualLease: h.hold, HeartbeatInterval: 100}, s.now)
}

// request asks the keeper and waits for its answer.
func (s *site) request(verb, path, body string) *wire.Response {
	s.ask++
	id := s.ask
	s.posts = append(s.posts, post{s.now, "k", "op", wire.Message{Request: &wire.Request{ID: id, Method: verb, Path: path, Body: []byte(body), Budget: 2000}}})
	for end := s.now.Add(3000); s.now < end; {
		if r := s.got[id]; r != nil {
			return r
		}
		s.run(1)
	}
	s.t.Fatalf("%s %s: no answer", verb, path)
	return nil
}

func (s *site) must(verb, path, body string) *wire.Response {
	var r *wire.Response
	if r = s.request(verb, path, body); r.Status >= 300 {
		s.t.Fatalf("%s %s: %d %s", verb, path, r.Status, r.Body)
	}
	return r
}

func (s *site) state(id string) string {
	var d struct{ State string }
	r := s.request("GET", "/v1/states/q/"+id, "")
	if json.Unmarshal(r.Body, &d) != nil || r.Status != 200 {
		return fmt.Sprint(r.Status)
	}
	return d.State
}

// run lets time pass.
func (s *site) run(ms clock.Monotonic) {
	for end := s.now + ms; s.now < end; s.now++ {
		later := []post{}
		for len(s.posts) > 0 {
			list := s.posts
			s.posts = nil
			for _, p := range list {
				if p.at > s.now {
					later = append(later, p)
					continue
				}
				s.deliver(p)
			}
		}
		s.posts = later
		if s.now%20 == 0 {
			s.keep.Tick(s.now, clock.WallTime(1_800_000_000_000+int64(s.now)))
			s.out()
			s.named()
			for _, h := range s.hands {
				h.mach.Tick(s.now)
				s.sends(h)
			}
		}
		for _, h := range s.hands {
			s.live(h)
		}
	}
}

// named checks that every open grant is the one that its run's name leads to:
// the keeper remembers what a name led to for as long as that grant is open.
func (s *site) named() {
	b := s.keep.State()
	for id, g := range b.Leases {
		if at, ref, ok := b.ResolveRun(g.Runner, g.Incarnation, b.AgentTaskRef(g.Task), g.Attempt); !ok || at != id || ref != g.Task {
			s.t.Errorf("%d: %v, run %d, leads to %d, not to its open grant %d", s.now, g.Task, g.Attempt, at, id)
		}
	}
}

func (s *site) deliver(p post) {
	for _, h := range s.hands {
		if h.cut && (p.to == h.name || p.from == h.name) {
			return
		}
	}
	switch {
	case p.to == "k":
		s.keep.HandleMessage(wire.Peer(p.from), p.msg, s.now, clock.WallTime(1_800_000_000_000+int64(s.now)))
		s.out()
	case p.to == "op":
		if p.msg.Response != nil {
			s.got[p.msg.Response.ID] = p.msg.Response
		}
	default:
		for _, h := range s.hands {
			if h.name == p.to {
				h.mach.HandleMessage("k", p.msg, s.now)
				s.sends(h)
			}
		}
	}
}

func (s *site) out() {
	for more := true; more; {
		o := s.keep.TakeOutput()
		more = false
		for _, x := range o.Messages {
			s.posts = append(s.posts, post{s.now + 1 + clock.Monotonic(s.rnd.Intn(3)), string(x.To), "k", x.Message})
		}
		for _, w := range o.Writes {
			s.keep.Synced(w.Seq, s.now, clock.WallTime(1_800_000_000_000+int64(s.now)))
			more = true
		}
	}
}

func (s *site) sends(h *hand) {
	for _, x := range h.mach.TakeOutput().Messages {
		s.posts = append(s.posts, post{s.now + 1 + clock.Monotonic(s.rnd.Intn(3)), string(x.To), h.name, x.Message})
	}
}

// timed is a task's name as runners know it, which always tells the time.
func timed(r identifier.TaskRef) identifier.TaskRef {
	if !strings.Contains(string(r.Job), ".") {
		r.Job += ".0"
	}
	return r
}

// live is a moment in a runner's life.
func (s *site) live(h *hand) {
	if h.dead || s.now < h.frozen {
		return
	}
	kept := h.runs[:0]
	ended := false
	for _, r := range h.runs {
		if h.slow > 0 && s.now%h.slow != 0 {
			r.end++
		}
		how := ""
		switch {
		case s.now > h.until:
			how = runnerapi.OutcomeLeaseLapsed
		case r.stop > 0 && s.now >= r.stop:
			how = runnerapi.OutcomeStopped
		case h.hung:
		case s.now >= r.end && r.bad:
			how = runnerapi.OutcomeDefect
		case s.now >= r.end:
			how = runnerapi.OutcomeSuccess
		}
		if how == "" {
			kept = append(kept, r)
			continue
		}
		ended = true
		if how == runnerapi.OutcomeLeaseLapsed {
			s.lapses++
		}
		h.n++
		e := runnerapi.RunEnd{Seq: h.n, Task: r.Task, Attempt: r.Attempt, Outcome: how}
		if h.saves && how != runnerapi.OutcomeSuccess {
			e.Checkpoint = fmt.Sprintf("%d", s.now-r.at)
		}
		h.ends = append(h.ends, e)
	}
	h.runs = kept
	if ended {
		h.next = min(h.next, s.now+50)
	}
	if s.now < h.next {
		return
	}
	s.beat(h)
}

func (s *site) beat(h *hand) {
	h.seq++
	b := agent.Heartbeat{Runner: identifier.Incarnation(fmt.Sprintf("%s-%d", h.name, h.inc)), Seq: h.seq, Pool: "x", Domain: "a", Rack: "r1", Capacity: h.room, Draining: h.drain, DepartsIn: 60000}
	for _, r := range h.runs {
		far := 100 - int64(r.end-s.now)*100/int64(r.ExpectedRun)
		if h.hung {
			far = 0
		}
		b.Active = append(b.Active, runnerapi.RunState{Task: r.Task, Attempt: r.Attempt, ProgressPercent: far})
	}
	b.Finished = append(b.Finished, h.ends...)
	o := h.mach.HandleHeartbeat(b, s.now)
	s.sends(h)
	h.next = s.now + clock.Monotonic(o.NextHeartbeat)
	if h.mute {
		return
	}
	if o.Lease > 0 {
		h.until = max(h.until, s.now.Add(o.Lease))
	}
	left := h.ends[:0]
	for _, e := range h.ends {
		if e.Seq > o.ObservedThrough {
			left = append(left, e)
			continue
		}
		s.done[fmt.Sprint(e.Task)] = s.done[fmt.Sprint(e.Task)] || e.Outcome == runnerapi.OutcomeSuccess
	}
	h.ends = left
	for _, x := range o.Stop {
		x.Task = timed(x.Task)
		for _, r := range h.runs {
			if r.Task == x.Task && r.Attempt == x.Attempt && r.stop == 0 {
				r.stop = s.now + 150
			}
		}
	}
	for _, x := range o.Start {
		x.Task = timed(x.Task)
		s.start(h, x)
	}
}

// start judges an order as the users would.
func (s *site) start(h *hand, x runnerapi.Start) {
	used := x.Demand
	for _, r := range h.runs {
		used = used.Plus(r.Demand)
		if r.Task == x.Task && r.Attempt == x.Attempt {
			return
		}
	}
	name := fmt.Sprint(x.Task)
	if !used.Fits(h.room) {
		s.t.Errorf("%d: LIMIT: %s on %s: %+v of %+v", s.now, name, h.name, used, h.room)
	}
	if s.done[name] {
		s.t.Errorf("%d: TWICE: %s began after its end was observed", s.now, name)
	}
	for _, other := range s.hands {
		for _, r := range other.runs {
			if r.Task == x.Task && !other.dead {
				s.t.Errorf("%d: TWICE: %s runs on %s and began on %s", s.now, name, other.name, h.name)
			}
		}
	}
	if h.drain {
		s.t.Errorf("%d: DRAIN: %s began on %s", s.now, name, h.name)
	}
	s.starts[name]++
	h.runs = append(h.runs, &running{Start: x, at: s.now, end: s.now + clock.Monotonic(x.ExpectedRun)})
}

func (s *site) submit(id string, tasks int, span int) {
	s.must("PUT", "/v1/jobs/q/"+id, fmt.Sprintf(`{"queue":"r","text":"t-%s","steps":[{"name":"s0","tasks":%d,"milliCores":900,"memMb":100,"spanMs":%d,"saves":true}]}`, id, tasks, span))
}

// TestCancelAtOnce: work is cancelled while its starts are on their way or were
// just handed over, under many seeds. Room is free again only once the runner
// has told the end, or a beat sent after the order does not show the run.
func TestCancelAtOnce(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		s := newSite(t, seed, 2)
		for i := 0; i < 30; i++ {
			id := fmt.Sprintf("%016x", i)
			s.submit(id, 1+s.rnd.Intn(8), 200+s.rnd.Intn(900))
			s.run(clock.Monotonic(s.rnd.Intn(250)))
			if s.rnd.Intn(2) == 0 {
				s.must("DELETE", "/v1/jobs/q/"+id, "")
			}
		}
		s.run(12000)
		for i := 0; i < 30; i++ {
			if w := s.state(fmt.Sprintf("%016x", i)); w != "well" && w != "cancelled" {
				t.Errorf("seed %d: job %d is %s", seed, i, w)
			}
		}
	}
}

// TestStandsStill: on one of two runners all work stands still while its beats
// go on. It is moved, and nothing new is placed there for a while.
func TestStandsStill(t *testing.T) {
	s := newSite(t, 1, 2)
	s.hands[0].hung = true
	s.submit("00000000000000a1", 8, 1000)
	s.run(7500)
	if w := s.state("00000000000000a1"); w != "well" {
		t.Errorf("after 7.5 s the job is %s", w)
	}
	if n := len(s.hands[0].runs); n > 0 {
		t.Errorf("%d runs are left where all stands still", n)
	}
}

// TestSilentThenCut: a runner that did nothing for a while goes on just as its
// agent is cut off. It holds its work by beats the core never hears of, and
// nothing of it may begin elsewhere before that hold is over.
func TestSilentThenCut(t *testing.T) {
	for seed := int64(1); seed <= 10; seed++ {
		s := newSite(t, seed, 3)
		s.submit("00000000000000b1", 8, 30000)
		s.run(2000)
		s.hands[0].frozen = s.now + 5000
		s.run(4900 + clock.Monotonic(s.rnd.Intn(100)))
		s.run(90)
		s.hands[0].cut = true
		s.run(14000)
		s.hands[0].cut = false
		s.run(3000)
	}
}

// TestNewLife: a runner crashes and comes back as another; what it ran begins
// again at once, and its agent may be started again meanwhile.
func TestNewLife(t *testing.T) {
	s := newSite(t, 3, 2)
	s.submit("00000000000000c1", 6, 3000)
	s.run(1000)
	h := s.hands[0]
	h.dead = true
	s.run(1500)
	h.mach = s.agent(h)
	h.dead, h.runs, h.ends, h.n, h.seq, h.until = false, nil, nil, 0, 0, 0
	h.inc++
	s.run(6000)
	if w := s.state("00000000000000c1"); w != "well" {
		t.Errorf("5.5 s after the runner's return the job is %s", w)
	}
}

// TestTurnsSlow: a runner turns six times slow under runs of a second. They begin
// again elsewhere while there is room, and what comes later goes elsewhere too.
func TestTurnsSlow(t *testing.T) {
	s := newSite(t, 4, 3)
	s.submit("00000000000000f1", 6, 1000)
	s.run(600)
	s.hands[0].slow = 6
	s.run(900)
	s.submit("00000000000000f2", 4, 1000)
	s.run(1700)
	for _, id := range []string{"00000000000000f1", "00000000000000f2"} {
		if w := s.state(id); w != "well" {
			t.Errorf("2.6 s after the runner turned slow job %s is %s", id, w)
		}
	}
}

// TestDeadRunner: a runner crashes for good. What it ran begins elsewhere as soon
// as its own hold must be over, long before its agent's grant is; and never
// sooner, also when only its beats stopped while it went on.
func TestDeadRunner(t *testing.T) {
	for seed := int64(1); seed <= 10; seed++ {
		s := newSite(t, seed, 3)
		for _, h := range s.hands {
			h.hold = 3500
			h.mach = s.agent(h)
		}
		s.run(8000)
		s.submit("00000000000000d1", 8, 5000)
		s.run(1000 + clock.Monotonic(s.rnd.Intn(300)))
		if s.rnd.Intn(2) == 0 {
			s.hands[0].dead = true
		} else {
			s.hands[0].next = 1 << 40
		}
		s.run(10000)
		if w := s.state("00000000000000d1"); w != "well" {
			t.Errorf("seed %d: 10 s after the crash the job is %s", seed, w)
		}
	}
}

// TestLongWork: many long runs, whose percentages move seldom and at all times,
// go on under their holds for as long as they last.
func TestLongWork(t *testing.T) {
	s := newSite(t, 5, 3)
	for _, h := range s.hands {
		h.room = job.Demand{MilliCores: 20000, Mem: 20000}
		h.hold = 3500
		h.mach = s.agent(h)
	}
	s.run(8000)
	for i := 0; i < 60; i++ {
		s.submit(fmt.Sprintf("%016x", i), 1, 110000+s.rnd.Intn(40000))
	}
	s.run(100000)
	if s.lapses > 0 {
		t.Errorf("%d of 60 runs lapsed with nothing lost", s.lapses)
	}
	if n := len(s.hands[0].runs) + len(s.hands[1].runs) + len(s.hands[2].runs); n != 60 {
		t.Errorf("%d of 60 run", n)
	}
}

// TestDraining: nothing begins on a runner once its agent has answered a beat
// that said it drains, also when starts were on their way.
func TestDraining(t *testing.T) {
	for seed := int64(1); seed <= 10; seed++ {
		s := newSite(t, seed, 2)
		for i := 0; i < 6; i++ {
			s.submit(fmt.Sprintf("%016x", i), 6, 400)
			s.run(clock.Monotonic(s.rnd.Intn(200)))
			if i == 3 {
				s.hands[0].drain = true
				s.beat(s.hands[0])
			}
		}
		s.run(9000)
		for i := 0; i < 6; i++ {
			if w := s.state(fmt.Sprintf("%016x", i)); w != "well" {
				t.Errorf("seed %d: job %d is %s", seed, i, w)
			}
		}
	}
}

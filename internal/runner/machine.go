// Machine is the runner. Inputs are Tick, Answer and the mode; every input
// first looks at the clock, so that a process that slept too long kills its
// tasks before it does anything else.

package runner

import (
	"encoding/json"
	"math/rand"
	"sort"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
)

// Runner is a runner as a pure state machine: it polls for orders, runs tasks
// that only take time, and stops them when its lease lapses. It does no input or
// output and reads no clock. It is not safe for concurrent use.
type Runner struct {
	boot  Config
	now   clock.Monotonic
	rnd   *rand.Rand
	out   Output
	gates []string
	gate  int

	seq     uint64
	open    map[uint64]clock.Monotonic
	next    clock.Monotonic
	back    clock.Millis
	contact clock.Monotonic
	grant   clock.Millis
	start   clock.Millis

	tasks   map[identifier.LeaseID]*work
	ended   map[identifier.LeaseID]runnerapi.End
	tombs   map[identifier.LeaseID]clock.Monotonic
	news    bool
	mode    string
	departs clock.Monotonic
	cut     clock.Monotonic
	Retired bool
}

// work is one attempt under way.
type work struct {
	runnerapi.Start
	end   clock.Monotonic
	whole clock.Monotonic
	bad   bool
}

// New makes a runner without tasks, which polls a random one of its gateways
// first.
func New(boot Config, now clock.Monotonic) *Runner {
	m := &Runner{boot: boot, now: now, rnd: rand.New(rand.NewSource(boot.Seed)), gates: boot.Gateways, mode: runnerapi.ModeActive,
		open: map[uint64]clock.Monotonic{}, contact: now, grant: 10000, start: firstWait,
		tasks: map[identifier.LeaseID]*work{}, ended: map[identifier.LeaseID]runnerapi.End{}, tombs: map[identifier.LeaseID]clock.Monotonic{}}
	if len(m.gates) > 0 {
		m.gate = m.rnd.Intn(len(m.gates))
	}
	return m
}

// TakeOutput returns the output so far and clears it.
func (m *Runner) TakeOutput() Output {
	out := m.out
	m.out = Output{}
	return out
}

// Gateways lists the gateways that the runner knows.
func (m *Runner) Gateways() []string { return m.gates }

// Mode is poll.Active or poll.Draining.
func (m *Runner) Mode() string { return m.mode }

// Running is the number of tasks that run.
func (m *Runner) Running() int { return len(m.tasks) }

// LearnGateways takes a list of gates from whoever knows one.
func (m *Runner) LearnGateways(gates []string) {
	if len(gates) == 0 {
		return
	}
	now := ""
	if len(m.gates) > 0 {
		now = m.gates[m.gate%len(m.gates)]
	}
	m.gates = gates
	m.gate = m.rnd.Intn(len(gates))
	for i, g := range gates {
		if g == now {
			m.gate = i
		}
	}
}

// Isolate makes the stand-in deaf and mute for a while, running on.
func (m *Runner) Isolate(span clock.Millis) { m.cut = m.now.Add(span) }

// SwitchGateway goes over to another gate: this one says that it is about to stop.
func (m *Runner) SwitchGateway() { m.gate++ }

// SetMode makes the runner say that it is leaving, or that it is not.
func (m *Runner) SetMode(mode string, departs clock.Millis, now clock.Monotonic) {
	m.clock(now)
	m.mode, m.departs = mode, m.now.Add(departs)
	m.news = true
	m.polls()
}

// SetFaults changes how the stand-in misbehaves.
func (m *Runner) SetFaults(slow, faulty int64) {
	m.boot.SlowdownPercent, m.boot.DefectPercent = slow, faulty
}

// Tick passes in the time: it stops tasks whose lease has lapsed, ends those
// whose time is up, and polls when due.
func (m *Runner) Tick(now clock.Monotonic) {
	m.clock(now)
	m.polls()
}

func (m *Runner) order() []identifier.LeaseID {
	var list []identifier.LeaseID
	for id := range m.tasks {
		list = append(list, id)
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}

// clock first kills what outlived its grant, then ends what has run its span.
func (m *Runner) clock(now clock.Monotonic) {
	m.now = max(m.now, now)
	lapsed := m.now.Since(m.contact) > m.grant
	for _, id := range m.order() {
		w := m.tasks[id]
		switch {
		case lapsed || w.GangLease > 0 && m.now.Since(w.whole) > w.GangLease:
			m.end(id, "lapsed")
		case m.now >= w.end && w.bad:
			m.end(id, "defect")
		case m.now >= w.end:
			m.end(id, "well")
		}
	}
	for id, at := range m.tombs {
		if _, kept := m.ended[id]; !kept && m.tasks[id] == nil && m.now.Since(at) > tombLife {
			delete(m.tombs, id)
		}
	}
}

func (m *Runner) end(id identifier.LeaseID, how string) {
	w := m.tasks[id]
	delete(m.tasks, id)
	m.ended[id] = runnerapi.End{Lease: id, Task: w.Task, Outcome: how}
	m.tombs[id] = m.now
	m.news = true
	m.out.Events = append(m.out.Events, Event{how, id, w.Task, w.Demand})
}

// polls keeps one poll open; news goes out in a new one that replaces it.
func (m *Runner) polls() {
	for seq, at := range m.open {
		if m.now.Since(at) > m.start {
			delete(m.open, seq)
			if seq == m.seq {
				m.fail()
			}
		}
	}
	_, waiting := m.open[m.seq]
	if len(m.gates) == 0 || m.Retired || m.now < m.cut || m.now < m.next || waiting && (!m.news || len(m.open) > 2) {
		return
	}
	m.seq++
	m.news = false
	m.open[m.seq] = m.now
	text, err := json.Marshal(m.ask())
	if err != nil {
		panic(err)
	}
	m.out.Polls = append(m.out.Polls, Poll{Gateway: m.gates[m.gate%len(m.gates)], Seq: m.seq, Body: text, Timeout: m.start})
}

func (m *Runner) fail() {
	m.gate++
	m.back = min(max(50, m.back*2), backMost)
	m.next = m.now.Add(m.back/2 + clock.Millis(m.rnd.Int63n(int64(m.back))))
}

func (m *Runner) ask() runnerapi.PollRequest {
	a := runnerapi.PollRequest{Incarnation: m.boot.Incarnation, Seq: m.seq, Cores: m.boot.Capacity.Cores, Mem: m.boot.Capacity.Mem, Labels: m.boot.Labels,
		Domain: m.boot.Domain, Rack: m.boot.Rack, Mode: m.mode, Running: m.order()}
	if m.mode == runnerapi.ModeDraining {
		a.DepartsIn = max(0, m.departs.Since(m.now))
	}
	list := []identifier.LeaseID{}
	for id := range m.ended {
		list = append(list, id)
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	for _, id := range list[:min(len(list), mostEnds)] {
		a.Ended = append(a.Ended, m.ended[id])
	}
	return a
}

// HandlePollResponse takes the outcome of a poll; a status of 0 means that none came.
func (m *Runner) HandlePollResponse(seq uint64, status int, body []byte, now clock.Monotonic) {
	m.clock(now)
	sent, ok := m.open[seq]
	if !ok {
		m.polls()
		return
	}
	delete(m.open, seq)
	var a runnerapi.PollResponse
	if m.now < m.cut || status != 200 || json.Unmarshal(body, &a) != nil {
		if seq == m.seq {
			m.fail()
		}
		m.polls()
		return
	}
	m.back, m.next = 0, m.now
	m.contact = max(m.contact, sent)
	if a.Retired {
		m.retire()
		return
	}
	m.obey(a, seq, sent)
	m.polls()
}

func (m *Runner) obey(a runnerapi.PollResponse, seq uint64, sent clock.Monotonic) {
	if a.Lease > 0 && a.StartTimeout > 0 {
		m.grant, m.start = a.Lease, a.StartTimeout
	}
	m.LearnGateways(a.Gateways)
	for _, id := range a.AckedEnds {
		if e, ok := m.ended[id]; ok {
			delete(m.ended, id)
			m.out.Events = append(m.out.Events, Event{Kind: "acked", Lease: id, Task: e.Task})
		}
	}
	for _, id := range a.CompleteGangs {
		if w := m.tasks[id]; w != nil {
			w.whole = max(w.whole, sent)
		}
	}
	for _, id := range a.Stops {
		m.stop(id)
	}
	if seq != m.seq || m.now.Since(sent) > a.StartTimeout || len(m.ended) >= endsFull {
		return
	}
	for _, s := range a.Starts {
		m.begin(s, sent)
	}
}

// stop ends an attempt at once. One never heard of is marked, so that its
// start, should it come yet, finds the grant used up.
func (m *Runner) stop(id identifier.LeaseID) {
	if m.tasks[id] != nil {
		m.end(id, "stopped")
		return
	}
	if _, used := m.tombs[id]; !used {
		m.tombs[id] = m.now
	}
	if _, told := m.ended[id]; !told {
		m.ended[id] = runnerapi.End{Lease: id, Outcome: "stopped"}
		m.news = true
	}
}

func (m *Runner) begin(s runnerapi.Start, sent clock.Monotonic) {
	if _, used := m.tombs[s.Lease]; used || m.tasks[s.Lease] != nil {
		return
	}
	room := m.boot.Capacity
	for _, w := range m.tasks {
		room = room.Minus(w.Demand)
	}
	if !s.Demand.Fits(room) {
		return
	}
	run := s.ExpectedRun
	if m.boot.SlowdownPercent > 0 {
		run += run * clock.Millis(m.boot.SlowdownPercent) / 100
	}
	w := &work{Start: s, end: m.now.Add(run), whole: sent, bad: m.rnd.Int63n(100) < m.boot.DefectPercent}
	m.tasks[s.Lease] = w
	m.tombs[s.Lease] = m.now
	m.news = true
	m.out.Events = append(m.out.Events, Event{"start", s.Lease, s.Task, s.Demand})
}

// retire ends everything: a newer incarnation has this runner's name.
func (m *Runner) retire() {
	for _, id := range m.order() {
		m.end(id, "stopped")
	}
	m.Retired = true
}

// InContact tells whether a poll was answered lately.
func (m *Runner) InContact() bool { return m.seq > 1 && m.now.Since(m.contact) < 3*m.start }

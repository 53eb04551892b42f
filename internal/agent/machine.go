// Machine is the agent. Inputs are Tick, Beat, Leave and Frame.

package agent

import (
	"encoding/json"
	"net/http"
	"sort"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/transport/wire"
)

// Agent is the agent of one runner as a pure state machine. It answers the
// runner's heartbeats with orders and polls the control plane on its behalf. It
// does no input or output and reads no clock. It is not safe for concurrent use.
type Agent struct {
	boot Config
	now  clock.Monotonic
	out  Output

	beat   *Heartbeat
	beaten clock.Monotonic
	// held is when the last hold given to the runner, by this process or one
	// before it, has run out on the slowest clock.
	held clock.Monotonic
	down bool
	// buried says that the core has been told that the runner is dead.
	buried bool
	past   map[identifier.Incarnation]bool
	left   clock.Monotonic
	queue  map[run]*order
	halts  map[run]bool
	gone   map[run]bool
	seen   uint64
	moved  map[run]step

	keepers []string
	at      int
	seq     uint64
	open    *ask
	// asked is when each of the last polls was sent.
	asked   map[uint64]clock.Monotonic
	next    clock.Monotonic
	back    clock.Millis
	news    bool
	contact clock.Monotonic
	touched bool
	grant   clock.Millis
	wait    clock.Millis
	fence   uint64
	// greeting is the number of the last question for a fence, greeted when it
	// was asked.
	greeting uint64
	greeted  clock.Monotonic
	odd      int
}

// run names an attempt.
type run struct {
	task identifier.TaskRef
	no   uint64
}

// order is a start on its way to the runner. Given says that an answer bore it.
type order struct {
	runnerapi.Start
	until clock.Monotonic
	given bool
}

// ask is the poll under way.
type ask struct {
	seq  uint64
	sent clock.Monotonic
	inc  identifier.Incarnation
}

const (
	// pollWait is how long a poll is waited for before it is known how long the
	// core holds one; after that it is slack longer than that.
	pollWait = 1000
	slack    = 150
	// seekWait takes its place once nothing was heard for lostAfter.
	seekWait  = 300
	lostAfter = 2000
	askedKept = 5000
	// A run's speed is taken over speedLeast at least, and speedMost at most.
	speedLeast = 300
	speedMost  = 800
	greetGap   = 200
	// A runner is dead once it has been silent for deadSilence and its hold has
	// been over for deadSlack.
	deadSilence = 1000
	deadSlack   = 100
	// stillTold is how long a run stands still before the core is told.
	stillTold = 400
	backMost  = 400
	pastKept  = 16
	leaveLag  = 300
	// lag is how soon a poll that bears news replaces one still open.
	lag = 10
)

// New makes an agent that has heard neither its runner nor the control plane. It
// assumes that an agent before it has just given the runner the longest hold
// there is.
func New(boot Config, now clock.Monotonic) *Agent {
	m := &Agent{boot: boot, now: now, keepers: boot.Seeds, seq: uint64(boot.Seed), wait: pollWait, past: map[identifier.Incarnation]bool{}, asked: map[uint64]clock.Monotonic{}}
	if n := len(boot.Seeds); n > 0 {
		m.at = int(uint64(boot.Seed) % uint64(n))
	}
	m.forget()
	m.held = now.Add(boot.MaxLease + boot.MaxLease/50)
	return m
}

// PrepareToStop says that this agent is about to end: from now on its runner is held for
// as long as may be.
func (m *Agent) PrepareToStop() { m.down = true }

func (m *Agent) usual() clock.Millis {
	if m.boot.UsualLease == 0 || m.down {
		return m.boot.MaxLease
	}
	return min(m.boot.UsualLease, m.boot.MaxLease)
}

func (m *Agent) forget() {
	m.queue, m.halts, m.gone, m.seen = map[run]*order{}, map[run]bool{}, map[run]bool{}, 0
	m.moved = map[run]step{}
}

// TakeOutput returns the output so far and clears it.
func (m *Agent) TakeOutput() Output {
	out := m.out
	m.out = Output{}
	return out
}

func (m *Agent) event(name string, vals ...any) {
	m.out.Events = append(m.out.Events, Event{name, vals})
}

// InContact tells whether the core has answered within the life of a grant.
func (m *Agent) InContact() bool { return m.touched && m.now.Since(m.contact) < m.grant }

// HandleHeartbeat takes a heartbeat and answers it at once.
func (m *Agent) HandleHeartbeat(b Heartbeat, now clock.Monotonic) Orders {
	var o Orders
	m.now = max(m.now, now)
	o.NextHeartbeat = m.boot.HeartbeatInterval
	switch {
	case m.past[b.Runner]:
		return o
	case m.beat == nil || m.beat.Runner != b.Runner:
		m.renew(b.Runner)
	case b.Seq <= m.beat.Seq:
		return o
	}
	m.look(&b)
	m.progress(&b)
	m.beat, m.beaten, m.left, m.buried = &b, m.now, 0, false
	o.FencingToken, o.ObservedThrough = m.fence, m.seen
	if hold := m.grant - m.now.Since(m.contact); m.touched && hold > 0 {
		o.Lease = min(hold, m.usual())
		m.held = max(m.held, m.now.Add(o.Lease+o.Lease/50))
		m.hand(&o)
	}
	for r := range m.halts {
		if !m.gone[r] {
			o.Stop = append(o.Stop, runnerapi.RunStop{Task: r.task, Attempt: r.no})
		}
	}
	sort.Slice(o.Stop, func(i, j int) bool {
		return less(run{o.Stop[i].Task, o.Stop[i].Attempt}, run{o.Stop[j].Task, o.Stop[j].Attempt})
	})
	m.polls()
	return o
}

func less(a, b run) bool {
	switch {
	case a.task.Job != b.task.Job:
		return a.task.Job < b.task.Job
	case a.task.Step != b.task.Step:
		return a.task.Step < b.task.Step
	case a.task.Num != b.task.Num:
		return a.task.Num < b.task.Num
	}
	return a.no < b.no
}

// renew notes that another life of the runner speaks: whatever the former one
// ran is dead.
func (m *Agent) renew(inc identifier.Incarnation) {
	if m.beat != nil {
		if len(m.past) >= pastKept {
			clear(m.past)
		}
		m.past[m.beat.Runner] = true
		m.event("runner-renewed", "was", m.beat.Runner, "is", inc)
	}
	m.forget()
	m.beat = nil
	m.news = true
}

// look compares a heartbeat with the one before it, and with what was ordered.
func (m *Agent) look(b *Heartbeat) {
	there := map[run]bool{}
	for _, a := range b.Active {
		there[run{a.Task, a.Attempt}] = true
	}
	for _, e := range b.Finished {
		there[run{e.Task, e.Attempt}] = true
	}
	m.news = m.news || m.differs(b, there)
	for r, o := range m.queue {
		if there[r] || o.given || m.now > o.until || b.Draining {
			delete(m.queue, r)
			m.news = true
		}
	}
	for r := range m.halts {
		if !there[r] && !m.gone[r] {
			m.gone[r] = true
			m.news = true
			m.event("never-ran", "task", r.task, "run", r.no)
		}
	}
}

// step is how far a run had come when it last moved; told says that the core
// has been told that it no longer does.
type step struct {
	percent int64
	at      clock.Monotonic
	gap     clock.Millis
	told    bool
	// speed is how far it came lately, in thousandths of the whole a second,
	// measured from the mark.
	speed int64
	mark  int64
	since clock.Monotonic
}

// measure takes the speed once enough has been seen of it; slower tells whether
// it has fallen by half or more.
func (s *step) measure(percent int64, now clock.Monotonic) bool {
	span := now.Since(s.since)
	if percent >= 99 || span < speedLeast || percent-s.mark < 4 && span < speedMost {
		return false
	}
	was := s.speed
	s.speed = max(1, (percent-s.mark)*10_000/int64(span))
	s.mark, s.since = percent, now
	return was > 0 && s.speed*2 < was
}

// late tells whether a run has stood still for far longer than it used to.
func (s step) late(now clock.Monotonic) bool { return now.Since(s.at) >= stillTold+4*s.gap }

// progress notes when each run last moved.
func (m *Agent) progress(b *Heartbeat) {
	was := m.moved
	m.moved = make(map[run]step, len(b.Active))
	for _, a := range b.Active {
		r := run{a.Task, a.Attempt}
		s, ok := was[r]
		switch {
		case !ok:
			s = step{percent: a.ProgressPercent, at: m.now, mark: a.ProgressPercent, since: m.now}
		case s.percent != a.ProgressPercent:
			s.percent, s.gap, s.at, s.told = a.ProgressPercent, m.now.Since(s.at), m.now, false
		case !s.told && s.late(m.now):
			s.told = true
			m.news = true
		}
		if s.measure(a.ProgressPercent, m.now) {
			m.news = true
		}
		m.moved[r] = s
	}
}

func (m *Agent) differs(b *Heartbeat, there map[run]bool) bool {
	var yes bool
	was := m.beat
	if was == nil || was.Draining != b.Draining || was.Capacity != b.Capacity || was.Pool != b.Pool ||
		len(was.Active) != len(b.Active) || len(was.Finished) != len(b.Finished) {
		return true
	}
	for _, a := range was.Active {
		yes = yes || !there[run{a.Task, a.Attempt}]
	}
	for i := range was.Finished {
		yes = yes || was.Finished[i].Seq != b.Finished[i].Seq
	}
	return yes
}

// hand puts the starts that wait into the answer; the next heartbeat shows
// whether they arrived.
func (m *Agent) hand(o *Orders) {
	for _, x := range m.waiting() {
		if !x.given && m.now <= x.until {
			x.given = true
			o.Start = append(o.Start, x.Start)
		}
	}
}

func (m *Agent) waiting() []*order {
	var list []*order
	for _, x := range m.queue {
		list = append(list, x)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Lease < list[j].Lease })
	return list
}

// RunnerLeft hears that the runner says farewell.
func (m *Agent) RunnerLeft(id identifier.Incarnation, now clock.Monotonic) {
	m.now = max(m.now, now)
	if m.beat != nil && m.beat.Runner == id {
		m.left = m.now
	}
}

// Tick passes in the time: it drops starts that have expired, reports a runner
// that is dead, and polls when due.
func (m *Agent) Tick(now clock.Monotonic) {
	m.now = max(m.now, now)
	m.greet()
	for r, o := range m.queue {
		if m.now > o.until {
			delete(m.queue, r)
			m.news = true
		}
	}
	if m.dead() && !m.buried {
		m.buried, m.news = true, true
		m.event("runner-dead", "runner", m.beat.Runner, "quietMs", m.now.Since(m.beaten))
	}
	if m.open != nil && m.now.Since(m.open.sent) > m.patience() {
		m.open = nil
		m.fail()
	}
	m.polls()
}

// patience is how long an open poll is waited for; whoever lost touch asks more
// often, since the core answers its first poll at once.
func (m *Agent) patience() clock.Millis {
	if m.back > 0 && m.now.Since(m.contact) > lostAfter {
		return seekWait
	}
	return m.wait
}

// FencingToken is the highest fence this agent knows of, 0 for none.
func (m *Agent) FencingToken() uint64 { return m.fence }

// greet asks the core for its fence before there is a heartbeat to tell of: a
// runner that obeyed a former process takes nothing from a lower one.
func (m *Agent) greet() {
	if m.beat != nil || m.fence > 0 || len(m.keepers) == 0 || m.now < m.greeted.Add(greetGap) {
		return
	}
	m.greeted = m.now
	m.seq++
	m.greeting = m.seq
	m.out.Messages = append(m.out.Messages, wire.Envelope{To: wire.Peer(m.keepers[m.at%len(m.keepers)]), Message: wire.Message{Request: &wire.Request{ID: m.seq, Method: http.MethodGet, Path: endpoint.FencingTokenPath, Budget: greetGap}}})
	m.at++
}

// welcome takes the fence.
func (m *Agent) welcome(r *wire.Response) {
	var a runnerapi.PollResponse
	if !r.NotLeader && r.Status == 200 && json.Unmarshal(r.Body, &a) == nil {
		m.fence = max(m.fence, a.FencingToken)
	}
}

func (m *Agent) fail() {
	m.at++
	m.back = min(max(50, m.back*2), backMost)
	m.next = m.now.Add(m.back/2 + clock.Millis(m.seq*7919%uint64(m.back)))
}

// dead tells whether the runner is silent and whatever it ran is over.
func (m *Agent) dead() bool {
	return m.beat != nil && m.now > m.held.Add(deadSlack) && m.now.Since(m.beaten) > deadSilence
}

// polls keeps one poll open at the core; news goes out in a new one that takes
// its place.
func (m *Agent) polls() {
	if m.beat == nil || len(m.keepers) == 0 || m.now < m.next {
		return
	}
	if m.open != nil && (!m.news || m.now.Since(m.open.sent) < lag) {
		return
	}
	m.seq++
	m.news = false
	m.open = &ask{m.seq, m.now, m.beat.Runner}
	m.asked[m.seq] = m.now
	for seq, sent := range m.asked {
		if m.now.Since(sent) > askedKept {
			delete(m.asked, seq)
		}
	}
	body, err := json.Marshal(m.ask())
	if err != nil {
		panic(err)
	}
	to := wire.Peer(m.keepers[m.at%len(m.keepers)])
	m.out.Messages = append(m.out.Messages, wire.Envelope{To: to, Message: wire.Message{Request: &wire.Request{ID: m.seq, Method: http.MethodPost,
		Path: endpoint.PollPath(m.boot.Name), Body: body, Budget: pollWait}}})
}

func (m *Agent) ask() runnerapi.PollRequest {
	b := m.beat
	a := runnerapi.PollRequest{Agent: true, Incarnation: b.Runner, Seq: m.seq, Cores: b.Capacity.Cores, MilliCores: b.Capacity.MilliCores, Mem: b.Capacity.Mem, GPUs: b.Capacity.GPUs, Pool: b.Pool, AgentAddr: m.boot.Addr,
		Labels: b.Labels, Domain: b.Domain, Rack: b.Rack, Mode: runnerapi.ModeActive, SilentFor: m.now.Since(m.beaten), Finished: b.Finished}
	if b.Draining {
		a.Mode, a.DepartsIn = runnerapi.ModeDraining, max(0, b.DepartsIn-m.now.Since(m.beaten))
	}
	for _, x := range b.Active {
		s := m.moved[run{x.Task, x.Attempt}]
		if s.late(m.now) {
			x.StalledFor = m.now.Since(s.at)
		}
		x.ProgressRate = s.speed
		a.Active = append(a.Active, x)
	}
	a.PresumedDead = m.dead()
	a.LeftInOrder = m.left > 0 && m.now.Since(m.left) > leaveLag
	for _, x := range m.waiting() {
		a.Active = append(a.Active, runnerapi.RunState{Task: x.Task, Attempt: x.Attempt})
	}
	for r := range m.gone {
		a.Cleared = append(a.Cleared, runnerapi.RunStop{Task: r.task, Attempt: r.no})
	}
	sort.Slice(a.Cleared, func(i, j int) bool {
		return less(run{a.Cleared[i].Task, a.Cleared[i].Attempt}, run{a.Cleared[j].Task, a.Cleared[j].Attempt})
	})
	return a
}

// HandleMessage takes what a keeper says.
func (m *Agent) HandleMessage(from wire.Peer, msg wire.Message, now clock.Monotonic) {
	m.now = max(m.now, now)
	if t := msg.Announcement; t != nil && t.Node != 0 && t.LeaderID == t.Node {
		m.follow(t)
		return
	}
	r := msg.Response
	if r == nil {
		return
	}
	if r.ID == m.greeting {
		m.welcome(r)
		return
	}
	if m.open == nil || r.ID != m.open.seq {
		m.stale(r)
		return
	}
	open := m.open
	m.open = nil
	delete(m.asked, open.seq)
	var a runnerapi.PollResponse
	if r.NotLeader || r.Status != 200 || json.Unmarshal(r.Body, &a) != nil {
		if !r.NotLeader && r.Status != m.odd {
			m.odd = r.Status
			m.event("poll-refused", "status", r.Status, "body", string(r.Body), "via", from)
		}
		m.fail()
		return
	}
	m.back, m.next, m.odd = 0, m.now, 0
	if !m.InContact() {
		m.event("in-touch", "via", from)
	}
	m.contact, m.touched = max(m.contact, open.sent), true
	m.obey(&a, open)
	m.polls()
}

// stale hears an answer to a poll that another has replaced or that was given
// up: what it orders is passed over, since the core says it again, but it shows
// that the core has heard this agent since the poll was sent.
func (m *Agent) stale(r *wire.Response) {
	sent, ok := m.asked[r.ID]
	if !ok {
		return
	}
	delete(m.asked, r.ID)
	var a runnerapi.PollResponse
	if r.NotLeader || r.Status != 200 || json.Unmarshal(r.Body, &a) != nil {
		return
	}
	m.contact, m.touched = max(m.contact, sent), true
	if a.Lease > 0 {
		m.grant = a.Lease
	}
	m.fence = max(m.fence, a.FencingToken)
}

// follow hears a new leader say that it leads, and turns to it at once.
func (m *Agent) follow(t *wire.Announcement) {
	if len(m.keepers) > 0 && m.keepers[m.at%len(m.keepers)] == t.Addr && m.open != nil {
		return
	}
	list := []string{t.Addr}
	for _, one := range t.Members {
		if one.Addr != t.Addr {
			list = append(list, one.Addr)
		}
	}
	m.keepers, m.at, m.back, m.next, m.open = list, 0, 0, m.now, nil
	m.polls()
}

func (m *Agent) obey(a *runnerapi.PollResponse, open *ask) {
	if a.Lease > 0 {
		m.grant = a.Lease
	}
	if a.StartTimeout > 0 {
		m.wait = a.StartTimeout*6/10 + slack
	}
	m.fence = max(m.fence, a.FencingToken)
	m.seq = max(m.seq, a.Seq)
	if len(a.Servers) > 0 {
		m.keepers, m.at = a.Servers, 0
	}
	if m.beat == nil || m.beat.Runner != open.inc {
		return
	}
	m.seen = max(m.seen, a.ObservedThrough)
	halts := map[run]bool{}
	for _, s := range a.StopRuns {
		r := run{s.Task, s.Attempt}
		halts[r] = true
		delete(m.queue, r)
		if !m.halts[r] {
			delete(m.gone, r)
		}
	}
	m.halts = halts
	for r := range m.gone {
		if !halts[r] {
			delete(m.gone, r)
		}
	}
	if m.beat.Draining {
		return
	}
	for _, s := range a.Starts {
		r := run{s.Task, s.Attempt}
		if m.queue[r] == nil && !halts[r] && !m.runs(r) {
			m.queue[r] = &order{Start: s, until: open.sent.Add(a.StartTimeout)}
			m.news = true
		}
	}
}

// runs tells whether the last heartbeat showed this run.
func (m *Agent) runs(r run) bool {
	var yes bool
	for _, a := range m.beat.Active {
		yes = yes || run{a.Task, a.Attempt} == r
	}
	for _, e := range m.beat.Finished {
		yes = yes || run{e.Task, e.Attempt} == r
	}
	return yes
}

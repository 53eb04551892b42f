// Machine is the agent. Inputs are Tick, Beat, Leave and Frame.

package agent

import (
	"encoding/json"
	"sort"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/transport/wire"
)

// Machine is the agent of one runner as a pure state machine. It answers the
// runner's heartbeats with orders and polls the control plane on its behalf. It
// does no input or output and reads no clock. It is not safe for concurrent use.
type Machine struct {
	boot Boot
	now  clock.Monotonic
	out  Out

	beat   *Beat
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
func New(boot Boot, now clock.Monotonic) *Machine {
	m := &Machine{boot: boot, now: now, keepers: boot.Seeds, seq: uint64(boot.Seed), wait: pollWait, past: map[identifier.Incarnation]bool{}, asked: map[uint64]clock.Monotonic{}}
	if n := len(boot.Seeds); n > 0 {
		m.at = int(uint64(boot.Seed) % uint64(n))
	}
	m.forget()
	m.held = now.Add(boot.HoldMost + boot.HoldMost/50)
	return m
}

// Stop says that this agent is about to end: from now on its runner is held for
// as long as may be.
func (m *Machine) Stop() { m.down = true }

func (m *Machine) usual() clock.Millis {
	if m.boot.HoldUsual == 0 || m.down {
		return m.boot.HoldMost
	}
	return min(m.boot.HoldUsual, m.boot.HoldMost)
}

func (m *Machine) forget() {
	m.queue, m.halts, m.gone, m.seen = map[run]*order{}, map[run]bool{}, map[run]bool{}, 0
	m.moved = map[run]step{}
}

// Take returns the output so far and clears it.
func (m *Machine) Take() Out {
	out := m.out
	m.out = Out{}
	return out
}

func (m *Machine) event(name string, vals ...any) {
	m.out.Events = append(m.out.Events, Event{name, vals})
}

// Touched tells whether the core has answered within the life of a grant.
func (m *Machine) Touched() bool { return m.touched && m.now.Since(m.contact) < m.grant }

// Beat takes a heartbeat and answers it at once.
func (m *Machine) Beat(b Beat, now clock.Monotonic) Orders {
	var o Orders
	m.now = max(m.now, now)
	o.Retry = m.boot.Pace
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
	o.Fence, o.Observed = m.fence, m.seen
	if hold := m.grant - m.now.Since(m.contact); m.touched && hold > 0 {
		o.Hold = min(hold, m.usual())
		m.held = max(m.held, m.now.Add(o.Hold+o.Hold/50))
		m.hand(&o)
	}
	for r := range m.halts {
		if !m.gone[r] {
			o.Stop = append(o.Stop, runnerapi.RunStop{Task: r.task, Run: r.no})
		}
	}
	sort.Slice(o.Stop, func(i, j int) bool {
		return less(run{o.Stop[i].Task, o.Stop[i].Run}, run{o.Stop[j].Task, o.Stop[j].Run})
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
func (m *Machine) renew(inc identifier.Incarnation) {
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
func (m *Machine) look(b *Beat) {
	there := map[run]bool{}
	for _, a := range b.Active {
		there[run{a.Task, a.Run}] = true
	}
	for _, e := range b.Finished {
		there[run{e.Task, e.Run}] = true
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
func (m *Machine) progress(b *Beat) {
	was := m.moved
	m.moved = make(map[run]step, len(b.Active))
	for _, a := range b.Active {
		r := run{a.Task, a.Run}
		s, ok := was[r]
		switch {
		case !ok:
			s = step{percent: a.Percent, at: m.now, mark: a.Percent, since: m.now}
		case s.percent != a.Percent:
			s.percent, s.gap, s.at, s.told = a.Percent, m.now.Since(s.at), m.now, false
		case !s.told && s.late(m.now):
			s.told = true
			m.news = true
		}
		if s.measure(a.Percent, m.now) {
			m.news = true
		}
		m.moved[r] = s
	}
}

func (m *Machine) differs(b *Beat, there map[run]bool) bool {
	var yes bool
	was := m.beat
	if was == nil || was.Draining != b.Draining || was.Cap != b.Cap || was.Pool != b.Pool ||
		len(was.Active) != len(b.Active) || len(was.Finished) != len(b.Finished) {
		return true
	}
	for _, a := range was.Active {
		yes = yes || !there[run{a.Task, a.Run}]
	}
	for i := range was.Finished {
		yes = yes || was.Finished[i].N != b.Finished[i].N
	}
	return yes
}

// hand puts the starts that wait into the answer; the next heartbeat shows
// whether they arrived.
func (m *Machine) hand(o *Orders) {
	for _, x := range m.waiting() {
		if !x.given && m.now <= x.until {
			x.given = true
			o.Start = append(o.Start, x.Start)
		}
	}
}

func (m *Machine) waiting() []*order {
	var list []*order
	for _, x := range m.queue {
		list = append(list, x)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Grant < list[j].Grant })
	return list
}

// Leave hears that the runner says farewell.
func (m *Machine) Leave(id identifier.Incarnation, now clock.Monotonic) {
	m.now = max(m.now, now)
	if m.beat != nil && m.beat.Runner == id {
		m.left = m.now
	}
}

// Tick passes in the time: it drops starts that have expired, reports a runner
// that is dead, and polls when due.
func (m *Machine) Tick(now clock.Monotonic) {
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
func (m *Machine) patience() clock.Millis {
	if m.back > 0 && m.now.Since(m.contact) > lostAfter {
		return seekWait
	}
	return m.wait
}

// Fence is the highest fence this agent knows of, 0 for none.
func (m *Machine) Fence() uint64 { return m.fence }

// greet asks the core for its fence before there is a heartbeat to tell of: a
// runner that obeyed a former process takes nothing from a lower one.
func (m *Machine) greet() {
	if m.beat != nil || m.fence > 0 || len(m.keepers) == 0 || m.now < m.greeted.Add(greetGap) {
		return
	}
	m.greeted = m.now
	m.seq++
	m.greeting = m.seq
	m.out.Sends = append(m.out.Sends, wire.Send{To: wire.Peer(m.keepers[m.at%len(m.keepers)]), Msg: wire.Msg{Ask: &wire.Ask{ID: m.seq, Verb: "GET", Path: "/v1/fence", Budget: greetGap}}})
	m.at++
}

// welcome takes the fence.
func (m *Machine) welcome(r *wire.Reply) {
	var a runnerapi.Answer
	if !r.Moved && r.Status == 200 && json.Unmarshal(r.Body, &a) == nil {
		m.fence = max(m.fence, a.Fence)
	}
}

func (m *Machine) fail() {
	m.at++
	m.back = min(max(50, m.back*2), backMost)
	m.next = m.now.Add(m.back/2 + clock.Millis(m.seq*7919%uint64(m.back)))
}

// dead tells whether the runner is silent and whatever it ran is over.
func (m *Machine) dead() bool {
	return m.beat != nil && m.now > m.held.Add(deadSlack) && m.now.Since(m.beaten) > deadSilence
}

// polls keeps one poll open at the core; news goes out in a new one that takes
// its place.
func (m *Machine) polls() {
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
	m.out.Sends = append(m.out.Sends, wire.Send{To: to, Msg: wire.Msg{Ask: &wire.Ask{ID: m.seq, Verb: "POST",
		Path: "/v1/runners/" + string(m.boot.Name) + "/poll", Body: body, Budget: pollWait}}})
}

func (m *Machine) ask() runnerapi.Ask {
	b := m.beat
	a := runnerapi.Ask{Agent: true, Inc: b.Runner, Seq: m.seq, Cores: b.Cap.Cores, Milli: b.Cap.Milli, Mem: b.Cap.Mem, GPUs: b.Cap.GPUs, Pool: b.Pool, Addr: m.boot.Addr,
		Labels: b.Labels, Domain: b.Domain, Rack: b.Rack, Mode: runnerapi.Active, Silent: m.now.Since(m.beaten), Finished: b.Finished}
	if b.Draining {
		a.Mode, a.Departs = runnerapi.Draining, max(0, b.Departs-m.now.Since(m.beaten))
	}
	for _, x := range b.Active {
		s := m.moved[run{x.Task, x.Run}]
		if s.late(m.now) {
			x.Still = m.now.Since(s.at)
		}
		x.Speed = s.speed
		a.Active = append(a.Active, x)
	}
	a.Dead = m.dead()
	a.Left = m.left > 0 && m.now.Since(m.left) > leaveLag
	for _, x := range m.waiting() {
		a.Active = append(a.Active, runnerapi.RunState{Task: x.Task, Run: x.No})
	}
	for r := range m.gone {
		a.Gone = append(a.Gone, runnerapi.RunStop{Task: r.task, Run: r.no})
	}
	sort.Slice(a.Gone, func(i, j int) bool {
		return less(run{a.Gone[i].Task, a.Gone[i].Run}, run{a.Gone[j].Task, a.Gone[j].Run})
	})
	return a
}

// Frame takes what a keeper says.
func (m *Machine) Frame(from wire.Peer, msg wire.Msg, now clock.Monotonic) {
	m.now = max(m.now, now)
	if t := msg.Tell; t != nil && t.Node != 0 && t.Lead == t.Node {
		m.follow(t)
		return
	}
	r := msg.Reply
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
	var a runnerapi.Answer
	if r.Moved || r.Status != 200 || json.Unmarshal(r.Body, &a) != nil {
		if !r.Moved && r.Status != m.odd {
			m.odd = r.Status
			m.event("poll-refused", "status", r.Status, "body", string(r.Body), "via", from)
		}
		m.fail()
		return
	}
	m.back, m.next, m.odd = 0, m.now, 0
	if !m.Touched() {
		m.event("in-touch", "via", from)
	}
	m.contact, m.touched = max(m.contact, open.sent), true
	m.obey(&a, open)
	m.polls()
}

// stale hears an answer to a poll that another has replaced or that was given
// up: what it orders is passed over, since the core says it again, but it shows
// that the core has heard this agent since the poll was sent.
func (m *Machine) stale(r *wire.Reply) {
	sent, ok := m.asked[r.ID]
	if !ok {
		return
	}
	delete(m.asked, r.ID)
	var a runnerapi.Answer
	if r.Moved || r.Status != 200 || json.Unmarshal(r.Body, &a) != nil {
		return
	}
	m.contact, m.touched = max(m.contact, sent), true
	if a.GrantMs > 0 {
		m.grant = a.GrantMs
	}
	m.fence = max(m.fence, a.Fence)
}

// follow hears a new leader say that it leads, and turns to it at once.
func (m *Machine) follow(t *wire.Tell) {
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

func (m *Machine) obey(a *runnerapi.Answer, open *ask) {
	if a.GrantMs > 0 {
		m.grant = a.GrantMs
	}
	if a.StartMs > 0 {
		m.wait = a.StartMs*6/10 + slack
	}
	m.fence = max(m.fence, a.Fence)
	m.seq = max(m.seq, a.Seq)
	if len(a.Keepers) > 0 {
		m.keepers, m.at = a.Keepers, 0
	}
	if m.beat == nil || m.beat.Runner != open.inc {
		return
	}
	m.seen = max(m.seen, a.Observed)
	halts := map[run]bool{}
	for _, s := range a.Halts {
		r := run{s.Task, s.Run}
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
		r := run{s.Task, s.No}
		if m.queue[r] == nil && !halts[r] && !m.runs(r) {
			m.queue[r] = &order{Start: s, until: open.sent.Add(a.StartMs)}
			m.news = true
		}
	}
}

// runs tells whether the last heartbeat showed this run.
func (m *Machine) runs(r run) bool {
	var yes bool
	for _, a := range m.beat.Active {
		yes = yes || run{a.Task, a.Run} == r
	}
	for _, e := range m.beat.Finished {
		yes = yes || run{e.Task, e.Run} == r
	}
	return yes
}

package runner

import (
	"math/rand"

	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
)

// Runner is a runner as a pure state machine: it polls for orders, runs tasks that only take
// time, and stops them when its lease lapses. It does no input or output and reads no clock.
// It is not safe for concurrent use.
type Runner struct {
	// Retired says that a newer incarnation has this runner's name, so that this one is to
	// end. Callers may only read it.
	Retired bool

	config Config
	now    clock.Monotonic
	random *rand.Rand
	output Output

	gateways gatewayList
	polls    pollState
	attempts attemptTable

	// unreported says that the control plane has yet to hear of something.
	unreported bool
	mode       string
	departsAt  clock.Monotonic
	// isolatedUntil is until when this stand-in neither sends nor hears anything.
	isolatedUntil clock.Monotonic
}

// gatewayList is the gateways that a runner knows, and the one that it polls now.
type gatewayList struct {
	addrs   []string
	current int
}

func (l *gatewayList) addr() string { return l.addrs[l.current%len(l.addrs)] }

// New makes a runner without tasks, which polls a random one of its gateways first.
func New(config Config, now clock.Monotonic) *Runner {
	r := &Runner{
		config:   config,
		now:      now,
		random:   rand.New(rand.NewSource(config.Seed)),
		gateways: gatewayList{addrs: config.Gateways},
		polls:    newPollState(now),
		attempts: newAttemptTable(),
		mode:     runnerapi.ModeActive,
	}
	if n := len(config.Gateways); n > 0 {
		r.gateways.current = r.random.Intn(n)
	}
	return r
}

// TakeOutput returns the output so far and clears it.
func (r *Runner) TakeOutput() Output {
	out := r.output
	r.output = Output{}
	return out
}

// Gateways lists the gateways that the runner knows.
func (r *Runner) Gateways() []string { return r.gateways.addrs }

// Mode is runnerapi.ModeActive or runnerapi.ModeDraining.
func (r *Runner) Mode() string { return r.mode }

// Running is the number of tasks that run.
func (r *Runner) Running() int { return len(r.attempts.running) }

// InContact reports whether a poll was answered lately.
func (r *Runner) InContact() bool {
	return r.polls.seq > 1 && r.now.Since(r.polls.lastContact) < 3*r.polls.startTimeout
}

// LearnGateways takes a list of gateways from whoever knows one. The gateway that is polled
// now stays, if it is among them.
func (r *Runner) LearnGateways(addrs []string) {
	if len(addrs) == 0 {
		return
	}
	current := ""
	if len(r.gateways.addrs) > 0 {
		current = r.gateways.addr()
	}
	r.gateways.addrs = addrs
	r.gateways.current = r.random.Intn(len(addrs))
	for i, addr := range addrs {
		if addr == current {
			r.gateways.current = i
		}
	}
}

// SwitchGateway turns to another gateway: this one says that it is about to stop.
func (r *Runner) SwitchGateway() { r.gateways.current++ }

// Isolate keeps the stand-in from sending and hearing for a while; its tasks run on.
func (r *Runner) Isolate(span clock.Millis) { r.isolatedUntil = r.now.Add(span) }

// SetMode makes the runner say that it is leaving, after how long, or that it is not.
func (r *Runner) SetMode(mode string, departsIn clock.Millis, now clock.Monotonic) {
	r.observe(now)
	r.mode = mode
	r.departsAt = r.now.Add(departsIn)
	r.unreported = true
	r.pollIfDue()
}

// SetFaults changes how the stand-in misbehaves; see Config.
func (r *Runner) SetFaults(slowdownPercent, defectPercent int64) {
	r.config.SlowdownPercent = slowdownPercent
	r.config.DefectPercent = defectPercent
}

// Tick passes in the time: it stops tasks whose lease has lapsed, ends those whose time is
// up, and polls when due. It should come every TickInterval.
func (r *Runner) Tick(now clock.Monotonic) {
	r.observe(now)
	r.pollIfDue()
}

// observe takes the time of an input. It first ends what outlived its lease, and then what
// has run its time.
func (r *Runner) observe(now clock.Monotonic) {
	r.now = max(r.now, now)
	lapsed := r.now.Since(r.polls.lastContact) > r.polls.lease
	for _, id := range r.attempts.runningIDs() {
		running := r.attempts.running[id]
		switch {
		case lapsed || running.GangLease > 0 && r.now.Since(running.gangCompleteAt) > running.GangLease:
			r.end(id, runnerapi.OutcomeLeaseLapsed)
		case r.now >= running.endsAt && running.defect:
			r.end(id, runnerapi.OutcomeDefect)
		case r.now >= running.endsAt:
			r.end(id, runnerapi.OutcomeSuccess)
		}
	}
	r.attempts.forgetUsed(r.now)
}

// retire ends everything: a newer incarnation has this runner's name.
func (r *Runner) retire() {
	for _, id := range r.attempts.runningIDs() {
		r.end(id, runnerapi.OutcomeStopped)
	}
	r.Retired = true
}

package runner

import (
	"math/rand"

	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
)

// Runner is a runner as a pure state machine: it polls for orders, simulates tasks by letting
// time pass, and stops them when its lease expires. It performs no I/O and reads no clock. It
// is not safe for concurrent use.
type Runner struct {
	// Retired is set once a newer incarnation has taken over this runner's name, and this
	// one must exit. Callers must not modify it.
	Retired bool

	config Config
	now    clock.Monotonic
	random *rand.Rand
	output Output

	gateways gatewayList
	polls    pollState
	attempts attemptTable

	// unreported is set while there are changes that no poll has reported yet.
	unreported bool
	mode       string
	departsAt  clock.Monotonic
	// isolatedUntil is when a simulated network isolation ends. Until then the runner sends
	// no polls and ignores responses.
	isolatedUntil clock.Monotonic
}

// gatewayList holds the gateways that a runner knows, and the one that it currently polls.
type gatewayList struct {
	addrs   []string
	current int
}

func (l *gatewayList) addr() string { return l.addrs[l.current%len(l.addrs)] }

// New returns a runner without tasks. It polls a random gateway first.
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

// TakeOutput returns the pending output and clears it.
func (r *Runner) TakeOutput() Output {
	out := r.output
	r.output = Output{}
	return out
}

// Gateways lists the gateways that the runner knows.
func (r *Runner) Gateways() []string { return r.gateways.addrs }

// Mode returns runnerapi.ModeActive or runnerapi.ModeDraining.
func (r *Runner) Mode() string { return r.mode }

// Running returns the number of running tasks.
func (r *Runner) Running() int { return len(r.attempts.running) }

// InContact reports whether a recent poll was answered.
func (r *Runner) InContact() bool {
	return r.polls.seq > 1 && r.now.Since(r.polls.lastContact) < 3*r.polls.startTimeout
}

// LearnGateways replaces the list of gateways. An empty list is ignored. The runner keeps
// polling its current gateway if the new list has it.
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

// SwitchGateway switches to another gateway, after the current one has announced that it is
// about to stop.
func (r *Runner) SwitchGateway() { r.gateways.current++ }

// Isolate simulates a network isolation: for the given time the runner neither sends polls nor
// processes responses, while its tasks keep running.
func (r *Runner) Isolate(duration clock.Millis) { r.isolatedUntil = r.now.Add(duration) }

// SetMode makes the runner report the given mode and, if it is draining, the time until it
// leaves.
func (r *Runner) SetMode(mode string, departsIn clock.Millis, now clock.Monotonic) {
	r.advance(now)
	r.mode = mode
	r.departsAt = r.now.Add(departsIn)
	r.unreported = true
	r.pollIfDue()
}

// SetFaults sets the simulated faults; see Config.
func (r *Runner) SetFaults(slowdownPercent, defectPercent int64) {
	r.config.SlowdownPercent = slowdownPercent
	r.config.DefectPercent = defectPercent
}

// Tick advances the time: it stops tasks whose lease has expired, ends those that have
// finished, and polls when due. The owner should call it every TickInterval.
func (r *Runner) Tick(now clock.Monotonic) {
	r.advance(now)
	r.pollIfDue()
}

// advance advances the time to that of an input, and ends the attempts that have outlived
// their lease or have finished. An expired lease takes precedence.
func (r *Runner) advance(now clock.Monotonic) {
	r.now = max(r.now, now)
	lapsed := r.now.Since(r.polls.lastContact) > r.polls.lease
	for _, id := range r.attempts.runningIDs() {
		running := r.attempts.running[id]
		switch {
		case lapsed || running.GangLease > 0 && r.now.Since(running.gangCompleteAt) > running.GangLease:
			r.end(id, runnerapi.OutcomeLeaseLapsed)
		case r.now >= running.end && running.defect:
			r.end(id, runnerapi.OutcomeDefect)
		case r.now >= running.end:
			r.end(id, runnerapi.OutcomeSuccess)
		}
	}
	r.attempts.sweepUsed(r.now)
}

// retire ends all attempts, because a newer incarnation has taken over this runner's name.
func (r *Runner) retire() {
	for _, id := range r.attempts.runningIDs() {
		r.end(id, runnerapi.OutcomeStopped)
	}
	r.Retired = true
}

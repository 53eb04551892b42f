package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Times of runners.
const (
	advanceInterval = 5 * time.Millisecond
	holdMax         = 6 * time.Second
	gangMax         = 3 * time.Second
	stopDelay       = 50 * time.Millisecond
)

// How runs end.
const (
	endDone    = "done"
	endFailed  = "failed"
	endStopped = "stopped"
	endLapsed  = "lapsed"
	endBroken  = "broken"
	endAlone   = "alone"
	endRefused = "refused"
)

// fleet holds all runners, and what is known of the jobs that were handed in. Its lock guards
// the runners too.
type fleet struct {
	drill *drill
	quit  chan struct{}
	done  sync.WaitGroup

	mu      sync.Mutex
	jobs    map[string]expectedJob
	runners []*runner
	starts  []startRecord
	ends    []*runEnd
}

// expectedJob is a job that a client hands in. The runs of a task up to number faultyRuns fail
// through its own fault once their work is done.
type expectedJob struct {
	stage      stage
	work       time.Duration
	faultyRuns uint64
}

// startRecord is a start that a runner began on an order.
type startRecord struct {
	task   string
	number uint64
	runner string
	at     time.Time
}

// run is a run of a task on a runner.
type run struct {
	task    string
	number  uint64
	job     expectedJob
	started time.Time
	// worksSince is zero while a member of a gang waits for the others.
	worksSince time.Time
	// stopAt is when an ordered stop takes effect, zero for none.
	stopAt time.Time
}

// runEnd is the end of a run.
type runEnd struct {
	seq     uint64
	task    string
	number  uint64
	how     string
	runner  string
	started time.Time
	at      time.Time
	// lapsed is set if the runner's hold lapsed before the end was taken note of.
	lapsed bool
	// observedAt is when the end was taken note of, zero for never.
	observedAt time.Time
}

func newFleet(d *drill) *fleet {
	f := &fleet{drill: d, quit: make(chan struct{}), jobs: map[string]expectedJob{}}
	f.done.Add(1)
	go f.run()
	return f
}

// run advances all runners until the fleet is stopped.
func (f *fleet) run() {
	defer f.done.Done()
	ticker := time.NewTicker(advanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.quit:
			return
		case now := <-ticker.C:
			f.mu.Lock()
			f.advance(now)
			f.mu.Unlock()
		}
	}
}

// stop ends all runners.
func (f *fleet) stop() {
	close(f.quit)
	f.done.Wait()
}

// expect announces a job that is about to be handed in.
func (f *fleet) expect(id string, job expectedJob) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[id] = job
}

// add adds the runner of an agent.
func (f *fleet) add(agent *process, control, zone string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &runner{
		fleet:   f,
		agent:   agent,
		control: control,
		zone:    zone,
		name:    fmt.Sprintf("runner-%d", len(f.runners)),
		wake:    make(chan struct{}, 1),
	}
	r.reset()
	f.runners = append(f.runners, r)
	f.done.Add(1)
	go r.beat()
}

// advance ends the runs that are due on all runners.
func (f *fleet) advance(now time.Time) {
	for _, r := range f.runners {
		r.lapse(now)
	}
	f.joinGangs(now)
	for _, r := range f.runners {
		for _, one := range r.sortedRuns() {
			f.advanceRun(r, one, now)
		}
	}
}

// advanceRun ends a run that was stopped, has waited too long for its gang, or has done its work.
func (f *fleet) advanceRun(r *runner, one *run, now time.Time) {
	switch {
	case r.runs[one.task] != one:
	case !one.stopAt.IsZero() && now.After(one.stopAt):
		r.end(one, endStopped, now)
	case one.worksSince.IsZero():
		if now.Sub(one.started) >= gangMax {
			r.end(one, endAlone, now)
		}
	case now.Sub(one.worksSince) >= one.job.work:
		f.finish(r, one, now)
	}
}

// finish ends a run that has done its work, and with it all members of its gang. They fail
// together if the fault is the job's own.
func (f *fleet) finish(r *runner, one *run, now time.Time) {
	how := endDone
	if one.number <= one.job.faultyRuns {
		how = endFailed
	}
	if !one.job.stage.Coscheduled {
		r.end(one, how, now)
		return
	}
	for _, other := range f.runners {
		for _, member := range other.sortedRuns() {
			if sameGang(member, one) {
				other.finishMember(member, how, now)
			}
		}
	}
}

// gangName returns the name that the members of a gang's run share.
func gangName(one *run) string {
	step := one.task[:strings.LastIndexByte(one.task, '.')]
	return fmt.Sprintf("%s run %d", step, one.number)
}

func sameGang(x, y *run) bool { return gangName(x) == gangName(y) }

// joinGangs lets the gangs work of which all members are present.
func (f *fleet) joinGangs(now time.Time) {
	present := map[string][]*run{}
	for _, r := range f.runners {
		for _, one := range r.runs {
			if one.job.stage.Coscheduled {
				present[gangName(one)] = append(present[gangName(one)], one)
			}
		}
	}
	for _, members := range present {
		if len(members) < members[0].job.stage.Count {
			continue
		}
		for _, one := range members {
			if one.worksSince.IsZero() {
				one.worksSince = now
			}
		}
	}
}

// breakGang ends the other members of a gang after one of them has ended.
func (f *fleet) breakGang(ended *run, now time.Time) {
	for _, r := range f.runners {
		for _, one := range r.sortedRuns() {
			if sameGang(one, ended) {
				delete(r.runs, one.task)
				r.addEnd(one, endBroken, now)
			}
		}
	}
}

// runnersOf returns the runners that run tasks of a job.
func (f *fleet) runnersOf(id string) []*runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*runner
	for _, r := range f.runners {
		for task := range r.runs {
			if strings.HasPrefix(task, id) {
				list = append(list, r)
				break
			}
		}
	}
	return list
}

// startedTwice lists the starts that follow a run that ended done, where that end was taken note
// of and the runner's hold had not lapsed before (TWICE).
func (f *fleet) startedTwice() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	well := map[string]*runEnd{}
	for _, e := range f.ends {
		if e.how == endDone && !e.lapsed && !e.observedAt.IsZero() && well[e.task] == nil {
			well[e.task] = e
		}
	}
	var broken []string
	for _, s := range f.starts {
		if e := well[s.task]; e != nil && s.at.After(e.at) {
			broken = append(broken, fmt.Sprintf(
				"TWICE: %s run %d starts on %s at %.3f, though run %d ended done on %s at %.3f, taken note of at %.3f",
				s.task, s.number, s.runner, f.seconds(s.at), e.number, e.runner, f.seconds(e.at), f.seconds(e.observedAt)))
		}
	}
	return broken
}

// endedAlone lists the runs that started after the given time and ended alone (GANG).
func (f *fleet) endedAlone(after time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var broken []string
	for _, e := range f.ends {
		if e.how == endAlone && e.started.After(after) {
			broken = append(broken, fmt.Sprintf("GANG: %s run %d, started on %s at %.3f, ended alone at %.3f",
				e.task, e.number, e.runner, f.seconds(e.started), f.seconds(e.at)))
		}
	}
	return broken
}

// seconds returns a time in seconds since the drill began.
func (f *fleet) seconds(at time.Time) float64 { return at.Sub(f.drill.begun).Seconds() }

// startCount returns how many starts there were.
func (f *fleet) startCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.starts)
}

// busiest returns the runner that runs most tasks.
func (f *fleet) busiest() *runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	best := f.runners[0]
	for _, r := range f.runners {
		if len(r.runs) > len(best.runs) {
			best = r
		}
	}
	f.drill.logf("%s runs most: %d tasks", best.name, len(best.runs))
	return best
}

// failedRuns returns how many runs of a job's gang had a member that ended failed.
func (f *fleet) failedRuns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	numbers := map[uint64]bool{}
	for _, e := range f.ends {
		if e.how == endFailed {
			numbers[e.number] = true
		}
	}
	return len(numbers)
}

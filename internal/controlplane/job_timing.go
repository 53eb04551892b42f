package controlplane

import (
	"maps"
	"slices"

	"orchidward/internal/clock"
	"orchidward/internal/state"
)

const (
	// timingLogInterval is how often a leader logs how the time of each queue's jobs was
	// spent.
	timingLogInterval clock.Millis = 10000
	// maxLateJobsLogged bounds the late jobs that are logged individually within
	// lateLogInterval; the others are only counted.
	maxLateJobsLogged              = 32
	lateLogInterval   clock.Millis = 1000
	// maxTimedQueues bounds the queues for which totals are kept.
	maxTimedQueues = 512
)

// JobTotals counts jobs that have ended, and sums up how time was spent on their critical
// paths.
type JobTotals struct {
	// Ended is the number of jobs that ended, Late the number that succeeded after they
	// were due, and Failed the number that failed.
	Ended, Late, Failed int
	state.Timing
}

// jobTimes is what a leader has recorded of ended jobs. totals covers this leadership,
// queues the time since they were last logged.
type jobTimes struct {
	totals          JobTotals
	queues          map[string]*JobTotals
	loggedAt        clock.Monotonic
	lateWindowStart clock.Monotonic
	lateLogged      int
	lateSuppressed  int
}

func newJobTimes(now clock.Monotonic) jobTimes {
	return jobTimes{queues: map[string]*JobTotals{}, loggedAt: now, lateWindowStart: now}
}

// JobTotals returns the totals of the jobs that ended under this leadership, zero on a
// server that does not lead.
func (s *Server) JobTotals() JobTotals {
	if s.leader == nil {
		return JobTotals{}
	}
	return s.leader.jobTimes.totals
}

// recordEndedJobs records the jobs that the last entry ended.
func (s *Server) recordEndedJobs() {
	s.state.TakeEndedJobs(func(j *state.Job) {
		// A repeated job is timed through its occurrences.
		if s.leader == nil || j.Terms == nil || j.Spec.Repeat != nil || j.EndState == state.Cancelled {
			return
		}
		_, timing, ok := j.Timing()
		late := j.EndState == state.Succeeded && j.EndedAt > j.Terms.DueAt
		times := &s.leader.jobTimes
		times.totals.add(j, timing, late)
		if queue := times.queue(j.Terms.Queue); queue != nil {
			queue.add(j, timing, late)
		}
		if ok && (late || j.EndState == state.Failed) {
			s.logLateJob(j, timing)
		}
	})
}

func (t *JobTotals) add(j *state.Job, timing state.Timing, late bool) {
	t.Ended++
	if late {
		t.Late++
	}
	if j.EndState == state.Failed {
		t.Failed++
	}
	t.Timing = t.Plus(timing)
}

// queue returns the totals of a queue, or nil if maxTimedQueues is exceeded.
func (t *jobTimes) queue(name string) *JobTotals {
	totals := t.queues[name]
	if totals == nil && len(t.queues) < maxTimedQueues {
		totals = &JobTotals{}
		t.queues[name] = totals
	}
	return totals
}

// logLateJob logs how the time of a job was spent that finished late or failed.
func (s *Server) logLateJob(j *state.Job, timing state.Timing) {
	times := &s.leader.jobTimes
	if s.now.Since(times.lateWindowStart) >= lateLogInterval {
		if times.lateSuppressed > 0 {
			s.logEvent("late-jobs-not-logged", "jobs", times.lateSuppressed)
		}
		times.lateWindowStart = s.now
		times.lateLogged = 0
		times.lateSuppressed = 0
	}
	if times.lateLogged >= maxLateJobsLogged {
		times.lateSuppressed++
		return
	}
	times.lateLogged++
	fields := []any{
		"key", j.Key, "queue", j.Terms.Queue, "priority", j.Terms.Priority, "state", j.EndState,
		"tookMs", j.EndedAt.Since(j.AcceptedAt), "targetMs", j.Terms.Target, "expectedMs", j.Spec.CriticalPath(),
	}
	s.logEvent("job-late", append(fields, timingFields(timing)...)...)
}

// timingFields returns the log fields that show how time was spent; causes without a loss
// are omitted.
func timingFields(timing state.Timing) []any {
	fields := []any{
		"waitMs", timing.Waiting, "runMs", timing.Running,
		"attempts", timing.Attempts, "distant", timing.Distant,
	}
	for cause := range state.LossCauses {
		if lost := timing.Lost[cause]; lost > 0 {
			fields = append(fields, cause.String()+"Ms", lost)
		}
	}
	return fields
}

// logJobTimes logs, every timingLogInterval, how the time of each queue's jobs was spent.
func (s *Server) logJobTimes() {
	times := &s.leader.jobTimes
	if s.now.Since(times.loggedAt) < timingLogInterval {
		return
	}
	times.loggedAt = s.now
	for _, name := range slices.Sorted(maps.Keys(times.queues)) {
		totals := times.queues[name]
		fields := []any{"queue", name, "ended", totals.Ended, "late", totals.Late, "failed", totals.Failed}
		s.logEvent("queue-times", append(fields, timingFields(totals.Timing)...)...)
	}
	clear(times.queues)
}

// TimingDoc is how time was spent, in milliseconds. Lost is the time of attempts that
// were wasted, by cause.
type TimingDoc struct {
	Waiting  clock.Millis            `json:"waitMs"`
	Running  clock.Millis            `json:"runMs"`
	Lost     map[string]clock.Millis `json:"lostMs,omitempty"`
	Attempts int                     `json:"attempts"`
	Distant  int                     `json:"distant,omitempty"`
}

// StepTimingDoc is the timing of the task that finished last in a step.
type StepTimingDoc struct {
	TimingDoc
	Task  int    `json:"task"`
	Ended string `json:"ended"`
}

func newTimingDoc(timing state.Timing) TimingDoc {
	doc := TimingDoc{Waiting: timing.Waiting, Running: timing.Running, Attempts: timing.Attempts, Distant: timing.Distant}
	for cause := range state.LossCauses {
		if timing.Lost[cause] == 0 {
			continue
		}
		if doc.Lost == nil {
			doc.Lost = map[string]clock.Millis{}
		}
		doc.Lost[cause.String()] = timing.Lost[cause]
	}
	return doc
}

// addTiming adds the timing that this server has recorded to a job's document.
func (d *JobDoc) addTiming(j *state.Job) {
	steps, chain, ok := j.Timing()
	if !ok {
		return
	}
	timing := newTimingDoc(chain)
	d.Timing = &timing
	for i := range steps {
		if steps[i].EndedAt > 0 {
			d.Steps[i].Timing = &StepTimingDoc{newTimingDoc(steps[i].Timing), steps[i].Task, state.FormatTime(steps[i].EndedAt)}
		}
	}
}

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// afterEnd is how soon a runner beats again after an end.
	afterEnd = 50 * time.Millisecond
	// defaultRetry is how soon it beats again unless it is told.
	defaultRetry = 200 * time.Millisecond
	// maxListedEnds is how many ends a beat lists at once.
	maxListedEnds = 500

	headroomCPU = 16000
	headroomMem = 65536
)

// runner is a stand-in for the runner that shares a machine with an agent.
type runner struct {
	fleet   *fleet
	agent   *process
	control string
	zone    string
	name    string
	wake    chan struct{}

	up          bool
	id          string
	lives       int
	callSeq     uint64
	fence       uint64
	holdEnd     time.Time
	runs        map[string]*run
	highest     map[string]uint64
	pendingEnds []*runEnd
	lastEnd     uint64
}

// reset begins a new life of the runner, which runs nothing and has seen no fence.
func (r *runner) reset() {
	r.lives++
	r.up = true
	r.id = fmt.Sprintf("i-%s-%d", r.name, r.lives)
	r.callSeq, r.fence, r.lastEnd = 0, 0, 0
	r.holdEnd = time.Time{}
	r.runs = map[string]*run{}
	r.highest = map[string]uint64{}
	r.pendingEnds = nil
}

// crash ends all that runs, and the runner is down for the given time. It comes back with a new
// id.
func (r *runner) crash(down time.Duration) {
	r.fleet.mu.Lock()
	r.fleet.drill.logf("%s (%s) crashes for %v", r.name, r.id, down)
	runs := r.sortedRuns()
	r.reset()
	r.up = false
	for _, one := range runs {
		if one.job.stage.Coscheduled {
			r.fleet.breakGang(one, time.Now())
		}
	}
	r.fleet.mu.Unlock()
	time.AfterFunc(down, func() {
		r.fleet.mu.Lock()
		defer r.fleet.mu.Unlock()
		r.up = true
		r.fleet.drill.logf("%s is back as %s", r.name, r.id)
	})
}

// sortedRuns lists the runs by task.
func (r *runner) sortedRuns() []*run {
	var list []*run
	for _, task := range slices.Sorted(maps.Keys(r.runs)) {
		list = append(list, r.runs[task])
	}
	return list
}

// lapse ends all runs if the hold is over.
func (r *runner) lapse(now time.Time) {
	if now.Before(r.holdEnd) {
		return
	}
	for _, one := range r.sortedRuns() {
		r.end(one, endLapsed, now)
	}
	for _, e := range r.pendingEnds {
		e.lapsed = true
	}
}

// end ends a run, and with it the gang that it belongs to.
func (r *runner) end(one *run, how string, now time.Time) {
	if r.runs[one.task] != one {
		return
	}
	delete(r.runs, one.task)
	r.addEnd(one, how, now)
	if one.job.stage.Coscheduled {
		r.fleet.breakGang(one, now)
	}
}

// finishMember ends a member of a gang that has done its work.
func (r *runner) finishMember(one *run, how string, now time.Time) {
	delete(r.runs, one.task)
	r.addEnd(one, how, now)
}

func (r *runner) addEnd(one *run, how string, now time.Time) {
	r.lastEnd++
	r.highest[one.task] = max(r.highest[one.task], one.number)
	e := &runEnd{
		seq: r.lastEnd, task: one.task, number: one.number, how: how, runner: r.name, started: one.started, at: now,
	}
	r.pendingEnds = append(r.pendingEnds, e)
	r.fleet.ends = append(r.fleet.ends, e)
	r.fleet.drill.logf("%s: %s run %d ends %s [%d]", r.name, one.task, one.number, how, e.seq)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// beat sends beats until the fleet is stopped.
func (r *runner) beat() {
	defer r.fleet.done.Done()
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}
	for {
		pause := time.NewTimer(r.sendBeat(client))
		select {
		case <-r.fleet.quit:
			return
		case <-r.wake:
			time.Sleep(afterEnd)
		case <-pause.C:
		}
		pause.Stop()
	}
}

// sendBeat sends one beat and returns how long to wait until the next.
func (r *runner) sendBeat(client *http.Client) time.Duration {
	id, body, up := r.beatBody()
	if !up {
		return defaultRetry
	}
	sent := time.Now()
	request, err := http.NewRequest(http.MethodPut, "http://"+r.control+"/orchidward/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return defaultRetry
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return defaultRetry
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode/100 != 2 || time.Since(sent) > callTimeout {
		return defaultRetry
	}
	return r.apply(id, text, sent)
}

func (r *runner) beatBody() (id string, body []byte, up bool) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	now := time.Now()
	r.fleet.advance(now)
	r.callSeq++
	active := [][]any{}
	for _, one := range r.sortedRuns() {
		percent := int64(0)
		if !one.worksSince.IsZero() {
			percent = min(99, int64(100*now.Sub(one.worksSince)/max(1, one.job.work)))
		}
		active = append(active, []any{one.task, one.number, "", percent})
	}
	finished := [][]any{}
	for _, e := range r.pendingEnds[:min(len(r.pendingEnds), maxListedEnds)] {
		finished = append(finished, []any{e.seq, e.task, e.number, e.how, ""})
	}
	text, err := json.Marshal(map[string]any{
		"target": serviceName, "address": r.control, "zone": r.zone, "revision": "v1", "capacity": 8,
		"mode": "ready", "coldLeftMs": 0, "labels": []string{"a", "rack-" + r.zone}, "callSeq": r.callSeq,
		"headroom": map[string]int{"cpu": headroomCPU, "memMb": headroomMem, "gpu": 0},
		"clockMs":  now.Sub(r.fleet.drill.begun).Milliseconds(), "active": active, "finished": finished,
	})
	return r.id, text, r.up && err == nil
}

// orders is the answer to a beat.
type orders struct {
	HoldMs   int64               `json:"holdMs"`
	Observed uint64              `json:"observed"`
	Fence    uint64              `json:"fence"`
	Start    [][]json.RawMessage `json:"start"`
	Stop     [][]json.RawMessage `json:"stop"`
	RetryMs  int64               `json:"retryMs"`
}

// apply carries out the answer to a beat that was sent at the given time.
func (r *runner) apply(id string, text []byte, sent time.Time) time.Duration {
	var o orders
	if json.Unmarshal(text, &o) != nil {
		return defaultRetry
	}
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	now := time.Now()
	r.fleet.advance(now)
	if r.id != id || !r.up || o.Fence < r.fence {
		return defaultRetry
	}
	r.fence = o.Fence
	hold := min(time.Duration(o.HoldMs)*time.Millisecond, holdMax)
	if end := sent.Add(hold); hold > 0 && end.After(r.holdEnd) {
		r.holdEnd = end
	}
	for len(r.pendingEnds) > 0 && r.pendingEnds[0].seq <= o.Observed {
		r.pendingEnds[0].observedAt = now
		r.pendingEnds = r.pendingEnds[1:]
	}
	for _, row := range o.Stop {
		r.stop(row, now)
	}
	if hold > 0 && now.Before(r.holdEnd) {
		for _, row := range o.Start {
			r.start(row, now)
		}
	}
	if o.RetryMs > 0 {
		return time.Duration(o.RetryMs) * time.Millisecond
	}
	return defaultRetry
}

// readRow reads the task and the number of a run.
func readRow(row []json.RawMessage) (task string, number uint64, ok bool) {
	if len(row) < 2 || json.Unmarshal(row[0], &task) != nil || json.Unmarshal(row[1], &number) != nil {
		return "", 0, false
	}
	return task, number, true
}

func (r *runner) stop(row []json.RawMessage, now time.Time) {
	task, number, ok := readRow(row)
	if !ok {
		return
	}
	r.highest[task] = max(r.highest[task], number)
	one := r.runs[task]
	r.fleet.drill.logf("%s: told to stop %s run %d, running: %v", r.name, task, number, one != nil)
	if one != nil && one.number <= number && one.stopAt.IsZero() {
		one.stopAt = now.Add(stopDelay)
	}
}

// start begins a run. A run that is not above one that was stopped or has ended here is turned
// away.
func (r *runner) start(row []json.RawMessage, now time.Time) {
	task, number, ok := readRow(row)
	id, _, _ := strings.Cut(task, ".")
	job, known := r.fleet.jobs[id]
	if !ok || !known {
		r.fleet.drill.logf("%s: told to start %s, which nobody handed in", r.name, task)
		return
	}
	one := &run{task: task, number: number, job: job, started: now}
	running := r.runs[task]
	switch {
	case running != nil && running.number >= number:
		return
	case r.highest[task] >= number:
		r.fleet.drill.logf("%s: turns %s run %d away", r.name, task, number)
		if !r.lists(task, number) {
			r.addEnd(one, endRefused, now)
		}
		return
	}
	if !job.stage.Coscheduled {
		one.worksSince = now
	}
	r.runs[task] = one
	r.fleet.starts = append(r.fleet.starts, startRecord{task: task, number: number, runner: r.name, at: now})
	r.fleet.drill.logf("%s: starts %s run %d", r.name, task, number)
}

// lists reports whether an end of the run still waits to be taken note of.
func (r *runner) lists(task string, number uint64) bool {
	return slices.ContainsFunc(r.pendingEnds, func(e *runEnd) bool { return e.task == task && e.number == number })
}

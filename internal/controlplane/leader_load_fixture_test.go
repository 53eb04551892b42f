package controlplane_test

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"strconv"
	"testing"

	"golang.org/x/sys/unix"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/controlplane"
	"orchidward/internal/transport/wire"
)

const (
	tasksPerJob = 3
	// deliverySlots exceeds the longest delivery time, in milliseconds.
	deliverySlots = 8
	// loadPollInterval is how often a simulated agent checks whether it must poll, in
	// milliseconds.
	loadPollInterval = 100
)

// leaderLoad simulates one server that leads alone, its writes synced at once, under a
// load of agents in virtual time. Only the server's processor time is measured.
type leaderLoad struct {
	b      *testing.B
	now    clock.Monotonic
	server *controlplane.Server
	random *rand.Rand
	agents []*loadAgent
	byName map[string]*loadAgent
	// toServer and fromServer are the messages in flight, by the millisecond in which
	// they arrive.
	toServer      [deliverySlots][]inFlightMessage
	fromServer    [deliverySlots][]inFlightMessage
	lastRequestID uint64
	jobs          int
	// expectedRun draws the duration of the tasks of the next job, in milliseconds.
	expectedRun func(random *rand.Rand) int
	// fillingUp makes each attempt end at a random time within its expected run, as if
	// attempts had been started over a long time.
	fillingUp bool
	counts    loadCounts
}

// loadCounts holds the counts since the last reset.
type loadCounts struct {
	// serverNanos is the server's own processor time.
	serverNanos int64
	started     int
	polls       int
	refused     int
}

// loadAgent is an agent and its runner, with no state other than what its polls report.
type loadAgent struct {
	name       string
	pollSeq    uint64
	lastEndSeq uint64
	runs       []loadRun
	ends       []runnerapi.RunEnd
	// openPoll is the id of the open poll, 0 if there is none.
	openPoll uint64
	// changed means that something has changed since the last poll.
	changed bool
}

type loadRun struct {
	task        identifier.TaskRef
	attempt     uint64
	startedAt   clock.Monotonic
	endsAt      clock.Monotonic
	expectedRun clock.Millis
}

// processorTime reads one of the kernel's processor-time clocks, in nanoseconds.
func processorTime(id int32) int64 {
	var reading unix.Timespec
	if err := unix.ClockGettime(id, &reading); err != nil {
		panic(fmt.Sprintf("read clock %d: %v", id, err))
	}
	return reading.Nano()
}

func newLeaderLoad(b *testing.B, agents int, expectedRun func(random *rand.Rand) int) *leaderLoad {
	b.Helper()
	l := &leaderLoad{
		b:           b,
		server:      newLoneServer(b),
		random:      rand.New(rand.NewSource(1)),
		byName:      map[string]*loadAgent{},
		expectedRun: expectedRun,
	}
	l.run(electionPeriod, 0)
	l.request(http.MethodPut, "/v1/catalog", testCatalog)
	l.run(100, 0)
	for i := 0; i < agents; i++ {
		a := &loadAgent{name: fmt.Sprintf("m%d", i)}
		l.agents = append(l.agents, a)
		l.byName[a.name] = a
	}
	l.run(2000, 0)
	return l
}

func (l *leaderLoad) request(method, path, body string) {
	l.send(operatorAddr, method, path, []byte(body))
}

// send puts a request to the server in flight and returns its id.
func (l *leaderLoad) send(from, method, path string, body []byte) (id uint64) {
	l.lastRequestID++
	request := &wire.Request{ID: l.lastRequestID, Method: method, Path: path, Body: body, Budget: requestTimeout}
	slot := l.arrivalSlot()
	l.toServer[slot] = append(l.toServer[slot], inFlightMessage{from: from, message: wire.Message{Request: request}})
	return request.ID
}

// arrivalSlot draws the arrival slot of a message sent now: one to three milliseconds
// later.
func (l *leaderLoad) arrivalSlot() int {
	return (int(l.now) + 1 + l.random.Intn(3)) % deliverySlots
}

// run advances virtual time by span and submits the given number of tasks per second.
func (l *leaderLoad) run(span clock.Monotonic, tasksPerSecond int) {
	const thousandthsPerJob = tasksPerJob * 1000
	due := 0
	for end := l.now + span; l.now < end; l.now++ {
		for due += tasksPerSecond; due >= thousandthsPerJob; due -= thousandthsPerJob {
			l.submitJob()
		}
		l.step()
	}
}

// step advances the simulation by one millisecond.
func (l *leaderLoad) step() {
	slot := int(l.now) % deliverySlots
	for _, m := range l.fromServer[slot] {
		l.deliver(m)
	}
	l.fromServer[slot] = l.fromServer[slot][:0]
	for i, a := range l.agents {
		if (int(l.now)+i)%loadPollInterval == 0 {
			l.stepAgent(a)
		}
	}
	before := processorTime(unix.CLOCK_THREAD_CPUTIME_ID)
	sent := l.stepServer(l.toServer[slot])
	l.counts.serverNanos += processorTime(unix.CLOCK_THREAD_CPUTIME_ID) - before
	l.toServer[slot] = l.toServer[slot][:0]
	for _, envelope := range sent {
		slot := l.arrivalSlot()
		l.fromServer[slot] = append(l.fromServer[slot], inFlightMessage{to: string(envelope.To), message: envelope.Message})
	}
}

// stepServer advances the server by one millisecond and returns the messages that it
// sends.
func (l *leaderLoad) stepServer(arrived []inFlightMessage) []wire.Envelope {
	var sent []wire.Envelope
	for _, m := range arrived {
		l.server.HandleMessage(wire.Peer(m.from), m.message, l.now, wallTime(l.now))
	}
	if l.now%clock.Monotonic(controlplane.TickInterval) == 0 {
		l.server.Tick(l.now, wallTime(l.now))
	}
	for more := true; more; {
		output := l.server.TakeOutput()
		more = len(output.Writes) > 0
		for _, write := range output.Writes {
			l.server.Synced(write.Seq, l.now, wallTime(l.now))
		}
		sent = append(sent, output.Messages...)
	}
	return sent
}

func (l *leaderLoad) submitJob() {
	l.jobs++
	body := fmt.Sprintf(`{"queue":"r","text":"t-%d","steps":[{"name":"s0","tasks":%d,"milliCores":200,"memMb":100,"spanMs":%d,"saves":true}]}`, l.jobs, tasksPerJob, l.expectedRun(l.random))
	l.request(http.MethodPut, jobPath(numberedJob(l.jobs)), body)
}

// deliver handles a response from the server.
func (l *leaderLoad) deliver(m inFlightMessage) {
	response := m.message.Response
	if response == nil {
		return
	}
	a := l.byName[m.to]
	if a == nil {
		if response.Status >= http.StatusMultipleChoices {
			l.counts.refused++
		}
		return
	}
	if response.Status != http.StatusOK {
		l.b.Fatalf("%s: %d %s", a.name, response.Status, response.Body)
	}
	var answer runnerapi.PollResponse
	if err := json.Unmarshal(response.Body, &answer); err != nil {
		l.b.Fatal(err)
	}
	if response.ID == a.openPoll {
		a.openPoll = 0
	}
	a.forgetObservedEnds(answer.ObservedThrough)
	for _, start := range answer.Starts {
		l.start(a, start)
	}
}

func (a *loadAgent) forgetObservedEnds(observedThrough uint64) {
	unobserved := a.ends[:0]
	for _, end := range a.ends {
		if end.Seq > observedThrough {
			unobserved = append(unobserved, end)
		}
	}
	a.ends = unobserved
}

func (l *leaderLoad) start(a *loadAgent, start runnerapi.Start) {
	run := loadRun{
		task:        start.Task,
		attempt:     start.Attempt,
		startedAt:   l.now,
		endsAt:      l.now + clock.Monotonic(start.ExpectedRun),
		expectedRun: start.ExpectedRun,
	}
	if l.fillingUp {
		run.endsAt = l.now + clock.Monotonic(l.random.Int63n(int64(start.ExpectedRun)))
	}
	a.runs = append(a.runs, run)
	a.changed = true
	l.counts.started++
}

// stepAgent ends the attempts that are due, and polls if something has changed or no poll
// is open.
func (l *leaderLoad) stepAgent(a *loadAgent) {
	a.endDueRuns(l.now)
	if a.openPoll != 0 && !a.changed {
		return
	}
	a.changed = false
	a.pollSeq++
	l.counts.polls++
	a.openPoll = l.send(a.name, http.MethodPost, "/v1/runners/"+a.name+"/poll", a.pollBody(l.now))
}

func (a *loadAgent) endDueRuns(now clock.Monotonic) {
	running := a.runs[:0]
	for _, run := range a.runs {
		if now < run.endsAt {
			running = append(running, run)
			continue
		}
		a.lastEndSeq++
		a.ends = append(a.ends, runnerapi.RunEnd{Seq: a.lastEndSeq, Task: run.task, Attempt: run.attempt, Outcome: runnerapi.OutcomeSuccess})
		a.changed = true
	}
	a.runs = running
}

// pollBody returns the poll that package agent would send. It is built by hand because
// encoding/json would take longer than the server under test.
func (a *loadAgent) pollBody(now clock.Monotonic) []byte {
	text := make([]byte, 0, 400+128*len(a.runs)+128*len(a.ends))
	text = append(text, `{"incarnation":"`+a.name+`-0","seq":`...)
	text = strconv.AppendUint(text, a.pollSeq, 10)
	text = append(text, `,"cores":0,"memMb":6000,"domain":"a","rack":"r1","mode":"active","departsMs":60000,"agent":true,"milliCores":12000,"pool":"x","addr":"`+a.name+`","silentMs":40`...)
	for i, run := range a.runs {
		text = appendSeparator(text, i, "active")
		text = appendTask(append(text, '{'), run.task, run.attempt)
		text = appendProgress(text, &run, now)
		text = append(text, '}')
	}
	if len(a.runs) > 0 {
		text = append(text, ']')
	}
	for i, end := range a.ends {
		text = appendSeparator(text, i, "finished")
		text = append(text, `{"n":`...)
		text = strconv.AppendUint(text, end.Seq, 10)
		text = append(text, ',')
		text = appendTask(text, end.Task, end.Attempt)
		text = append(text, `,"how":"`+runnerapi.OutcomeSuccess+`"}`...)
	}
	if len(a.ends) > 0 {
		text = append(text, ']')
	}
	return append(text, '}')
}

// appendSeparator appends what precedes the i-th item of a list: the start of the list,
// or a comma.
func appendSeparator(text []byte, i int, list string) []byte {
	if i > 0 {
		return append(text, ',')
	}
	return append(text, `,"`+list+`":[`...)
}

func appendTask(text []byte, task identifier.TaskRef, attempt uint64) []byte {
	text = append(text, `"task":{"job":"`...)
	text = append(text, task.Job...)
	text = append(text, `","step":`...)
	text = strconv.AppendInt(text, int64(task.Step), 10)
	text = append(text, `,"num":`...)
	text = strconv.AppendInt(text, int64(task.Num), 10)
	text = append(text, `},"run":`...)
	return strconv.AppendUint(text, attempt, 10)
}

// appendProgress appends the progress of an attempt that advances at the expected rate,
// in steps of one percent.
func appendProgress(text []byte, run *loadRun, now clock.Monotonic) []byte {
	onePercent := clock.Monotonic(max(1, run.expectedRun/100))
	elapsed := now - run.startedAt
	text = append(text, `,"percent":`...)
	text = strconv.AppendInt(text, int64(min(99, elapsed/onePercent)), 10)
	text = append(text, `,"stillMs":`...)
	text = strconv.AppendInt(text, int64(elapsed%onePercent), 10)
	text = append(text, `,"speed":`...)
	return strconv.AppendInt(text, int64(1_000_000/run.expectedRun), 10)
}

package controlplane_test

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"runtime"
	"strconv"
	"testing"

	"golang.org/x/sys/unix"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/controlplane"
	"orchidward/internal/state"
	"orchidward/internal/transport/wire"
)

// load is one keeper that leads alone, its writes synced at once, under hollow
// agents, in virtual time. Only the keeper's processor time is counted, with
// all of the collector's.
type load struct {
	b      *testing.B
	now    clock.Monotonic
	keep   *controlplane.Server
	rnd    *rand.Rand
	hollow []*hollow
	by     map[string]*hollow
	// in and out are what is under way to the keeper and from it, by the
	// millisecond it comes.
	in    [8][]post
	out   [8][]post
	ask   uint64
	jobs  int
	span  func(first bool) int
	first bool
	// cpu is the keeper's own time, in ns.
	cpu    int64
	begun  int
	ended  int
	polled int
	bad    int
}

// hollow is an agent and its runner with no life but what its polls say.
type hollow struct {
	name string
	seq  uint64
	n    uint64
	runs []hollowRun
	ends []runnerapi.RunEnd
	open uint64
	news bool
}

type hollowRun struct {
	task    identifier.TaskRef
	no      uint64
	at, end clock.Monotonic
	span    clock.Millis
}

func clusterClock(id int32) int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		panic(err)
	}
	return t.Nano()
}

func newLoad(b *testing.B, agents int, span func(first bool) int) *load {
	l := &load{b: b, rnd: rand.New(rand.NewSource(1)), by: map[string]*hollow{}, span: span}
	l.keep = controlplane.New(controlplane.Config{ID: 1, Addr: "k", Domain: "a", Timing: raft.DefaultTiming(), Level: state.SupportedLevel, MayFound: true}, 0)
	v := &raft.Snapshot{Index: 1, Term: 1, Members: []raft.Member{{ID: 1, Addr: "k", Domain: "a", Voter: true}}, Data: state.New().Encode()}
	if err := l.keep.Resume(raft.HardState{}, v, nil); err != nil {
		b.Fatal(err)
	}
	l.run(4000, 0)
	l.request("PUT", "/v1/catalog", `{"base":0,"version":2,"queues":[{"name":"r","host":"h","prefix":"/p/","pool":"x","rank":0,"tries":2,"stretch":2000,"setPointMs":1000,"timeoutMs":3000}],"pools":[{"name":"x"}]}`)
	l.run(100, 0)
	for i := 0; i < agents; i++ {
		h := &hollow{name: fmt.Sprintf("m%d", i)}
		l.hollow, l.by[h.name] = append(l.hollow, h), h
	}
	l.run(2000, 0)
	return l
}

func (l *load) wall() clock.WallTime { return clock.WallTime(1_800_000_000_000 + int64(l.now)) }

func (l *load) request(verb, path, body string) {
	l.ask++
	l.post(post{from: "op", msg: wire.Message{Request: &wire.Request{ID: l.ask, Method: verb, Path: path, Body: []byte(body), Budget: 2000}}})
}

func (l *load) post(p post) {
	at := (int(l.now) + 1 + l.rnd.Intn(3)) % len(l.in)
	l.in[at] = append(l.in[at], p)
}

// run lets time pass, with so many tasks a second handed in, three to a job.
func (l *load) run(ms clock.Monotonic, starts int) {
	due := 0
	for end := l.now + ms; l.now < end; l.now++ {
		for due += starts; due >= 3000; due -= 3000 {
			l.submit(3)
		}
		slot := int(l.now) % len(l.in)
		for _, p := range l.out[slot] {
			l.deliver(p)
		}
		l.out[slot] = l.out[slot][:0]
		for i, h := range l.hollow {
			if (int(l.now)+i)%100 == 0 {
				l.beat(h)
			}
		}
		from := clusterClock(unix.CLOCK_THREAD_CPUTIME_ID)
		sends := l.step(l.in[slot])
		l.cpu += clusterClock(unix.CLOCK_THREAD_CPUTIME_ID) - from
		l.in[slot] = l.in[slot][:0]
		for _, x := range sends {
			at := (int(l.now) + 1 + l.rnd.Intn(3)) % len(l.out)
			l.out[at] = append(l.out[at], post{to: string(x.To), msg: x.Message})
		}
	}
}

// step is a millisecond of the keeper's.
func (l *load) step(list []post) []wire.Envelope {
	var sends []wire.Envelope
	for _, p := range list {
		l.keep.HandleMessage(wire.Peer(p.from), p.msg, l.now, l.wall())
	}
	if l.now%20 == 0 {
		l.keep.Tick(l.now, l.wall())
	}
	for more := true; more; {
		o := l.keep.TakeOutput()
		more = len(o.Writes) > 0
		for _, w := range o.Writes {
			l.keep.Synced(w.Seq, l.now, l.wall())
		}
		sends = append(sends, o.Messages...)
	}
	return sends
}

func (l *load) submit(tasks int) {
	l.jobs++
	l.request("PUT", fmt.Sprintf("/v1/jobs/q/%016x", l.jobs), fmt.Sprintf(`{"queue":"r","text":"t-%d","steps":[{"name":"s0","tasks":%d,"milliCores":200,"memMb":100,"spanMs":%d,"saves":true}]}`, l.jobs, tasks, l.span(l.first)))
}

func (l *load) deliver(p post) {
	r := p.msg.Response
	h := l.by[p.to]
	if r == nil || h == nil {
		if r != nil && r.Status >= 300 {
			l.bad++
		}
		return
	}
	if r.Status != 200 {
		l.b.Fatalf("%s: %d %s", h.name, r.Status, r.Body)
	}
	var a runnerapi.PollResponse
	if err := json.Unmarshal(r.Body, &a); err != nil {
		l.b.Fatal(err)
	}
	if r.ID == h.open {
		h.open = 0
	}
	left := h.ends[:0]
	for _, e := range h.ends {
		if e.Seq > a.ObservedThrough {
			left = append(left, e)
		}
	}
	h.ends = left
	for _, s := range a.Starts {
		run := hollowRun{task: s.Task, no: s.Attempt, at: l.now, end: l.now + clock.Monotonic(s.ExpectedRun), span: s.ExpectedRun}
		if l.first {
			run.end = l.now + clock.Monotonic(l.rnd.Int63n(int64(s.ExpectedRun)))
		}
		h.runs, h.news = append(h.runs, run), true
		l.begun++
	}
}

// lastTimeEntry is a moment in a runner's life: the agent polls when there is news, or
// no poll of its is open.
func (l *load) beat(h *hollow) {
	kept := h.runs[:0]
	for _, r := range h.runs {
		if l.now < r.end {
			kept = append(kept, r)
			continue
		}
		h.n++
		h.ends, h.news = append(h.ends, runnerapi.RunEnd{Seq: h.n, Task: r.task, Attempt: r.no, Outcome: runnerapi.OutcomeSuccess}), true
		l.ended++
	}
	h.runs = kept
	if h.open != 0 && !h.news {
		return
	}
	h.news = false
	h.seq++
	l.ask++
	l.polled++
	h.open = l.ask
	l.post(post{from: h.name, msg: wire.Message{Request: &wire.Request{ID: l.ask, Method: "POST", Path: "/v1/runners/" + h.name + "/poll", Body: l.body(h), Budget: 2000}}})
}

// body is what package agent would send.
func (l *load) body(h *hollow) []byte {
	text := make([]byte, 0, 400+128*len(h.runs)+128*len(h.ends))
	text = append(text, `{"incarnation":"`+h.name+`-0","seq":`...)
	text = strconv.AppendUint(text, h.seq, 10)
	text = append(text, `,"cores":0,"memMb":6000,"domain":"a","rack":"r1","mode":"active","departsMs":60000,"agent":true,"milliCores":12000,"pool":"x","addr":"`+h.name+`","silentMs":40`...)
	for i, r := range h.runs {
		text = append(text, [2]string{`,"active":[`, `,`}[min(i, 1)]...)
		text = appendRun(text, "", r.task, r.no)
		gap := clock.Monotonic(max(1, r.span/100))
		text = append(text, `,"percent":`...)
		text = strconv.AppendInt(text, int64(min(99, (l.now-r.at)/gap)), 10)
		text = append(text, `,"stillMs":`...)
		text = strconv.AppendInt(text, int64((l.now-r.at)%gap), 10)
		text = append(text, `,"speed":`...)
		text = append(strconv.AppendInt(text, int64(1_000_000/r.span), 10), '}')
	}
	if len(h.runs) > 0 {
		text = append(text, ']')
	}
	for i, e := range h.ends {
		text = append(text, [2]string{`,"finished":[`, `,`}[min(i, 1)]...)
		text = appendRun(text, `"n":`+strconv.FormatUint(e.Seq, 10)+`,`, e.Task, e.Attempt)
		text = append(text, `,"how":"well"}`...)
	}
	if len(h.ends) > 0 {
		text = append(text, ']')
	}
	return append(text, '}')
}

func appendRun(text []byte, before string, task identifier.TaskRef, no uint64) []byte {
	text = append(append(text, '{'), before...)
	text = append(append(text, `"task":{"job":"`...), task.Job...)
	text = strconv.AppendInt(append(text, `","step":`...), int64(task.Step), 10)
	text = strconv.AppendInt(append(text, `,"num":`...), int64(task.Num), 10)
	return strconv.AppendUint(append(text, `},"run":`...), no, 10)
}

// BenchmarkLeader measures the processor time that a leader takes in a second
// of virtual time, in microseconds, the collector's included.
func BenchmarkLeader(b *testing.B) {
	for _, one := range []struct {
		name           string
		agents, starts int
		running        int
		low, high      int
	}{
		{"74-agents-300-starts", 74, 300, 0, 600, 6000},
		{"600-agents-70-starts", 600, 70, 8200, 110000, 124000},
	} {
		b.Run(one.name, func(b *testing.B) {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			var l *load
			l = newLoad(b, one.agents, func(bool) int { return one.low + l.rnd.Intn(one.high-one.low) })
			l.first = one.running > 0
			for n := 0; n < one.running; n += 3 {
				l.submit(3)
				l.run(1, 0)
			}
			l.run(5000, 0)
			l.first = false
			l.run(6000, one.starts)
			l.cpu, l.begun, l.ended, l.polled, l.bad = 0, 0, 0, 0, 0
			runtime.GC()
			whole, own := clusterClock(unix.CLOCK_PROCESS_CPUTIME_ID), clusterClock(unix.CLOCK_THREAD_CPUTIME_ID)
			b.ResetTimer()
			secs := 0
			for b.Loop() {
				l.run(1000, one.starts)
				secs++
			}
			whole, own = clusterClock(unix.CLOCK_PROCESS_CPUTIME_ID)-whole, clusterClock(unix.CLOCK_THREAD_CPUTIME_ID)-own
			runs := 0
			for _, h := range l.hollow {
				runs += len(h.runs)
			}
			if l.bad > 0 || l.begun < secs*one.starts*8/10 {
				b.Errorf("%d requests refused, %d starts in %d s", l.bad, l.begun, secs)
			}
			b.ReportMetric(float64(l.cpu+whole-own)/1000/float64(secs), "cpu-us/vs")
			b.ReportMetric(float64(l.cpu)/1000/float64(secs), "own-us/vs")
			b.ReportMetric(float64(l.begun)/float64(secs), "starts/vs")
			b.ReportMetric(float64(l.polled)/float64(secs), "polls/vs")
			b.ReportMetric(float64(runs), "running")
		})
	}
}

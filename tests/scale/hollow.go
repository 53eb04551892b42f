// A hollow agent is the agent's own machine on the agent's own line to the
// core, beside a stand-in runner; many of them share one process.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"orchidward/internal/agent"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/transport/link"
	"orchidward/internal/transport/wire"
)

const (
	pool               = "scale"
	holdMost           = 6000
	beatGap            = 100
	groupSize          = 75
	sampleEach         = 20
	zones              = 7
	perRack            = 12
	accelerators       = 5
	slowest      int64 = 120_000
)

type hollow struct {
	mach *agent.Agent
	link *link.Link
	run  *standIn
	// size counts this agent's bytes; nil where they are not counted.
	size *sizes
}

// sizes weighs frames by encoding them.
type sizes struct {
	sent, got atomic.Int64
}

type tally struct{ n *atomic.Int64 }

func (t tally) Write(b []byte) (int, error) {
	t.n.Add(int64(len(b)))
	return len(b), nil
}

func weigh(n *atomic.Int64, msg wire.Message) {
	var w io.Writer = tally{n}
	if err := wire.NewEncoder(w).Encode(msg); err != nil {
		panic(err)
	}
}

// crowd is all the hollow agents of a run.
type crowd struct {
	crew  *lifecycle.Group
	clock *clock.System
	seeds []string

	mu    sync.Mutex
	waits *hdrhistogram.Histogram
	list  []*hollow

	starts, ends, lapsed, sent, got, running atomic.Int64
}

func newCrowd(c *lifecycle.Group, clock *clock.System, seeds []string) *crowd {
	return &crowd{crew: c, clock: clock, seeds: seeds, waits: hdrhistogram.New(1, slowest, 3)}
}

// begun notes how long a task of a job waited for its start.
func (w *crowd) begun(handed, at clock.Monotonic) {
	w.starts.Add(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.waits.RecordValue(min(slowest, max(1, int64(at.Since(handed)))))
}

// take hands over the waits since it was last called.
func (w *crowd) waited() *hdrhistogram.Histogram {
	var h *hdrhistogram.Histogram
	w.mu.Lock()
	defer w.mu.Unlock()
	h, w.waits = w.waits, hdrhistogram.New(1, slowest, 3)
	return h
}

// newRunner is the i-th runner of the fleet: one half of them has accelerators.
func (w *crowd) newRunner(i int) *standIn {
	s := &standIn{inc: identifier.Incarnation(fmt.Sprintf("run%d-%d", i, time.Now().UnixMilli())), domain: identifier.Domain(fmt.Sprintf("z%d", i%zones)), rack: identifier.Rack(fmt.Sprintf("rack-%d", i/perRack)), begun: w.begun}
	rnd := rand.New(rand.NewPCG(uint64(i), 3))
	s.vary = func(span clock.Millis) clock.Millis {
		return span*9/10 + clock.Millis(rnd.Int64N(int64(span)/5+1))
	}
	s.room = job.Demand{MilliCores: 24000, Mem: 64000}
	if i%2 == 1 {
		s.room.GPUs = accelerators
	}
	return s
}

// grow adds agents until there are so many.
func (w *crowd) grow(to int) error {
	for len(w.list) < to {
		g := &group{crowd: w, in: lifecycle.NewQueue[frame](8192)}
		for len(g.list) < groupSize && len(w.list) < to {
			h, err := w.hollow(len(w.list), g)
			if err != nil {
				return err
			}
			g.list, w.list = append(g.list, h), append(w.list, h)
		}
		w.crew.Go(g.live)
	}
	return nil
}

func (w *crowd) hollow(i int, g *group) (*hollow, error) {
	var err error
	h := &hollow{run: w.newRunner(i)}
	if h.link, err = link.Listen("127.0.0.1:0", w.crew); err != nil {
		return nil, err
	}
	if i%sampleEach == 0 {
		h.size = &sizes{}
	}
	h.run.next = w.clock.Now() + clock.Monotonic(i%beatGap)
	h.mach = agent.New(agent.Config{Name: identifier.Runner(fmt.Sprintf("hollow-%d", i)), Addr: h.link.Addr(), Domain: h.run.domain, Seeds: w.seeds,
		Seed: time.Now().UnixMicro() + int64(i), MaxLease: holdMost, HeartbeatInterval: beatGap}, w.clock.Now())
	h.link.Serve(func(from wire.Peer, msg wire.Message) { g.in.TryPush(frame{h, from, msg}) })
	return h, nil
}

// sampled are the bytes of the agents whose frames are weighed, and their number.
func (w *crowd) sampled() (sent, got int64, n int) {
	for _, h := range w.list {
		if h.size != nil {
			sent, got, n = sent+h.size.sent.Load(), got+h.size.got.Load(), n+1
		}
	}
	return sent, got, n
}

// frame is one for an agent.
type frame struct {
	to   *hollow
	from wire.Peer
	msg  wire.Message
}

// group is some agents that one duty looks after.
type group struct {
	crowd *crowd
	in    *lifecycle.Queue[frame]
	list  []*hollow
}

func (g *group) live(stop <-chan struct{}) {
	t := time.NewTicker(agent.TickInterval.Duration())
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case x := <-g.in.Out():
			g.crowd.got.Add(1)
			if x.to.size != nil {
				weigh(&x.to.size.got, x.msg)
			}
			x.to.mach.HandleMessage(x.from, x.msg, g.crowd.clock.Now())
			g.out(x.to)
		case <-t.C:
			g.step()
		}
	}
}

func (g *group) step() {
	for _, h := range g.list {
		now := g.crowd.clock.Now()
		h.mach.Tick(now)
		was, ends := len(h.run.runs), h.run.n
		if h.run.due(now) {
			o := h.mach.HandleHeartbeat(h.run.beat(now), now)
			h.run.obey(o, now, now)
		}
		g.crowd.running.Add(int64(len(h.run.runs) - was))
		g.crowd.ends.Add(int64(h.run.n - ends))
		g.crowd.lapsed.Add(h.run.lapses)
		h.run.lapses = 0
		g.out(h)
	}
}

func (g *group) out(h *hollow) {
	for _, s := range h.mach.TakeOutput().Messages {
		g.crowd.sent.Add(1)
		if h.size != nil {
			weigh(&h.size.sent, s.Message)
		}
		h.link.Send(s.To, s.Message)
	}
}

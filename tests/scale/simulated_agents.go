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
	pool                    = "scale"
	maxLease                = 6000
	heartbeatInterval       = 100
	groupSize               = 75
	sampleEvery             = 20
	domainCount             = 7
	runnersPerRack          = 12
	gpusPerRunner           = 5
	maxWait           int64 = 120_000
)

type simulatedAgent struct {
	machine *agent.Agent
	link    *link.Link
	runner  *standInRunner
	// size counts this agent's bytes; nil where they are not counted.
	traffic *traffic
}

// traffic weighs frames by encoding them.
type traffic struct {
	sent, received atomic.Int64
}

type byteCounter struct{ total *atomic.Int64 }

func (t byteCounter) Write(b []byte) (int, error) {
	t.total.Add(int64(len(b)))
	return len(b), nil
}

func countBytes(n *atomic.Int64, msg wire.Message) {
	var w io.Writer = byteCounter{n}
	if err := wire.NewEncoder(w).Encode(msg); err != nil {
		panic(err)
	}
}

// crowd is all the hollow agents of a run.
type simulatedAgents struct {
	goroutines *lifecycle.Group
	clock      *clock.System
	seeds      []string

	mu     sync.Mutex
	waits  *hdrhistogram.Histogram
	agents []*simulatedAgent

	starts, ends, lapsed, sent, received, running atomic.Int64
}

func newSimulatedAgents(c *lifecycle.Group, clock *clock.System, seeds []string) *simulatedAgents {
	return &simulatedAgents{goroutines: c, clock: clock, seeds: seeds, waits: hdrhistogram.New(1, maxWait, 3)}
}

// begun notes how long a task of a job waited for its start.
func (w *simulatedAgents) taskStarted(handed, at clock.Monotonic) {
	w.starts.Add(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.waits.RecordValue(min(maxWait, max(1, int64(at.Since(handed)))))
}

// take hands over the waits since it was last called.
func (w *simulatedAgents) takeWaits() *hdrhistogram.Histogram {
	var h *hdrhistogram.Histogram
	w.mu.Lock()
	defer w.mu.Unlock()
	h, w.waits = w.waits, hdrhistogram.New(1, maxWait, 3)
	return h
}

// newRunner is the i-th runner of the fleet: one half of them has accelerators.
func (w *simulatedAgents) newRunner(i int) *standInRunner {
	s := &standInRunner{incarnation: identifier.Incarnation(fmt.Sprintf("run%d-%d", i, time.Now().UnixMilli())), domain: identifier.Domain(fmt.Sprintf("z%d", i%domainCount)), rack: identifier.Rack(fmt.Sprintf("rack-%d", i/runnersPerRack)), onStart: w.taskStarted}
	rnd := rand.New(rand.NewPCG(uint64(i), 3))
	s.vary = func(span clock.Millis) clock.Millis {
		return span*9/10 + clock.Millis(rnd.Int64N(int64(span)/5+1))
	}
	s.capacity = job.Demand{MilliCores: 24000, Mem: 64000}
	if i%2 == 1 {
		s.capacity.GPUs = gpusPerRunner
	}
	return s
}

// grow adds agents until there are so many.
func (w *simulatedAgents) grow(to int) error {
	for len(w.agents) < to {
		g := &group{agents: w, frames: lifecycle.NewQueue[frame](8192)}
		for len(g.members) < groupSize && len(w.agents) < to {
			h, err := w.newAgent(len(w.agents), g)
			if err != nil {
				return err
			}
			g.members, w.agents = append(g.members, h), append(w.agents, h)
		}
		w.goroutines.Go(g.run)
	}
	return nil
}

func (w *simulatedAgents) newAgent(i int, g *group) (*simulatedAgent, error) {
	var err error
	h := &simulatedAgent{runner: w.newRunner(i)}
	if h.link, err = link.Listen("127.0.0.1:0", w.goroutines); err != nil {
		return nil, err
	}
	if i%sampleEvery == 0 {
		h.traffic = &traffic{}
	}
	h.runner.nextHeartbeat = w.clock.Now() + clock.Monotonic(i%heartbeatInterval)
	h.machine = agent.New(agent.Config{Name: identifier.Runner(fmt.Sprintf("hollow-%d", i)), Addr: h.link.Addr(), Domain: h.runner.domain, Seeds: w.seeds,
		Seed: time.Now().UnixMicro() + int64(i), MaxLease: maxLease, HeartbeatInterval: heartbeatInterval}, w.clock.Now())
	h.link.Serve(func(from wire.Peer, msg wire.Message) { g.frames.TryPush(frame{h, from, msg}) })
	return h, nil
}

// sampled are the bytes of the agents whose frames are weighed, and their number.
func (w *simulatedAgents) sampled() (sent, got int64, n int) {
	for _, h := range w.agents {
		if h.traffic != nil {
			sent, got, n = sent+h.traffic.sent.Load(), got+h.traffic.received.Load(), n+1
		}
	}
	return sent, got, n
}

// frame is one for an agent.
type frame struct {
	to      *simulatedAgent
	from    wire.Peer
	message wire.Message
}

// group is some agents that one duty looks after.
type group struct {
	agents  *simulatedAgents
	frames  *lifecycle.Queue[frame]
	members []*simulatedAgent
}

func (g *group) run(stop <-chan struct{}) {
	t := time.NewTicker(agent.TickInterval.Duration())
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case x := <-g.frames.Out():
			g.agents.received.Add(1)
			if x.to.traffic != nil {
				countBytes(&x.to.traffic.received, x.message)
			}
			x.to.machine.HandleMessage(x.from, x.message, g.agents.clock.Now())
			g.flush(x.to)
		case <-t.C:
			g.step()
		}
	}
}

func (g *group) step() {
	for _, h := range g.members {
		now := g.agents.clock.Now()
		h.machine.Tick(now)
		was, ends := len(h.runner.runs), h.runner.lastEnd
		if h.runner.advance(now) {
			o := h.machine.HandleHeartbeat(h.runner.heartbeat(now), now)
			h.runner.applyOrders(o, now, now)
		}
		g.agents.running.Add(int64(len(h.runner.runs) - was))
		g.agents.ends.Add(int64(h.runner.lastEnd - ends))
		g.agents.lapsed.Add(h.runner.lapses)
		h.runner.lapses = 0
		g.flush(h)
	}
}

func (g *group) flush(h *simulatedAgent) {
	for _, s := range h.machine.TakeOutput().Messages {
		g.agents.sent.Add(1)
		if h.traffic != nil {
			countBytes(&h.traffic.sent, s.Message)
		}
		h.link.Send(s.To, s.Message)
	}
}

package main

import (
	"fmt"
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
	pool = "scale"
	// maxLease and heartbeatInterval are in ms.
	maxLease          = 6000
	heartbeatInterval = 100
	// groupSize is how many agents share a goroutine.
	groupSize = 75
	// maxFrames is how many frames can be queued for a group.
	maxFrames = 8192
	// sampleEvery selects the agents whose bytes are counted: one in sampleEvery.
	sampleEvery    = 20
	domainCount    = 7
	runnersPerRack = 12
	gpusPerRunner  = 5
	runnerMilli    = 24000
	runnerMemMB    = 64000
	// maxWait is the longest wait for a start that the histogram records, in ms; longer waits
	// are recorded as maxWait.
	maxWait int64 = 120_000
	// waitDigits is the precision of the histogram in decimal digits.
	waitDigits = 3
)

// simulatedAgent is the real state machine of an agent, with its own link to the servers and
// a stand-in runner. Many simulated agents share this process.
type simulatedAgent struct {
	machine *agent.Agent
	link    *link.Link
	runner  *standInRunner
	// traffic counts this agent's bytes; it is nil if they are not counted.
	traffic *traffic
}

// simulatedAgents holds all simulated agents of a run.
type simulatedAgents struct {
	goroutines *lifecycle.Group
	clock      *clock.System
	seeds      []string
	agents     []*simulatedAgent

	mu sync.Mutex
	// waits holds the times from the submission of jobs to the starts of their tasks.
	waits *hdrhistogram.Histogram

	starts, lapsed, sent, running atomic.Int64
}

func newWaits() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxWait, waitDigits) }

func newSimulatedAgents(goroutines *lifecycle.Group, system *clock.System, seeds []string) *simulatedAgents {
	return &simulatedAgents{goroutines: goroutines, clock: system, seeds: seeds, waits: newWaits()}
}

// taskStarted records how long a task waited for its start.
func (a *simulatedAgents) taskStarted(submitted, started clock.Monotonic) {
	a.starts.Add(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = a.waits.RecordValue(min(maxWait, max(1, int64(started.Since(submitted)))))
}

// takeWaits returns the waits since the previous call, and resets them.
func (a *simulatedAgents) takeWaits() *hdrhistogram.Histogram {
	a.mu.Lock()
	defer a.mu.Unlock()
	waits := a.waits
	a.waits = newWaits()
	return waits
}

// agentCounts holds the totals of all agents so far.
type agentCounts struct {
	starts, lapsed, sent float64
	// bytesOut and bytesIn are totals over the sampled agents only.
	bytesOut, bytesIn float64
	sampled           float64
}

func (a *simulatedAgents) counts() agentCounts {
	counts := agentCounts{
		starts: float64(a.starts.Load()),
		lapsed: float64(a.lapsed.Load()),
		sent:   float64(a.sent.Load()),
	}
	for _, one := range a.agents {
		if one.traffic == nil {
			continue
		}
		counts.bytesOut += float64(one.traffic.sent.Load())
		counts.bytesIn += float64(one.traffic.received.Load())
		counts.sampled++
	}
	return counts
}

// grow adds agents until there are count of them.
func (a *simulatedAgents) grow(count int) error {
	for len(a.agents) < count {
		g := &group{agents: a, frames: lifecycle.NewQueue[frame](maxFrames)}
		for len(g.members) < groupSize && len(a.agents) < count {
			added, err := a.newAgent(len(a.agents), g)
			if err != nil {
				return err
			}
			g.members = append(g.members, added)
			a.agents = append(a.agents, added)
		}
		a.goroutines.Go(g.run)
	}
	return nil
}

func (a *simulatedAgents) newAgent(i int, g *group) (*simulatedAgent, error) {
	listener, err := link.Listen("127.0.0.1:0", a.goroutines)
	if err != nil {
		return nil, err
	}
	added := &simulatedAgent{link: listener, runner: a.newRunner(i)}
	if i%sampleEvery == 0 {
		added.traffic = &traffic{}
	}
	now := a.clock.Now()
	added.runner.nextHeartbeat = now + clock.Monotonic(i%heartbeatInterval)
	added.machine = agent.New(agent.Config{
		Name:              identifier.Runner(fmt.Sprintf("hollow-%d", i)),
		Addr:              listener.Addr(),
		Domain:            added.runner.domain,
		Seeds:             a.seeds,
		Seed:              time.Now().UnixMicro() + int64(i),
		MaxLease:          maxLease,
		HeartbeatInterval: heartbeatInterval,
	}, now)
	listener.Serve(func(from wire.Peer, message wire.Message) { g.frames.TryPush(frame{added, from, message}) })
	return added, nil
}

// newRunner returns the i-th runner. Every second runner has GPUs. Runs take up to a tenth
// longer or shorter than their span.
func (a *simulatedAgents) newRunner(i int) *standInRunner {
	random := rand.New(rand.NewPCG(uint64(i), 3))
	r := &standInRunner{
		incarnation: identifier.Incarnation(fmt.Sprintf("run%d-%d", i, time.Now().UnixMilli())),
		domain:      identifier.Domain(fmt.Sprintf("z%d", i%domainCount)),
		rack:        identifier.Rack(fmt.Sprintf("rack-%d", i/runnersPerRack)),
		capacity:    job.Demand{MilliCores: runnerMilli, Mem: runnerMemMB},
		onStart:     a.taskStarted,
		vary: func(span clock.Millis) clock.Millis {
			return span*9/10 + clock.Millis(random.Int64N(int64(span)/5+1))
		},
	}
	if i%2 == 1 {
		r.capacity.GPUs = gpusPerRunner
	}
	return r
}

// frame is a message for an agent.
type frame struct {
	to      *simulatedAgent
	from    wire.Peer
	message wire.Message
}

// group is a set of agents that share a goroutine.
type group struct {
	agents  *simulatedAgents
	frames  *lifecycle.Queue[frame]
	members []*simulatedAgent
}

func (g *group) run(stop <-chan struct{}) {
	ticker := time.NewTicker(agent.TickInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case received := <-g.frames.Out():
			g.handle(received)
		case <-ticker.C:
			for _, member := range g.members {
				g.tick(member)
			}
		}
	}
}

func (g *group) handle(received frame) {
	to := received.to
	if to.traffic != nil {
		countBytes(&to.traffic.received, received.message)
	}
	to.machine.HandleMessage(received.from, received.message, g.agents.clock.Now())
	g.flush(to)
}

func (g *group) tick(member *simulatedAgent) {
	now := g.agents.clock.Now()
	member.machine.Tick(now)
	runsBefore := len(member.runner.runs)
	if member.runner.advance(now) {
		orders := member.machine.HandleHeartbeat(member.runner.heartbeat(now), now)
		member.runner.applyOrders(orders, now, now)
	}
	g.agents.running.Add(int64(len(member.runner.runs) - runsBefore))
	g.agents.lapsed.Add(member.runner.lapses)
	member.runner.lapses = 0
	g.flush(member)
}

// flush sends the pending messages of an agent's state machine.
func (g *group) flush(member *simulatedAgent) {
	for _, envelope := range member.machine.TakeOutput().Messages {
		g.agents.sent.Add(1)
		if member.traffic != nil {
			countBytes(&member.traffic.sent, envelope.Message)
		}
		member.link.Send(envelope.To, envelope.Message)
	}
}

package simulation

import (
	"slices"
	"strings"

	"orchidward/internal/clock"
	"orchidward/internal/stalldetector"
)

// WallClockStart is the true wall-clock time at the start, in ms since 1970.
const WallClockStart = 1_800_000_000_000

// maxInbox is how many messages a suspended process can have queued; more are dropped.
const maxInbox = 10000

// driftSteps and driftUnit bound the clock drift: up to 0.2 %, in equal steps.
const (
	driftSteps = 20
	driftUnit  = 10000
)

// Process is one simulated process: a server, gateway, runner, agent or the clients.
type Process struct {
	Name   string
	Addr   string
	Domain string
	Up     bool
	// Frozen is set while the process is suspended: it does nothing, and messages to it
	// are queued.
	Frozen bool
	// ClockSkew is how far the wall clock is ahead, in ms.
	ClockSkew int64
	// Slowness is how many times as long as usual the process takes for each message
	// and request that it reads; up to 1 it takes no time at all. Client requests wait
	// in a queue in order of arrival. Messages from other processes have a queue of
	// their own: they are read at once, but use up the same processing time.
	Slowness int64

	// Incarnation counts the starts and ends of the process.
	Incarnation int
	startedAt   int64
	clockDrift  float64
	inbox       []delivery
	suspendedAt int64
	// suspendedFor is how long the process has been frozen in total since its start.
	suspendedFor int64
	// busyUntil is when a slow process will have read everything received so far, in
	// microseconds; arrivedAt is when the message that it is reading arrived, in ms.
	busyUntil int64
	arrivedAt int64
}

// messageCost is the processing time of a message at the usual speed, in microseconds.
const messageCost = 500

// undetectedWait is how long, in ms, a request may have waited in a slow process without the
// process detecting it: at most the longest stall that the stall detector misses.
const undetectedWait = int64(stalldetector.Limit)

// delivery is a message that a frozen process handles when it is resumed, and the
// connection it arrived on. Messages of one connection are read in order, different
// connections in any order.
type delivery struct {
	connection string
	do         func()
}

func (c *Cluster) addProcess(name, domain string) *Process {
	drift := float64(c.Random.Int63n(2*driftSteps+1)-driftSteps) / driftUnit
	p := &Process{Name: name, Addr: name, Domain: domain, clockDrift: drift}
	c.processes[p.Addr] = p
	return p
}

// Process returns the process at an address, or nil if there is none.
func (c *Cluster) Process(addr string) *Process { return c.processes[addr] }

// tickWhileUp calls tick at once and at every interval until this incarnation of the
// process ends, but not while the process is frozen.
func (c *Cluster) tickWhileUp(p *Process, interval clock.Millis, tick func()) {
	incarnation := p.Incarnation
	var next func()
	next = func() {
		if p.Incarnation != incarnation || !p.Up {
			return
		}
		if !p.Frozen {
			tick()
		}
		c.After(int64(interval), next)
	}
	next()
}

// processesIn lists the processes of a domain, sorted by name.
func (c *Cluster) processesIn(domain string) []*Process {
	var list []*Process
	for _, p := range c.processes {
		if p.Domain == domain {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b *Process) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func (p *Process) begin(now int64) {
	p.Incarnation++
	p.Up = true
	p.startedAt = now
}

// post runs a function in a process after a delay, unless the process has ended by
// then. A frozen process runs it when it is resumed.
func (c *Cluster) post(p *Process, ms int64, do func()) {
	c.postFrom(p, ms, p.Name, do)
}

// postFrom is like post, for a message that arrives on a connection.
func (c *Cluster) postFrom(p *Process, ms int64, connection string, do func()) {
	incarnation := p.Incarnation
	c.After(ms, func() {
		switch {
		case !p.Up || p.Incarnation != incarnation:
		case p.Frozen:
			if len(p.inbox) < maxInbox {
				p.inbox = append(p.inbox, delivery{connection, do})
			}
		default:
			c.read(p, connection, do)
		}
	})
}

// read handles a message that has arrived at a process: at once, or once a slow process
// has worked off its backlog.
func (c *Cluster) read(p *Process, connection string, do func()) {
	arrivedAt := c.Now
	waits := connection == clientsName && (p.Slowness > 1 || c.Backlog(p) > 0)
	if p.Slowness > 1 {
		p.busyUntil = max(p.busyUntil, c.Now*1000) + messageCost*p.Slowness
	}
	if !waits {
		p.arrivedAt = arrivedAt
		do()
		return
	}
	incarnation := p.Incarnation
	c.At(p.busyUntil/1000, func() {
		switch {
		case !p.Up || p.Incarnation != incarnation:
		case p.Frozen:
			p.inbox = append(p.inbox, delivery{connection, do})
		default:
			p.arrivedAt = arrivedAt
			do()
		}
	})
}

// Backlog is how long a request that arrives at a process now waits until it is read,
// in ms.
func (c *Cluster) Backlog(p *Process) int64 { return max(0, p.busyUntil/1000-c.Now) }

// waited is how long the request that a process is reading has waited in it, as far as
// the process can detect.
func (c *Cluster) waited(p *Process) clock.Millis {
	return clock.Millis(max(0, c.Now-p.arrivedAt-undetectedWait))
}

// Monotonic returns the monotonic clock of a process.
func (c *Cluster) Monotonic(p *Process) clock.Monotonic {
	elapsed := c.Now - p.startedAt
	if c.ClocksStopInSuspend {
		elapsed -= p.suspendedFor
	}
	return clock.Monotonic(float64(elapsed) * (1 + p.clockDrift))
}

// WallTime returns the wall-clock time of a process.
func (c *Cluster) WallTime(p *Process) clock.WallTime {
	return clock.WallTime(WallClockStart + c.Now + p.ClockSkew)
}

// Suspend freezes a process.
func (c *Cluster) Suspend(p *Process) {
	p.Frozen = true
	p.suspendedAt = c.Now
}

// Resume resumes a frozen process, which then handles all queued messages.
func (c *Cluster) Resume(p *Process) {
	if !p.Frozen {
		return
	}
	p.Frozen = false
	p.suspendedFor += c.Now - p.suspendedAt
	waiting := c.interleave(p.inbox)
	p.inbox = nil
	for _, do := range waiting {
		if p.Up {
			p.arrivedAt = c.Now
			do()
		}
	}
}

// Freeze suspends a process until undo is called; undo is nil if the process is not
// running.
func (c *Cluster) Freeze(p *Process) (undo func()) {
	if !p.Up || p.Frozen {
		return nil
	}
	incarnation := p.Incarnation
	c.Suspend(p)
	return func() {
		if p.Incarnation == incarnation {
			c.Resume(p)
		}
	}
}

// Kill ends a process at once.
func (c *Cluster) Kill(p *Process) {
	p.Up = false
	p.Frozen = false
	p.inbox = nil
	p.suspendedFor = 0
	p.busyUntil = 0
	p.Incarnation++
}

// interleave puts the messages queued at a process into a random order that keeps the
// order within each connection.
func (c *Cluster) interleave(waiting []delivery) []func() {
	queues := map[string][]func(){}
	var connections []string
	for _, one := range waiting {
		if queues[one.connection] == nil {
			connections = append(connections, one.connection)
		}
		queues[one.connection] = append(queues[one.connection], one.do)
	}
	var ordered []func()
	for len(connections) > 0 {
		i := c.Random.Intn(len(connections))
		queue := queues[connections[i]]
		ordered = append(ordered, queue[0])
		queues[connections[i]] = queue[1:]
		if len(queue) == 1 {
			connections = slices.Delete(connections, i, i+1)
		}
	}
	return ordered
}

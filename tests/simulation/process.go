package simulation

import (
	"slices"
	"strings"

	"orchidward/internal/clock"
	"orchidward/internal/stalldetector"
)

// WallClockStart is the true time of day at the start, in ms since 1970.
const WallClockStart = 1_800_000_000_000

// maxInbox is how many messages wait for a suspended process.
const maxInbox = 10000

// driftSteps and driftUnit bound how far clocks drift: by up to 0.2 %, in steps.
const (
	driftSteps = 20
	driftUnit  = 10000
)

// Process is one process, whatever it runs.
type Process struct {
	Name   string
	Addr   string
	Domain string
	Up     bool
	// Frozen processes do nothing; what is sent to them waits.
	Frozen bool
	// ClockSkew is how far the wall clock is ahead, in ms.
	ClockSkew int64
	// Slowness is how many times as long as usual the process takes for each message
	// and request that it reads; up to 1 it takes no time at all. Requests of clients
	// wait for it, in the order in which they came; messages of other processes are read
	// at once and take from the same time, as they have a queue of their own.
	Slowness int64

	// Incarnation counts the starts and the ends of the process.
	Incarnation int
	startedAt   int64
	clockDrift  float64
	inbox       []delivery
	suspendedAt int64
	// suspendedFor is for how long the process has been frozen since its start.
	suspendedFor int64
	// busyUntil is when a slow process has read all that has come, in microseconds, and
	// arrivedAt when that came, in ms, which it reads at the moment.
	busyUntil int64
	arrivedAt int64
}

// messageCost is what a message costs a process at its usual speed, in microseconds.
const messageCost = 500

// unseenWait is for how long, in ms, a request may have waited in a slow process before
// the process takes note of it: no longer than a stall that goes unnoticed.
const unseenWait = int64(stalldetector.Limit)

// delivery is what a frozen process does when it wakes, and the connection by which
// it came. What came by one connection is read in order, connections in any.
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

// Process returns the process at an address, nil if there is none.
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

// processesIn lists the processes of a domain by name.
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

// post runs something in a process after a delay, unless it has died since; a
// frozen one does it when it wakes.
func (c *Cluster) post(p *Process, ms int64, do func()) {
	c.postFrom(p, ms, p.Name, do)
}

// postFrom is post for what comes by a connection.
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

// read lets a process read what has come: at once, or when a slow one gets to it.
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

// Backlog is how long what comes to a process now waits until it is read, in ms.
func (c *Cluster) Backlog(p *Process) int64 { return max(0, p.busyUntil/1000-c.Now) }

// waited is for how long the request that a process reads now has waited in it, as far as
// the process can tell.
func (c *Cluster) waited(p *Process) clock.Millis {
	return clock.Millis(max(0, c.Now-p.arrivedAt-unseenWait))
}

// Monotonic reads the monotonic clock of a process.
func (c *Cluster) Monotonic(p *Process) clock.Monotonic {
	elapsed := c.Now - p.startedAt
	if c.ClocksStopInSuspend {
		elapsed -= p.suspendedFor
	}
	return clock.Monotonic(float64(elapsed) * (1 + p.clockDrift))
}

// WallTime reads the wall clock of a process.
func (c *Cluster) WallTime(p *Process) clock.WallTime {
	return clock.WallTime(WallClockStart + c.Now + p.ClockSkew)
}

// Suspend freezes a process.
func (c *Cluster) Suspend(p *Process) {
	p.Frozen = true
	p.suspendedAt = c.Now
}

// Resume wakes a frozen process, which then does all that waited for it.
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

// Freeze suspends a process until undone; nil if it is not running.
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

// interleave puts what waited at a process into an order in which it may read its
// connections: each of them in order, among one another in any.
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

// Package simulation runs a whole site in virtual time: the very machines the daemons
// run, over a network that delays, loses and cuts, on disks that lose what was
// not synced, by clocks that drift and jump. One seed gives one run, always
// the same. An observer that watches only runners and callers judges it.
package simulation

import (
	"bytes"
	"container/heap"
	"fmt"
	"math/rand"

	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/invariants"
	"orchidward/internal/transport/wire"
)

// event is something due at a time; seq keeps ties in order.
type event struct {
	at  int64
	seq uint64
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	var x any
	old := *q
	x = old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// delivery is something a frozen process does when it wakes, and the connection it
// came by; what came by one connection is read in order, connections in any.
type delivery struct {
	connection string
	do         func()
}

// epoch is the true time of day at the start, in milliseconds.
const WallClockStart = 1_800_000_000_000

// Process is one process, whatever it runs.
type Process struct {
	Name   string
	Addr   string
	Domain   string
	incarnation   int
	Up     bool
	Frozen bool
	startedAt  int64
	clockDrift  float64
	ClockSkew   int64
	inbox  []delivery
	// suspendedAt is when it was last frozen, slept for how long in all.
	suspendedAt, suspendedFor int64
}

// Site sizes a world and sets its usual weather.
type ClusterSpec struct {
	Servers, Gateways, Runners int
	Cores, Mem              int64
	// DelayMs is the usual one-way delay in ms, Loss the share lost per mille.
	DelayMs, LossPerMille int64
	// LoadPercent is the callers' load in percent of the usual.
	LoadPercent int64
	// DefectPercent is the usual share of defective runs in percent.
	DefectPercent int64
	// ServerDomains is how many zones the keepers stand in, 0 for the usual three.
	ServerDomains int
	// DisklessServers is how many keepers there are besides, without a disk.
	DisklessServers int
	// ElectionTimeout is the least wait before an election in ms, 0 for the usual.
	ElectionTimeout clock.Millis
}

// ServerDomainNames are the zones that keepers stand in: gates and runners have three.
func (s ClusterSpec) ServerDomainNames() []string {
	var list []string
	if s.ServerDomains == 4 {
		return append(append(list, Domains...), "south")
	}
	return Domains
}

func (s ClusterSpec) timing() raft.Timing {
	if s.ElectionTimeout == 0 {
		return raft.DefaultTiming()
	}
	return raft.NewTiming(s.ElectionTimeout)
}

// FastNetwork is a site of small machines on a fast network without loss.
func FastNetwork() ClusterSpec {
	return ClusterSpec{Servers: 3, Gateways: 3, Runners: 11, Cores: 16, Mem: 65536, DelayMs: 3, LoadPercent: 100, DefectPercent: 3}
}

// LossyNetwork is a site of larger machines on a slower network that loses some
// messages.
func LossyNetwork() ClusterSpec {
	s := FastNetwork()
	s.Cores, s.Mem, s.DelayMs, s.LossPerMille = 64, 131072, 25, 5
	return s
}

// Cluster is a simulated cluster: its processes, network, disks and clients,
// driven by one queue of events in virtual time. Now is in milliseconds since
// the start. It is not safe for concurrent use.
type Cluster struct {
	Spec  ClusterSpec
	Now   int64
	Random   *rand.Rand
	events queue
	seq   uint64
	processes map[string]*Process
	blockedLinks  map[[2]string]bool
	// stalledLinks holds back what is sent from one process to another, as TCP does
	// while packets are lost; it arrives once the link is mended.
	stalledLinks map[[2]string][]func()
	lastArrival    map[[2]string]int64
	faultsOverAt    int64
	drainOrders   map[string]int

	Servers []*Server
	Gateways   []*Gateway
	Runners []*Runner
	Seeds   []string
	Clients *Clients
	Checker   *invariants.Checker
	Log     []string
	Trace   bool
	// Failpoint is sprung before a keeper hands out what a step led to.
	Failpoint   func(k *Server) (sprung bool)
	Frames int
	Bytes  int64
	// PollBytes counts the bytes of runners\' polls and their answers.
	PollBytes int64
	Polls  int64
	// Injected counts the faults that were really in force, by kind.
	Injected map[string]int
	// ClocksStopInSuspend gives every process a clock that stands still while it sleeps, as
	// the wrong clock of a suspended machine does.
	ClocksStopInSuspend    bool
	diskLost  bool
	runnersLost int
}

func (cluster *Cluster) logf(text string, args ...any) {
	if cluster.Trace {
		cluster.Log = append(cluster.Log, fmt.Sprintf("%7d ", cluster.Now)+fmt.Sprintf(text, args...))
	}
}

func (cluster *Cluster) At(at int64, do func()) {
	cluster.seq++
	heap.Push(&cluster.events, event{at, cluster.seq, do})
}

func (cluster *Cluster) After(ms int64, do func()) { cluster.At(cluster.Now+ms, do) }

// Run lets virtual time pass until the given moment.
func (cluster *Cluster) Run(until int64) {
	for len(cluster.events) > 0 && cluster.events[0].at <= until {
		e := heap.Pop(&cluster.events).(event)
		cluster.Now = e.at
		e.do()
	}
	cluster.Now = until
}

// post runs something in a process, unless it has died since; a frozen one
// does it when it wakes.
func (cluster *Cluster) post(n *Process, ms int64, do func()) { cluster.postFrom(n, ms, n.Name, do) }

// postFrom is post for what comes by a connection.
func (cluster *Cluster) postFrom(n *Process, ms int64, connection string, do func()) {
	life := n.incarnation
	cluster.After(ms, func() {
		switch {
		case !n.Up || n.incarnation != life:
		case n.Frozen:
			if len(n.inbox) < 10000 {
				n.inbox = append(n.inbox, delivery{connection, do})
			}
		default:
			do()
		}
	})
}

func (cluster *Cluster) Monotonic(n *Process) clock.Monotonic {
	gone := cluster.Now - n.startedAt
	if cluster.ClocksStopInSuspend {
		gone -= n.suspendedFor
	}
	return clock.Monotonic(float64(gone) * (1 + n.clockDrift))
}

func (cluster *Cluster) WallTime(n *Process) clock.WallTime { return clock.WallTime(WallClockStart + cluster.Now + n.ClockSkew) }

// blocked tells whether what a sends reaches b.
func (cluster *Cluster) blocked(a, b *Process) bool {
	return cluster.blockedLinks[[2]string{a.Name, b.Name}]
}

// transmit delivers from one process to another: after a delay, in order, or not.
func (cluster *Cluster) transmit(from, to *Process, do func()) {
	if cluster.blocked(from, to) || cluster.Random.Int63n(1000) < cluster.Spec.LossPerMille {
		return
	}
	key := [2]string{from.Name, to.Name}
	if queue, ok := cluster.stalledLinks[key]; ok {
		cluster.stalledLinks[key] = append(queue, func() { cluster.transmit(from, to, do) })
		return
	}
	at := cluster.Now + cluster.Spec.DelayMs/2 + cluster.Random.Int63n(cluster.Spec.DelayMs+1)
	if from == to {
		at = cluster.Now
	}
	at = max(at, cluster.lastArrival[key])
	cluster.lastArrival[key] = at
	life := to.incarnation
	cluster.postFrom(to, at-cluster.Now, from.Name, func() {
		if to.incarnation == life && !cluster.blocked(from, to) {
			do()
		}
	})
}

// sendFrame sends a frame; now and then it goes through the real codec.
func (cluster *Cluster) sendFrame(from *Process, s wire.Envelope, take func(to *Process, from wire.Peer, msg wire.Message)) {
	to := cluster.processes[string(s.To)]
	if to == nil {
		return
	}
	msg := s.Message
	cluster.Frames++
	if cluster.Frames%64 == 0 {
		var buf bytes.Buffer
		if err := wire.NewEncoder(&buf).Encode(msg); err != nil {
			panic(err)
		}
		cluster.Bytes += int64(buf.Len()) * 64
		back, err := wire.NewDecoder(&buf).Decode()
		if err != nil {
			panic(err)
		}
		msg = back
	}
	cluster.transmit(from, to, func() { take(to, wire.Peer(from.Addr), msg) })
}

func (cluster *Cluster) sendFrames(n *Process, list []wire.Envelope) {
	for _, s := range list {
		cluster.sendFrame(n, s, cluster.deliver)
	}
}

func (cluster *Cluster) deliver(to *Process, from wire.Peer, msg wire.Message) {
	for _, server := range cluster.Servers {
		if server.Process == to && server.Machine != nil {
			server.Machine.HandleMessage(from, msg, cluster.Monotonic(to), cluster.WallTime(to))
			server.Flush()
			return
		}
	}
	for _, g := range cluster.Gateways {
		if g.Process == to {
			g.Machine.HandleMessage(from, msg, cluster.Monotonic(to))
			g.flush()
			return
		}
	}
}

func (cluster *Cluster) addProcess(name, zone string) *Process {
	n := &Process{Name: name, Addr: name, Domain: zone, clockDrift: float64(cluster.Random.Int63n(41)-20) / 10000}
	cluster.processes[n.Addr] = n
	return n
}

func (cluster *Cluster) Suspend(n *Process) { n.Frozen, n.suspendedAt = true, cluster.Now }

func (cluster *Cluster) Resume(n *Process) {
	if !n.Frozen {
		return
	}
	n.Frozen = false
	n.suspendedFor += cluster.Now - n.suspendedAt
	list := cluster.interleave(n.inbox)
	n.inbox = nil
	for _, do := range list {
		if n.Up {
			do()
		}
	}
}

// interleave puts what waited at a process into an order in which it may read
// its connections: each of them in order, among one another in any.
func (cluster *Cluster) interleave(list []delivery) []func() {
	var out []func()
	queues, names := map[string][]func(){}, []string{}
	for _, one := range list {
		if queues[one.connection] == nil {
			names = append(names, one.connection)
		}
		queues[one.connection] = append(queues[one.connection], one.do)
	}
	for len(names) > 0 {
		i := cluster.Random.Intn(len(names))
		name := names[i]
		out = append(out, queues[name][0])
		if queues[name] = queues[name][1:]; len(queues[name]) == 0 {
			names = append(names[:i], names[i+1:]...)
		}
	}
	return out
}

// stall holds back all that is sent from one process to another until undone;
// then it arrives, in order.
func (cluster *Cluster) StallLink(from, to *Process) func() {
	key := [2]string{from.Name, to.Name}
	if _, ok := cluster.stalledLinks[key]; ok {
		return nil
	}
	cluster.stalledLinks[key] = []func(){}
	return func() {
		queue := cluster.stalledLinks[key]
		delete(cluster.stalledLinks, key)
		for _, send := range queue {
			send()
		}
	}
}

func (cluster *Cluster) Kill(n *Process) {
	n.Up, n.Frozen, n.inbox, n.suspendedFor = false, false, nil, 0
	n.incarnation++
}

var Domains = []string{"north", "east", "west"}

// What follows is the world as the observer sees it.

// Time is the virtual time in milliseconds.
func (cluster *Cluster) Time() int64 { return cluster.Now }

// Quiet tells whether all faults have been over for more than 15 seconds.
func (cluster *Cluster) Quiet() bool { return cluster.faultsOverAt > 0 && cluster.Now-cluster.faultsOverAt > 15000 }

// Undisturbed tells whether the run has no faults at all, defective runs included.
func (cluster *Cluster) Undisturbed() bool { return cluster.Spec.DefectPercent == 0 && cluster.faultsOverAt == 1 }

// Logf adds a line to the trace of the run, if one is kept.
func (cluster *Cluster) Logf(text string, args ...any) { cluster.logf(text, args...) }

// Runner describes a runner by name; it is empty for an unknown one.
func (cluster *Cluster) Runner(name string) invariants.RunnerView {
	var p invariants.RunnerView
	for _, r := range cluster.Runners {
		if r.Name == name {
			return invariants.RunnerView{Domain: r.Domain, Incarnation: r.incarnation, Live: r.Up && !r.Frozen, Labels: r.Config.Labels, Capacity: r.Config.Capacity}
		}
	}
	return p
}

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

// parcel is something a frozen process does when it wakes, and the connection it
// came by; what came by one connection is read in order, connections in any.
type parcel struct {
	connection string
	do         func()
}

// epoch is the true time of day at the start, in milliseconds.
const epoch = 1_800_000_000_000

// node is one process, whatever it runs.
type node struct {
	name   string
	addr   string
	zone   string
	life   int
	up     bool
	frozen bool
	begun  int64
	drift  float64
	skew   int64
	inbox  []parcel
	// froze is when it was last frozen, slept for how long in all.
	froze, slept int64
}

// Site sizes a world and sets its usual weather.
type Site struct {
	Keepers, Gates, Runners int
	Cores, Mem              int64
	// Delay is the usual one-way delay in ms, Loss the share lost per mille.
	Delay, Loss int64
	// Rate is the callers' load in percent of the usual.
	Rate int64
	// Faulty is the usual share of defective runs in percent.
	Faulty int64
	// Zones is how many zones the keepers stand in, 0 for the usual three.
	Zones int
	// Porters is how many keepers there are besides, without a disk.
	Porters int
	// Elect is the least wait before an election in ms, 0 for the usual.
	Elect clock.Millis
}

// coreZones are the zones that keepers stand in: gates and runners have three.
func (s Site) coreZones() []string {
	var list []string
	if s.Zones == 4 {
		return append(append(list, zones...), "south")
	}
	return zones
}

func (s Site) timing() raft.Timing {
	if s.Elect == 0 {
		return raft.DefaultTiming()
	}
	return raft.NewTiming(s.Elect)
}

// Gilde is a site of small machines on a fast network without loss.
func Gilde() Site {
	return Site{Keepers: 3, Gates: 3, Runners: 11, Cores: 16, Mem: 65536, Delay: 3, Rate: 100, Faulty: 3}
}

// Telmar is a site of larger machines on a slower network that loses some
// messages.
func Telmar() Site {
	s := Gilde()
	s.Cores, s.Mem, s.Delay, s.Loss = 64, 131072, 25, 5
	return s
}

// World is a simulated cluster: its processes, network, disks and clients,
// driven by one queue of events in virtual time. Now is in milliseconds since
// the start. It is not safe for concurrent use.
type World struct {
	Site  Site
	Now   int64
	rnd   *rand.Rand
	queue queue
	seq   uint64
	nodes map[string]*node
	cuts  map[[2]string]bool
	// stalled holds back what is sent from one process to another, as TCP does
	// while packets are lost; it arrives once the link is mended.
	stalled map[[2]string][]func()
	last    map[[2]string]int64
	calm    int64
	shuts   map[string]int

	keepers []*keep
	gates   []*edge
	runners []*side
	seeds   []string
	callers *callers
	Watch   *invariants.Checker
	Log     []string
	Trace   bool
	// trap is sprung before a keeper hands out what a step led to.
	trap   func(k *keep) (sprung bool)
	Frames int
	Bytes  int64
	// Polled counts the bytes of runners\' polls and their answers.
	Polled int64
	Polls  int64
	// Struck counts the faults that were really in force, by kind.
	Struck map[string]int
	// Dull gives every process a clock that stands still while it sleeps, as
	// the wrong clock of a suspended machine does.
	Dull    bool
	bereft  bool
	missing int
}

func (w *World) note(text string, args ...any) {
	if w.Trace {
		w.Log = append(w.Log, fmt.Sprintf("%7d ", w.Now)+fmt.Sprintf(text, args...))
	}
}

func (w *World) at(at int64, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at, w.seq, do})
}

func (w *World) after(ms int64, do func()) { w.at(w.Now+ms, do) }

// Run lets virtual time pass until the given moment.
func (w *World) Run(until int64) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.Now = e.at
		e.do()
	}
	w.Now = until
}

// post runs something in a process, unless it has died since; a frozen one
// does it when it wakes.
func (w *World) post(n *node, ms int64, do func()) { w.postBy(n, ms, n.name, do) }

// postBy is post for what comes by a connection.
func (w *World) postBy(n *node, ms int64, connection string, do func()) {
	life := n.life
	w.after(ms, func() {
		switch {
		case !n.up || n.life != life:
		case n.frozen:
			if len(n.inbox) < 10000 {
				n.inbox = append(n.inbox, parcel{connection, do})
			}
		default:
			do()
		}
	})
}

func (w *World) mono(n *node) clock.Monotonic {
	gone := w.Now - n.begun
	if w.Dull {
		gone -= n.slept
	}
	return clock.Monotonic(float64(gone) * (1 + n.drift))
}

func (w *World) wall(n *node) clock.WallTime { return clock.WallTime(epoch + w.Now + n.skew) }

// cut tells whether what a sends reaches b.
func (w *World) cut(a, b *node) bool {
	return w.cuts[[2]string{a.name, b.name}]
}

// fly delivers from one process to another: after a delay, in order, or not.
func (w *World) fly(from, to *node, do func()) {
	if w.cut(from, to) || w.rnd.Int63n(1000) < w.Site.Loss {
		return
	}
	key := [2]string{from.name, to.name}
	if queue, ok := w.stalled[key]; ok {
		w.stalled[key] = append(queue, func() { w.fly(from, to, do) })
		return
	}
	at := w.Now + w.Site.Delay/2 + w.rnd.Int63n(w.Site.Delay+1)
	if from == to {
		at = w.Now
	}
	at = max(at, w.last[key])
	w.last[key] = at
	life := to.life
	w.postBy(to, at-w.Now, from.name, func() {
		if to.life == life && !w.cut(from, to) {
			do()
		}
	})
}

// carry sends a frame; now and then it goes through the real codec.
func (w *World) carry(from *node, s wire.Envelope, take func(to *node, from wire.Peer, msg wire.Message)) {
	to := w.nodes[string(s.To)]
	if to == nil {
		return
	}
	msg := s.Message
	w.Frames++
	if w.Frames%64 == 0 {
		var buf bytes.Buffer
		if err := wire.NewEncoder(&buf).Encode(msg); err != nil {
			panic(err)
		}
		w.Bytes += int64(buf.Len()) * 64
		back, err := wire.NewDecoder(&buf).Decode()
		if err != nil {
			panic(err)
		}
		msg = back
	}
	w.fly(from, to, func() { take(to, wire.Peer(from.addr), msg) })
}

func (w *World) frames(n *node, list []wire.Envelope) {
	for _, s := range list {
		w.carry(n, s, w.deliver)
	}
}

func (w *World) deliver(to *node, from wire.Peer, msg wire.Message) {
	for _, k := range w.keepers {
		if k.node == to && k.mach != nil {
			k.mach.HandleMessage(from, msg, w.mono(to), w.wall(to))
			k.out()
			return
		}
	}
	for _, g := range w.gates {
		if g.node == to {
			g.mach.HandleMessage(from, msg, w.mono(to))
			g.out()
			return
		}
	}
}

func (w *World) add(name, zone string) *node {
	n := &node{name: name, addr: name, zone: zone, drift: float64(w.rnd.Int63n(41)-20) / 10000}
	w.nodes[n.addr] = n
	return n
}

func (w *World) freeze(n *node) { n.frozen, n.froze = true, w.Now }

func (w *World) wake(n *node) {
	if !n.frozen {
		return
	}
	n.frozen = false
	n.slept += w.Now - n.froze
	list := w.interleave(n.inbox)
	n.inbox = nil
	for _, do := range list {
		if n.up {
			do()
		}
	}
}

// interleave puts what waited at a process into an order in which it may read
// its connections: each of them in order, among one another in any.
func (w *World) interleave(list []parcel) []func() {
	var out []func()
	queues, names := map[string][]func(){}, []string{}
	for _, one := range list {
		if queues[one.connection] == nil {
			names = append(names, one.connection)
		}
		queues[one.connection] = append(queues[one.connection], one.do)
	}
	for len(names) > 0 {
		i := w.rnd.Intn(len(names))
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
func (w *World) stall(from, to *node) func() {
	key := [2]string{from.name, to.name}
	if _, ok := w.stalled[key]; ok {
		return nil
	}
	w.stalled[key] = []func(){}
	return func() {
		queue := w.stalled[key]
		delete(w.stalled, key)
		for _, send := range queue {
			send()
		}
	}
}

func (w *World) die(n *node) {
	n.up, n.frozen, n.inbox, n.slept = false, false, nil, 0
	n.life++
}

var zones = []string{"north", "east", "west"}

// What follows is the world as the observer sees it.

// Time is the virtual time in milliseconds.
func (w *World) Time() int64 { return w.Now }

// Quiet tells whether all faults have been over for more than 15 seconds.
func (w *World) Quiet() bool { return w.calm > 0 && w.Now-w.calm > 15000 }

// Undisturbed tells whether the run has no faults at all, defective runs included.
func (w *World) Undisturbed() bool { return w.Site.Faulty == 0 && w.calm == 1 }

// Logf adds a line to the trace of the run, if one is kept.
func (w *World) Logf(text string, args ...any) { w.note(text, args...) }

// Runner describes a runner by name; it is empty for an unknown one.
func (w *World) Runner(name string) invariants.RunnerView {
	var p invariants.RunnerView
	for _, r := range w.runners {
		if r.name == name {
			return invariants.RunnerView{Domain: r.zone, Incarnation: r.life, Live: r.up && !r.frozen, Labels: r.boot.Labels, Capacity: r.boot.Capacity}
		}
	}
	return p
}

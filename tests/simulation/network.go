package simulation

import (
	"bytes"

	"orchidward/internal/transport/wire"
)

// link is the one-way link from one process to another, by their names.
type link struct{ from, to string }

// network is the state of all links.
type network struct {
	blocked map[link]bool
	// stalled holds the messages on stalled links, as TCP does while packets are lost;
	// they arrive once the link recovers.
	stalled map[link][]func()
	// lastArrival is when the last message on a link arrives; it keeps them in order.
	lastArrival map[link]int64
	// busyUntil is when a link will have transmitted all messages sent on it.
	busyUntil map[link]int64
}

func newNetwork() network {
	return network{
		blocked:     map[link]bool{},
		stalled:     map[link][]func(){},
		lastArrival: map[link]int64{},
		busyUntil:   map[link]int64{},
	}
}

func linkBetween(from, to *Process) link { return link{from.Name, to.Name} }

// blocked reports whether the link from one process to another is blocked.
func (c *Cluster) blocked(from, to *Process) bool {
	return c.network.blocked[linkBetween(from, to)]
}

// reachable reports whether two processes reach each other, both ways.
func (c *Cluster) reachable(a, b *Process) bool {
	return a == b || !c.blocked(a, b) && !c.blocked(b, a)
}

// carry delivers a message of the given size in bytes from one process to another, once
// the link has transmitted those before it.
func (c *Cluster) carry(from, to *Process, size int, do func()) {
	if c.Spec.LinkBytesPerMs == 0 || from == to {
		c.transmit(from, to, do)
		return
	}
	l := linkBetween(from, to)
	done := max(c.Now, c.network.busyUntil[l]) + int64(size)/c.Spec.LinkBytesPerMs
	c.network.busyUntil[l] = done
	incarnation := from.Incarnation
	c.At(done, func() {
		if from.Incarnation == incarnation {
			c.transmit(from, to, do)
		}
	})
}

// transmit delivers a message from one process to another: after a delay and in order,
// or not at all.
func (c *Cluster) transmit(from, to *Process, do func()) {
	if c.blocked(from, to) || c.Random.Int63n(1000) < c.Spec.LossPerMille {
		return
	}
	l := linkBetween(from, to)
	if waiting, stalled := c.network.stalled[l]; stalled {
		c.network.stalled[l] = append(waiting, func() { c.transmit(from, to, do) })
		return
	}
	arrival := c.Now + c.Spec.DelayMs/2 + c.Random.Int63n(c.Spec.DelayMs+1)
	if from == to {
		arrival = c.Now
	}
	arrival = max(arrival, c.network.lastArrival[l])
	c.network.lastArrival[l] = arrival
	incarnation := to.Incarnation
	c.postFrom(to, arrival-c.Now, from.Name, func() {
		if to.Incarnation == incarnation && !c.blocked(from, to) {
			do()
		}
	})
}

// BlockLink blocks the link from one process to another, and with both set also the
// reverse link, until undo is called; undo is nil if from and to are the same process.
func (c *Cluster) BlockLink(from, to *Process, both bool) (undo func()) {
	if from == to {
		return nil
	}
	c.network.blocked[linkBetween(from, to)] = true
	if both {
		c.network.blocked[linkBetween(to, from)] = true
	}
	return func() {
		delete(c.network.blocked, linkBetween(from, to))
		delete(c.network.blocked, linkBetween(to, from))
	}
}

// Isolate blocks the links of a process to all others, from all others, or both,
// until undo is called.
func (c *Cluster) Isolate(p *Process, out, in bool) (undo func()) {
	for _, other := range c.processes {
		if other == p {
			continue
		}
		if out {
			c.network.blocked[linkBetween(p, other)] = true
		}
		if in {
			c.network.blocked[linkBetween(other, p)] = true
		}
	}
	return func() {
		for _, other := range c.processes {
			delete(c.network.blocked, linkBetween(p, other))
			delete(c.network.blocked, linkBetween(other, p))
		}
	}
}

// partitionDomain blocks all links between a domain and the other domains until undo is
// called.
func (c *Cluster) partitionDomain(domain string) (undo func()) {
	inside := map[string]bool{}
	for _, p := range c.processesIn(domain) {
		inside[p.Name] = true
	}
	var blocked []link
	for _, from := range c.processes {
		for _, to := range c.processes {
			l := linkBetween(from, to)
			if inside[from.Name] != inside[to.Name] && !c.network.blocked[l] {
				c.network.blocked[l] = true
				blocked = append(blocked, l)
			}
		}
	}
	return func() {
		for _, l := range blocked {
			delete(c.network.blocked, l)
		}
	}
}

// StallLink holds back all messages from one process to another until undo is called;
// then they arrive, in order. undo is nil if the link is stalled already.
func (c *Cluster) StallLink(from, to *Process) (undo func()) {
	l := linkBetween(from, to)
	if _, stalled := c.network.stalled[l]; stalled {
		return nil
	}
	c.network.stalled[l] = []func(){}
	return func() {
		waiting := c.network.stalled[l]
		delete(c.network.stalled, l)
		for _, send := range waiting {
			send()
		}
	}
}

func (c *Cluster) sendFrames(from *Process, list []wire.Envelope) {
	for _, envelope := range list {
		c.sendFrame(from, envelope)
	}
}

// sendFrame sends a message through the real encoding, so that a process receives only
// what the encoding transports, as in a real cluster.
func (c *Cluster) sendFrame(from *Process, envelope wire.Envelope) {
	to := c.processes[string(envelope.To)]
	if to == nil {
		return
	}
	c.Traffic.Frames++
	message, size := c.reencode(envelope.Message)
	c.carry(from, to, size, func() { c.deliver(to, wire.Peer(from.Addr), message) })
}

// reencode encodes and decodes a message, and counts its encoded bytes.
func (c *Cluster) reencode(message wire.Message) (decoded wire.Message, size int) {
	var buffer bytes.Buffer
	if err := wire.NewEncoder(&buffer).Encode(message); err != nil {
		panic("simulation: cannot encode message: " + err.Error())
	}
	size = buffer.Len()
	c.Traffic.Bytes += int64(size)
	decoded, err := wire.NewDecoder(&buffer).Decode()
	if err != nil {
		panic("simulation: cannot decode an encoded message: " + err.Error())
	}
	return decoded, size
}

// deliver passes a message to the state machine that runs in a process.
func (c *Cluster) deliver(to *Process, from wire.Peer, message wire.Message) {
	for _, server := range c.Servers {
		if server.Process == to && server.Machine != nil {
			server.Machine.HandleMessage(from, message, c.Monotonic(to), c.WallTime(to))
			server.Flush()
			return
		}
	}
	for _, gateway := range c.Gateways {
		if gateway.Process == to {
			gateway.Machine.HandleMessage(from, message, c.Monotonic(to))
			gateway.flush()
			return
		}
	}
	for _, one := range c.Agents {
		if one.Process == to {
			one.Machine.HandleMessage(from, message, c.Monotonic(to))
			one.flush()
			return
		}
	}
}

package raft

import (
	"encoding/json"
	"fmt"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

const (
	// lossPercent is how many messages of a hundred are lost, and one message of
	// duplicateEvery is delivered twice.
	lossPercent    = 2
	duplicateEvery = 50
	// maxLatencyMs is how long a message is on its way at most, beyond the first
	// millisecond, unless it is a late duplicate.
	maxLatencyMs = 30
	// tickMs is how often a member is ticked.
	tickMs = 20
	// maxLearnerLag is how many entries a learner may be behind to be made a voter.
	maxLearnerLag = 64
)

// link is the way from one member to another.
type link struct{ from, to identifier.Node }

// inTransit is a message on its way.
type inTransit struct {
	arrivesAt int64
	message   Message
}

// host finds a host by the member that it is.
func (g *group) host(id identifier.Node) *host { return g.hosts[id-1] }

// start starts a host from what its disk holds.
func (g *group) start(h *host) {
	h.up = true
	h.startedAt = g.now
	h.pausedUntil = 0
	h.backlog = Backlog{}
	h.localSnapshot = nil
	h.restore(h.disk.snapshot)
	entries := append([]Entry(nil), h.disk.entries...)
	h.raft = New(h.id, g.timing, g.random.Int63(), 0, h.disk.hardState, h.disk.snapshot, entries)
	if g.tailLimit != nil {
		h.raft.tail = *g.tailLimit
	}
}

// monotonic is the time on a host's own clock.
func (g *group) monotonic(h *host) clock.Monotonic {
	return clock.Monotonic(float64(g.now-h.startedAt) * (1 + h.drift))
}

// leader is the host that leads the newest term, nil for none.
func (g *group) leader() *host {
	var leader *host
	for _, h := range g.hosts {
		if h.up && h.raft.Role() == Leader && (leader == nil || h.raft.Term() > leader.raft.Term()) {
			leader = h
		}
	}
	return leader
}

// after schedules what is to happen some ms after the next one.
func (g *group) after(ms int64, do func()) {
	at := g.now + 1 + ms
	g.scheduled[at] = append(g.scheduled[at], do)
}

// failf records the first failure.
func (g *group) failf(format string, args ...any) {
	if g.failure == "" {
		g.failure = fmt.Sprintf("at %d: ", g.now) + fmt.Sprintf(format, args...)
	}
}

// advance lets some ms pass without faults, or until a failure.
func (g *group) advance(ms int64) {
	for end := g.now + ms; g.now < end && g.failure == ""; {
		g.step(false)
	}
}

// step lets one ms pass: messages arrive, disks finish, clocks tick.
func (g *group) step(faults bool) {
	g.now++
	g.faultsEnabled = faults
	for _, do := range g.scheduled[g.now] {
		do()
	}
	delete(g.scheduled, g.now)
	g.deliverMessages()
	for _, h := range g.hosts {
		if h.up && g.now >= h.pausedUntil {
			g.runHost(h)
		}
	}
	if leader := g.leader(); leader != nil && g.now >= leader.pausedUntil && g.random.Intn(g.meanProposalMs) == 0 {
		g.propose(leader)
	}
	g.checkLeases()
	if faults && g.random.Intn(g.meanFaultMs) == 0 {
		g.injectFault()
	}
}

func (g *group) deliverMessages() {
	for _, m := range g.takeArrived() {
		if h := g.host(m.To); h.up && !g.blockedLinks[link{m.From, m.To}] {
			h.raft.Step(m, g.monotonic(h), 0)
			g.processOutput(h)
		}
	}
}

// takeArrived removes the messages that arrive now. Those to a paused process
// wait for it.
func (g *group) takeArrived() []Message {
	inFlight := g.network[:0]
	arrived := []Message{}
	for _, t := range g.network {
		if t.arrivesAt > g.now {
			inFlight = append(inFlight, t)
			continue
		}
		if h := g.host(t.message.To); h.up && g.now < h.pausedUntil {
			inFlight = append(inFlight, inTransit{h.pausedUntil, t.message})
			continue
		}
		arrived = append(arrived, t.message)
	}
	g.network = inFlight
	return arrived
}

// runHost lets a host's disk and clock go on.
func (g *group) runHost(h *host) {
	if h.localSnapshot != nil && g.random.Intn(4*g.meanWriteMs) == 0 {
		h.writeLocalSnapshot()
	}
	if h.backlog.Len() > 0 && g.random.Intn(g.meanWriteMs) == 0 {
		w := h.backlog.Next()
		h.disk.write(w)
		h.raft.Synced(w.Seq)
		g.processOutput(h)
	}
	if g.compactOften && h.applied > h.raft.SnapshotIndex()+4 && g.random.Intn(50) == 0 {
		h.raft.Compact(h.applied, h.encodeState())
		g.processOutput(h)
	}
	if g.reliableNetwork || g.now%tickMs == int64(h.id)%tickMs {
		h.raft.Tick(g.monotonic(h), 0)
		g.processOutput(h)
	}
}

func (g *group) propose(leader *host) {
	g.proposals++
	leader.raft.Propose(payload(g.proposals, g.entryBytes))
	leader.raft.Flush()
	g.processOutput(leader)
}

// payload is an entry's data of so many bytes, told from others by its end.
func payload(number, size int) []byte {
	text := fmt.Sprintf("%0*d", min(size, 64), number)
	data := make([]byte, max(size, len(text)))
	copy(data[len(data)-len(text):], text)
	return data
}

// proposeMembers proposes a member list and reports whether the leader took it.
func (g *group) proposeMembers(leader *host, members []Member) bool {
	if !leader.raft.ProposeMembers(members) {
		return false
	}
	leader.raft.Flush()
	g.processOutput(leader)
	return true
}

// processOutput carries out what a host's last input led to, and checks it.
func (g *group) processOutput(h *host) {
	o := h.raft.TakeOutput()
	if o.InstalledSnapshot != nil {
		g.snapshotsInstalled++
		h.restore(o.InstalledSnapshot)
	}
	for _, m := range o.Messages {
		g.sendMessage(m)
	}
	g.checkAcknowledged(h, o.Messages)
	if o.LocalSnapshot != nil {
		h.localSnapshot = o.LocalSnapshot
	}
	if o.Write != nil {
		h.backlog.Add(o.Write)
		g.maybeRestartVoter(h, o.Write)
	}
	for _, e := range o.Committed {
		g.apply(h, e)
	}
	if h.raft.Role() == Leader {
		g.checkLeader(h)
	}
}

func (g *group) sendMessage(m Message) {
	if g.reliableNetwork {
		g.network = append(g.network, inTransit{g.now + 1, m})
		return
	}
	if g.blockedLinks[link{m.From, m.To}] || g.random.Intn(100) < lossPercent {
		return
	}
	g.network = append(g.network, inTransit{g.now + 1 + g.random.Int63n(maxLatencyMs), m})
	if g.random.Intn(duplicateEvery) == 0 {
		g.network = append(g.network, inTransit{g.now + 1 + g.random.Int63n(g.maxDelayMs), m})
	}
}

func decodeMembers(e Entry) []Member {
	var members []Member
	if err := json.Unmarshal(e.Data, &members); err != nil {
		panic(err)
	}
	return members
}

// caughtUp reports whether the leader knows a member to be close behind.
func caughtUp(leader *host, id identifier.Node) bool {
	p := leader.raft.peers[id]
	return p != nil && p.match >= leader.raft.TermStart() && p.match+maxLearnerLag >= leader.raft.CommitIndex()
}

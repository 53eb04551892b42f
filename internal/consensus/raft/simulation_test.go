package raft

import (
	"encoding/json"
	"fmt"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

const (
	// lossPercent is the percentage of messages that are lost, and one in duplicateEvery
	// messages is delivered twice.
	lossPercent    = 2
	duplicateEvery = 50
	// maxLatencyMs is the maximum latency of a message beyond the first millisecond, except
	// for duplicates.
	maxLatencyMs = 30
	// tickMs is the interval between ticks of a member.
	tickMs = 20
	// maxLearnerLag is the number of entries that a learner may lag to be made a voter.
	maxLearnerLag = 64
)

// link is the one-way network link from one member to another.
type link struct{ from, to identifier.Node }

// inTransit is a message in transit.
type inTransit struct {
	arrivesAt int64
	message   Message
}

// host returns the host of a member.
func (g *group) host(id identifier.Node) *host { return g.hosts[id-1] }

// start starts a host with the contents of its disk.
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

// monotonic returns the time on a host's monotonic clock.
func (g *group) monotonic(h *host) clock.Monotonic {
	return clock.Monotonic(float64(g.now-h.startedAt) * (1 + h.drift))
}

// leader returns the running leader with the newest term, nil if there is none.
func (g *group) leader() *host {
	var leader *host
	for _, h := range g.hosts {
		if h.up && h.raft.Role() == Leader && (leader == nil || h.raft.Term() > leader.raft.Term()) {
			leader = h
		}
	}
	return leader
}

// after schedules a function to run ms milliseconds after the next step.
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

// advance advances the time without injecting faults, and stops at a failure.
func (g *group) advance(ms int64) {
	for end := g.now + ms; g.now < end && g.failure == ""; {
		g.step(false)
	}
}

// step advances the time by one ms: it delivers messages, completes disk writes and ticks
// members.
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

// takeArrived removes and returns the messages that arrive now. Messages to a paused
// process are delayed until it resumes.
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

// runHost randomly completes disk writes and takes snapshots of a host, and ticks its member.
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

// payload returns entry data of at least size bytes, which ends in a unique number.
func payload(number, size int) []byte {
	text := fmt.Sprintf("%0*d", min(size, 64), number)
	data := make([]byte, max(size, len(text)))
	copy(data[len(data)-len(text):], text)
	return data
}

// proposeMembers proposes a member list and reports whether the leader accepted it.
func (g *group) proposeMembers(leader *host, members []Member) bool {
	if !leader.raft.ProposeMembers(members) {
		return false
	}
	leader.raft.Flush()
	g.processOutput(leader)
	return true
}

// processOutput processes a host's output and checks the invariants.
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

// caughtUp reports whether the leader considers a member caught up.
func caughtUp(leader *host, id identifier.Node) bool {
	p := leader.raft.peers[id]
	return p != nil && p.match >= leader.raft.TermStart() && p.match+maxLearnerLag >= leader.raft.CommitIndex()
}

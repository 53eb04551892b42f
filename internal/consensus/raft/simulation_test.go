package raft

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// host is one member with its disk: what was synced outlives a crash, what was
// not is gone.
type host struct {
	id            identifier.Node
	raft          *Raft
	up            bool
	startedAt     int64
	drift         float64
	hardState     HardState
	snapshot      *Snapshot
	entries       []Entry
	backlog       Backlog
	localSnapshot *Snapshot
	applied       identifier.Index
	seen          map[identifier.Index]string
	lost          bool
	// ackedIndex is the last index it acknowledged, and in which term.
	ackedIndex identifier.Index
	ackedTerm  identifier.Term
	// pausedUntil is until when its process stands still.
	pausedUntil int64
	// checksum is a checksum over all that was applied; snapshots carry it.
	checksum uint64
}

// encodeState is what a snapshot of a member's state holds.
func (h *host) encodeState() []byte { return binary.BigEndian.AppendUint64(nil, h.checksum) }

func (h *host) restore(v *Snapshot) {
	h.checksum = 0
	if len(v.Data) >= 8 {
		h.checksum = binary.BigEndian.Uint64(v.Data)
	}
}

// inTransit is a message on its way.
type inTransit struct {
	arrivesAt int64
	message   Message
}

// group is a chaos of hosts on one true clock, in ms.
type group struct {
	random       *rand.Rand
	now          int64
	hosts        []*host
	network      []inTransit
	blockedLinks map[[2]identifier.Node]bool
	// leaders is who led each term, done what is committed at each index.
	leaders           map[identifier.Term]identifier.Node
	committed         map[identifier.Index]string
	lastCommitted     identifier.Index
	proposals         int
	membershipChanges int
	failure           string
	// meanWriteMs is how many ms a write takes on average, size the bytes of an entry.
	meanWriteMs, entryBytes, faultIntervalMs int
	// scheduled holds what is to happen at its ms.
	scheduled     map[int64][]func()
	faultsEnabled bool
	// wantVoters is how many vote, most how many members there may be, hosts over time.
	wantVoters, maxMembers, maxHosts int
	// losePairs says that two hosts are lost at once now and then, and that a host
	// may be lost for good, its disk with it, and an empty one come.
	losePairs bool
	pairsLost int
	hostsLost int
	// tailLimit overrides how much of the log is kept behind a snapshot.
	tailLimit *tailLimit
	// snapshotsInstalled counts the snapshots that replaced a member's state.
	snapshotsInstalled int
	// compactOften has members take snapshots every few entries.
	compactOften bool
	// meanProposalMs is how many ms lie between proposals on average.
	meanProposalMs int
	// maxDrift is by how much a clock may be off, in 1/10000, and maxDelayMs how late a
	// doubled message may be.
	maxDrift   int
	maxDelayMs int64
	// pauseProcesses has processes stand still now and then; slept counts how often.
	pauseProcesses bool
	pauses         int
	// timing is the members' own, the usual one when unset. Prompt lines lose
	// nothing and take a millisecond.
	timing          Timing
	reliableNetwork bool
	// newestCommittedTerm is the newest term in which a leader has committed.
	newestCommittedTerm identifier.Term
	// stateChecksums are the checksums of the state at each index.
	stateChecksums map[identifier.Index]uint64
}

func (g *group) after(ms int64, do func()) {
	g.scheduled[g.now+1+ms] = append(g.scheduled[g.now+1+ms], do)
}

func decodeMembers(e Entry) []Member {
	var list []Member
	if err := json.Unmarshal(e.Data, &list); err != nil {
		panic(err)
	}
	return list
}

func (g *group) failf(text string, args ...any) {
	if g.failure == "" {
		g.failure = fmt.Sprintf("at %d: ", g.now) + fmt.Sprintf(text, args...)
	}
}

func (g *group) monotonic(h *host) clock.Monotonic {
	return clock.Monotonic(float64(g.now-h.startedAt) * (1 + h.drift))
}

func (g *group) addHost(members []Member, at identifier.Index) *host {
	h := &host{id: identifier.Node(len(g.hosts) + 1), drift: float64(g.random.Intn(2*g.maxDrift+1)-g.maxDrift) / 10000, snapshot: &Snapshot{Index: at, Term: identifier.Term(at), Members: members}}
	g.hosts = append(g.hosts, h)
	return h
}

func (g *group) start(h *host) {
	h.up, h.startedAt, h.pausedUntil, h.backlog, h.localSnapshot, h.applied = true, g.now, 0, Backlog{}, nil, h.snapshot.Index
	h.seen = map[identifier.Index]string{}
	h.restore(h.snapshot)
	h.raft = New(h.id, g.timing, g.random.Int63(), 0, h.hardState, h.snapshot, append([]Entry(nil), h.entries...))
	if g.tailLimit != nil {
		h.raft.tail = *g.tailLimit
	}
}

func (g *group) crash(h *host) { h.up, h.raft = false, nil }

// persist puts a write on a host's disk.
func (h *host) persist(w *Write) {
	if w.HardState != nil {
		h.hardState = *w.HardState
	}
	if w.Snapshot != nil {
		h.snapshot = w.Snapshot
		kept := []Entry{}
		for _, e := range h.entries {
			if e.Index > w.Snapshot.Index {
				kept = append(kept, e)
			}
		}
		if len(kept) > 0 && kept[0].Index != w.Snapshot.Index+1 {
			kept = nil
		}
		h.entries = kept
	}
	if len(w.Entries) > 0 {
		first := w.Entries[0].Index
		kept := []Entry{}
		for _, e := range h.entries {
			if e.Index < first {
				kept = append(kept, e)
			}
		}
		h.entries = append(kept, w.Entries...)
	}
	// A snapshot of its own may be down before entries that it covers: as in
	// the ring, those don't count.
	for len(h.entries) > 0 && h.entries[0].Index <= h.snapshot.Index {
		h.entries = h.entries[1:]
	}
}

// out carries out what a host's last input led to, and judges it.
func (g *group) processOutput(h *host) {
	o := h.raft.TakeOutput()
	if o.InstalledSnapshot != nil {
		g.snapshotsInstalled++
		h.restore(o.InstalledSnapshot)
		h.applied = o.InstalledSnapshot.Index
	}
	for _, m := range o.Messages {
		if g.reliableNetwork {
			g.network = append(g.network, inTransit{g.now + 1, m})
			continue
		}
		if !g.blockedLinks[[2]identifier.Node{m.From, m.To}] && g.random.Intn(100) >= 2 {
			g.network = append(g.network, inTransit{g.now + 1 + g.random.Int63n(30), m})
			if g.random.Intn(50) == 0 {
				g.network = append(g.network, inTransit{g.now + 1 + g.random.Int63n(g.maxDelayMs), m})
			}
		}
	}
	h.checkAcknowledged(g, o.Messages)
	if o.LocalSnapshot != nil {
		h.localSnapshot = o.LocalSnapshot
	}
	if o.Write != nil {
		h.backlog.Add(o.Write)
		if o.Write.HardState != nil && o.Write.HardState.Vote != 0 && g.faultsEnabled && g.random.Intn(6) == 0 {
			g.after(0, func() { g.restart(h) })
		}
	}
	for _, e := range o.Committed {
		if e.Index != h.applied+1 {
			g.failf("host %d hands out entry %d after %d", h.id, e.Index, h.applied)
		}
		h.applied = e.Index
		word := entryKey(e)
		if was, ok := g.committed[e.Index]; ok && was != word {
			g.failf("host %d has %s at %d, another committed %s", h.id, word, e.Index, was)
		}
		g.apply(h, e)
		g.committed[e.Index], g.lastCommitted = word, max(g.lastCommitted, e.Index)
	}
	if h.raft.Role() == Leader {
		g.checkLeader(h)
	}
}

func (g *group) leader() *host {
	var h *host
	for _, one := range g.hosts {
		if one.up && one.raft.Role() == Leader && (h == nil || one.raft.Term() > h.raft.Term()) {
			h = one
		}
	}
	return h
}

// payload is an entry's data of so many bytes, told from others by its end.
func payload(number, size int) []byte {
	text := fmt.Sprintf("%0*d", min(size, 64), number)
	data := make([]byte, max(size, len(text)))
	copy(data[len(data)-len(text):], text)
	return data
}

// step lets one ms pass: what is due arrives, disks finish, clocks tick.
func (g *group) step(wild bool) {
	g.now++
	g.faultsEnabled = wild
	for _, do := range g.scheduled[g.now] {
		do()
	}
	delete(g.scheduled, g.now)
	kept := g.network[:0]
	due := []Message{}
	for _, f := range g.network {
		if f.arrivesAt > g.now {
			kept = append(kept, f)
			continue
		}
		if h := g.hosts[f.message.To-1]; h.up && g.now < h.pausedUntil {
			kept = append(kept, inTransit{h.pausedUntil, f.message})
			continue
		}
		due = append(due, f.message)
	}
	g.network = kept
	for _, m := range due {
		if h := g.hosts[m.To-1]; h.up && !g.blockedLinks[[2]identifier.Node{m.From, m.To}] {
			h.raft.Step(m, g.monotonic(h), 0)
			g.processOutput(h)
		}
	}
	for _, h := range g.hosts {
		if !h.up || g.now < h.pausedUntil {
			continue
		}
		if h.localSnapshot != nil && g.random.Intn(4*g.meanWriteMs) == 0 {
			if h.localSnapshot.Index > h.snapshot.Index {
				h.persist(&Write{Snapshot: h.localSnapshot})
			}
			h.localSnapshot = nil
		}
		if h.backlog.Len() > 0 && g.random.Intn(g.meanWriteMs) == 0 {
			w := h.backlog.Next()
			h.persist(w)
			h.raft.Synced(w.Seq)
			g.processOutput(h)
		}
		if g.compactOften && h.applied > h.raft.SnapshotIndex()+4 && g.random.Intn(50) == 0 {
			h.raft.Compact(h.applied, h.encodeState())
			g.processOutput(h)
		}
		if g.reliableNetwork || g.now%20 == int64(h.id)%20 {
			h.raft.Tick(g.monotonic(h), 0)
			g.processOutput(h)
		}
	}
	if k := g.leader(); k != nil && g.now >= k.pausedUntil && g.random.Intn(g.meanProposalMs) == 0 {
		g.proposals++
		k.raft.Propose(payload(g.proposals, g.entryBytes))
		k.raft.Flush()
		g.processOutput(k)
	}
	g.checkLeases()
	if wild && g.random.Intn(g.faultIntervalMs) == 0 {
		g.injectFault()
	}
}

func newGroup(seed int64) *group {
	return &group{random: rand.New(rand.NewSource(seed)), blockedLinks: map[[2]identifier.Node]bool{}, leaders: map[identifier.Term]identifier.Node{}, committed: map[identifier.Index]string{},
		meanWriteMs: []int{2, 6, 25}[seed%3], entryBytes: []int{4, 50 << 10}[seed/3%2], faultIntervalMs: []int{2, 4, 8, 16}[seed%4], scheduled: map[int64][]func(){}, meanProposalMs: 40, maxDrift: 20, maxDelayMs: 900, timing: DefaultTiming(), stateChecksums: map[identifier.Index]uint64{}}
}

// bootstrap begins a group of so many voters.
func (g *group) bootstrap(voters int) {
	list := []Member{}
	for i := 1; i <= voters; i++ {
		list = append(list, Member{ID: identifier.Node(i), Addr: fmt.Sprint(i), Voter: true})
	}
	for len(list) < g.maxMembers && g.losePairs {
		list = append(list, Member{ID: identifier.Node(len(list) + 1), Addr: fmt.Sprint(len(list) + 1)})
	}
	for _, m := range list {
		at := identifier.Index(0)
		if m.Voter {
			at = 1
		}
		g.start(g.addHost(list, at))
	}
}

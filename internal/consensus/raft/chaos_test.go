package raft

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand"
	"sync"
	"testing"

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

// apply takes an entry into a member's state, which must then be what any
// other's was at this index.
func (g *group) apply(h *host, e Entry) {
	hash := fnv.New64a()
	hash.Write(h.encodeState())
	hash.Write([]byte(entryKey(e)))
	h.checksum = hash.Sum64()
	if was, ok := g.stateChecksums[e.Index]; ok && was != h.checksum {
		g.failf("host %d has another state at %d than others had", h.id, e.Index)
	}
	g.stateChecksums[e.Index] = h.checksum
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

// restart crashes a host and, soon or late, starts it again.
func (g *group) restart(h *host) {
	if !h.up {
		return
	}
	g.crash(h)
	wait := g.random.Int63n(40)
	if g.random.Intn(3) == 0 {
		wait = g.random.Int63n(3000)
	}
	g.after(wait, func() {
		if !h.up && !h.lost {
			g.start(h)
		}
	})
}

// restartTwoVoters bounces two voters at once; now and then one of them is lost for good.
func (g *group) restartTwoVoters() {
	k := g.leader()
	if !g.losePairs || k == nil {
		return
	}
	list := []*host{}
	for _, m := range k.raft.Members() {
		if h := g.hosts[m.ID-1]; m.Voter && h.up {
			list = append(list, h)
		}
	}
	g.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if len(list) < 2 {
		return
	}
	g.pairsLost++
	for i, h := range list[:2] {
		if i == 0 && g.random.Intn(3) == 0 && g.quorumSurvives(h) {
			g.crash(h)
			h.lost = true
			g.hostsLost++
			continue
		}
		g.restart(h)
	}
}

// quorumSurvives tells whether, with one more host lost for good, the last two lists of
// members that anyone goes by or has on its disk keep a majority of voters.
func (g *group) quorumSurvives(lost *host) bool {
	for _, h := range g.hosts {
		if h.lost {
			continue
		}
		lists := [][]Member{h.snapshot.Members}
		for _, e := range h.entries {
			if e.Kind == EntryConfig {
				lists = append(lists, decodeMembers(e))
			}
		}
		if h.up {
			lists = append(lists, h.raft.Members())
		}
		for _, list := range lists[len(lists)-min(2, len(lists)):] {
			voters, left := 0, 0
			for _, m := range list {
				if m.Voter {
					voters++
				}
				if one := g.hosts[m.ID-1]; m.Voter && !one.lost && one != lost {
					left++
				}
			}
			if left <= voters/2 {
				return false
			}
		}
	}
	return true
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

// entryKey tells entries apart.
func entryKey(e Entry) string {
	return fmt.Sprint(e.Term, e.Kind, string(e.Data[max(0, len(e.Data)-64):]))
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

// checkAcknowledged checks that what a member acknowledged to a leader stays in its log
// for as long as that leader's term lasts.
func (h *host) checkAcknowledged(g *group, msgs []Message) {
	for _, m := range msgs {
		if m.Kind != AppendReply || m.Reject {
			continue
		}
		if m.Term > h.ackedTerm {
			h.ackedIndex, h.ackedTerm = 0, m.Term
		}
		h.ackedIndex = max(h.ackedIndex, m.Index)
	}
	if h.raft.Term() == h.ackedTerm && h.raft.LastIndex() < h.ackedIndex {
		g.failf("host %d acknowledged entry %d of term %d, and its log ends at %d", h.id, h.ackedIndex, h.ackedTerm, h.raft.LastIndex())
	}
}

// checkLeader checks that a term has one leader and that it has all that was ever
// committed.
func (g *group) checkLeader(h *host) {
	if was, ok := g.leaders[h.raft.Term()]; ok {
		if was != h.id {
			g.failf("term %d has the leaders %d and %d", h.raft.Term(), was, h.id)
		}
		return
	}
	g.leaders[h.raft.Term()] = h.id
	if g.faultsEnabled && g.random.Intn(3) == 0 {
		g.after(g.random.Int63n(80), func() { g.restart(h) })
	}
	if h.raft.LastIndex() < g.lastCommitted {
		g.failf("leader %d of term %d ends at %d, committed is %d", h.id, h.raft.Term(), h.raft.LastIndex(), g.lastCommitted)
	}
	for _, e := range h.raft.log.entries {
		if word, ok := g.committed[e.Index]; ok && word != entryKey(e) {
			g.failf("leader %d of term %d has other content at %d than was committed", h.id, h.raft.Term(), e.Index)
		}
	}
}

// checkLeases counts who may act alone at this moment.
func (g *group) checkLeases() {
	n := 0
	for _, h := range g.hosts {
		if h.up && h.raft.HasLease(g.monotonic(h)) {
			n++
		}
	}
	for _, h := range g.hosts {
		if h.up && h.raft.Role() == Leader && h.raft.CommitIndex() >= h.raft.TermStart() {
			g.newestCommittedTerm = max(g.newestCommittedTerm, h.raft.Term())
		}
	}
	for _, h := range g.hosts {
		if h.up && h.raft.HasLease(g.monotonic(h)) && h.raft.Term() < g.newestCommittedTerm {
			g.failf("leader %d of term %d holds a lease, term %d has committed", h.id, h.raft.Term(), g.newestCommittedTerm)
		}
	}
	if n > 1 {
		g.failf("%d leaders hold a lease at once", n)
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

// injectFault does something bad now and then, and changes seats under way.
func (g *group) injectFault() {
	h := g.hosts[g.random.Intn(len(g.hosts))]
	other := g.hosts[g.random.Intn(len(g.hosts))]
	switch n := g.random.Intn(6000); {
	case n < 8 && h.up:
		g.crash(h)
	case n < 30 && !h.up && !h.lost:
		g.start(h)
	case n < 50 && h != other:
		g.blockedLinks[[2]identifier.Node{h.id, other.id}] = true
	case n < 62:
		g.blockedLinks = map[[2]identifier.Node]bool{}
	case n < 72 && h.up && h.applied > h.raft.SnapshotIndex()+20:
		h.raft.Compact(h.applied, h.encodeState())
		g.processOutput(h)
	case n < 76 && h.up && h.raft.Role() == Leader:
		h.raft.TransferLeadership()
		g.processOutput(h)
	case n < 86:
		g.changeMembership()
	case n < 92:
		if k := g.leader(); k != nil {
			g.restart(k)
		}
	case n < 106:
		g.restart(h)
	case n < 110:
		if k := g.leader(); k != nil {
			for _, one := range g.hosts {
				if one != k {
					g.blockedLinks[[2]identifier.Node{k.id, one.id}], g.blockedLinks[[2]identifier.Node{one.id, k.id}] = true, true
				}
			}
		}
	case n < 120:
		g.changeMembership()
		g.after(g.random.Int63n(10), g.changeMembership)
		g.after(g.random.Int63n(30), g.changeMembership)
		for i := 0; i < 4 && g.losePairs; i++ {
			g.after(g.random.Int63n(40), g.changeMembership)
		}
	case n < 150:
		g.restartTwoVoters()
	case n < 260 && g.losePairs:
		g.changeMembership()
	case n < 202 && g.pauseProcesses && h.up:
		g.pauses++
		h.pausedUntil = g.now + g.random.Int63n(2500)
	}
}

// changeMembership moves one seat on the way the keepers do: a learner is taken in, made a
// voter when it has caught up, and then some other voter leaves.
func (g *group) changeMembership() {
	k := g.leader()
	if k == nil {
		return
	}
	list, voters, learner := []Member{}, 0, identifier.Node(0)
	for _, m := range k.raft.Members() {
		if m.Voter {
			voters++
		} else {
			learner = m.ID
		}
		list = append(list, m)
	}
	switch {
	case voters > g.wantVoters:
		out := list[g.random.Intn(len(list))]
		for _, m := range list {
			if m.Voter && g.hosts[m.ID-1].lost {
				out = m
			}
		}
		if !out.Voter || out.ID == k.id {
			return
		}
		for i := range list {
			if list[i].ID == out.ID {
				list = append(list[:i], list[i+1:]...)
				break
			}
		}
	case g.losePairs && g.canAddHost(list), learner == 0 && g.canAddHost(list):
		fresh := g.addHost(append([]Member(nil), list...), 0)
		list = append(list, Member{ID: fresh.id, Addr: fmt.Sprint(fresh.id)})
		g.start(fresh)
	case learner != 0:
		p := k.raft.peers[learner]
		if p == nil || p.match < k.raft.TermStart() || p.match+64 < k.raft.CommitIndex() {
			return
		}
		for i := range list {
			list[i].Voter = list[i].Voter || list[i].ID == learner
		}
	default:
		return
	}
	if k.raft.ProposeMembers(list) {
		g.membershipChanges++
		k.raft.Flush()
		g.processOutput(k)
		if g.faultsEnabled && g.losePairs && g.random.Intn(3) == 0 {
			g.after(g.random.Int63n(60), g.restartTwoVoters)
		}
	}
}

// canAddHost tells whether another host may join.
func (g *group) canAddHost(list []Member) bool {
	return len(g.hosts) < g.maxHosts && len(list) < g.maxMembers
}

// TestChaos runs members through crashes that lose what was not synced, cuts
// in one direction and both, lost, doubled and late messages, views, handed-on
// leadership and changing seats. After every step: one leader a term, one
// lease at a time, nothing committed is lost or differs, and what is handed
// out has no gap. When all is mended, all agree and go on.
func TestChaos(t *testing.T) {
	terms, seats := 0, 0
	var lock sync.Mutex
	t.Run("seeds", func(t *testing.T) {
		for seed := int64(1); seed <= 150; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				g := runChaos(seed)
				if g.failure != "" {
					t.Errorf("seed %d: %s", seed, g.failure)
				}
				lock.Lock()
				defer lock.Unlock()
				terms, seats = terms+len(g.leaders), seats+g.membershipChanges
			})
		}
	})
	if terms < 400 || seats < 150 {
		t.Errorf("too little evidence: %d terms, %d seats changed", terms, seats)
	}
	t.Logf("%d terms had a leader, %d changes of seats", terms, seats)
}

// TestChaosFiveVoters is the same with five voters of six members and of eight: two
// are lost at the same moment, also while a seat changes, and some of them for
// good, so that an empty one takes the seat.
func TestChaosFiveVoters(t *testing.T) {
	for _, most := range []int{6, 8} {
		terms, seats, both, wiped := 0, 0, 0, 0
		var lock sync.Mutex
		t.Run(fmt.Sprint(most), func(t *testing.T) {
			for seed := int64(1); seed <= 80; seed++ {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					t.Parallel()
					g := newGroup(seed)
					g.wantVoters, g.maxMembers, g.maxHosts, g.losePairs = 5, most, 24, true
					g.run(5)
					if g.failure != "" {
						t.Errorf("seed %d: %s", seed, g.failure)
					}
					lock.Lock()
					defer lock.Unlock()
					terms, seats, both, wiped = terms+len(g.leaders), seats+g.membershipChanges, both+g.pairsLost, wiped+g.hostsLost
				})
			}
		})
		if terms < 200 || seats < 200 || both < 150 || wiped < 30 {
			t.Errorf("of %d: too little evidence: %d terms, %d seats, %d pairs lost, %d hosts for good", most, terms, seats, both, wiped)
		}
		t.Logf("of %d: %d terms had a leader, %d changes of seats, %d pairs lost at once, %d hosts for good", most, terms, seats, both, wiped)
	}
}

func runChaos(seed int64) *group {
	g := newGroup(seed)
	g.wantVoters, g.maxMembers, g.maxHosts = 3, 6, 6
	g.run(3 + 2*int(seed%2))
	return g
}

func newGroup(seed int64) *group {
	return &group{random: rand.New(rand.NewSource(seed)), blockedLinks: map[[2]identifier.Node]bool{}, leaders: map[identifier.Term]identifier.Node{}, committed: map[identifier.Index]string{},
		meanWriteMs: []int{2, 6, 25}[seed%3], entryBytes: []int{4, 50 << 10}[seed/3%2], faultIntervalMs: []int{2, 4, 8, 16}[seed%4], scheduled: map[int64][]func(){}, meanProposalMs: 40, maxDrift: 20, maxDelayMs: 900, timing: DefaultTiming(), stateChecksums: map[identifier.Index]uint64{}}
}

// maxLagMs is how far behind a member of a mended group may be, in ms of proposals.
const maxLagMs = 8000

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

// run lets a group of so many voters loose, mends all, and wants it to go on.
func (g *group) run(voters int) {
	g.bootstrap(voters)
	for g.now < 20000 && g.failure == "" {
		g.step(true)
	}
	g.blockedLinks = map[[2]identifier.Node]bool{}
	for _, h := range g.hosts {
		if !h.up && !h.lost {
			g.start(h)
		}
	}
	before := g.lastCommitted
	for end := g.now + 12000; g.now < end && g.failure == ""; {
		g.step(false)
	}
	k := g.leader()
	if k == nil || g.lastCommitted < before+20 {
		g.failf("mended, the group does not go on: %d committed, then %d", before, g.lastCommitted)
		return
	}
	for _, m := range k.raft.Members() {
		if h := g.hosts[m.ID-1]; !h.lost && h.applied+identifier.Index(maxLagMs/g.meanProposalMs) < g.lastCommitted {
			g.failf("member %d is at %d, the group at %d", m.ID, h.applied, g.lastCommitted)
		}
	}
}

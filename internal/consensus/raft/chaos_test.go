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
	id    identifier.Node
	r     *Raft
	up    bool
	born  int64
	drift float64
	hard  HardState
	view  *Snapshot
	list  []Entry
	todo  Backlog
	draft *Snapshot
	at    identifier.Index
	seen  map[identifier.Index]string
	gone  bool
	// acked is the last index it acknowledged, and in which term.
	acked     identifier.Index
	ackedTerm identifier.Term
	// asleep is until when its process stands still.
	asleep int64
	// sum is a checksum over all that was applied; snapshots carry it.
	sum uint64
}

// state is what a snapshot of a member's state holds.
func (h *host) state() []byte { return binary.BigEndian.AppendUint64(nil, h.sum) }

func (h *host) restore(v *Snapshot) {
	h.sum = 0
	if len(v.Data) >= 8 {
		h.sum = binary.BigEndian.Uint64(v.Data)
	}
}

// apply takes an entry into a member's state, which must then be what any
// other's was at this index.
func (g *group) apply(h *host, e Entry) {
	hash := fnv.New64a()
	hash.Write(h.state())
	hash.Write([]byte(stamp(e)))
	h.sum = hash.Sum64()
	if was, ok := g.sums[e.Index]; ok && was != h.sum {
		g.fail("host %d has another state at %d than others had", h.id, e.Index)
	}
	g.sums[e.Index] = h.sum
}

// flightMsg is a message on its way.
type flightMsg struct {
	at  int64
	msg Message
}

// group is a chaos of hosts on one true clock, in ms.
type group struct {
	rnd   *rand.Rand
	now   int64
	hosts []*host
	air   []flightMsg
	cuts  map[[2]identifier.Node]bool
	// leads is who led each term, done what is committed at each index.
	leads  map[identifier.Term]identifier.Node
	done   map[identifier.Index]string
	top    identifier.Index
	count  int
	seats  int
	failed string
	// disk is how many ms a write takes on average, size the bytes of an entry.
	disk, size, mild int
	// later holds what is to happen at its ms.
	later map[int64][]func()
	wild  bool
	// want is how many vote, most how many members there may be, hosts over time.
	want, most, hostsMost int
	// pairs says that two hosts are lost at once now and then, and that a host
	// may be lost for good, its disk with it, and an empty one come.
	pairs bool
	both  int
	wiped int
	// tail overrides how much of the log is kept behind a snapshot.
	tail *tailLimit
	// loaded counts the snapshots that replaced a member's state.
	loaded int
	// compactOften has members take snapshots every few entries.
	compactOften bool
	// proposeEvery is how many ms lie between proposals on average.
	proposeEvery int
	// drift is by how much a clock may be off, in 1/10000, and lateMs how late a
	// doubled message may be.
	drift  int
	lateMs int64
	// sleeps has processes stand still now and then; slept counts how often.
	sleeps bool
	slept  int
	// timing is the members' own, the usual one when unset. Prompt lines lose
	// nothing and take a millisecond.
	timing Timing
	prompt bool
	// decided is the newest term in which a leader has committed.
	decided identifier.Term
	// sums are the checksums of the state at each index.
	sums map[identifier.Index]uint64
}

func (g *group) in(ms int64, do func()) { g.later[g.now+1+ms] = append(g.later[g.now+1+ms], do) }

// bounce crashes a host and, soon or late, starts it again.
func (g *group) bounce(h *host) {
	if !h.up {
		return
	}
	g.crash(h)
	wait := g.rnd.Int63n(40)
	if g.rnd.Intn(3) == 0 {
		wait = g.rnd.Int63n(3000)
	}
	g.in(wait, func() {
		if !h.up && !h.gone {
			g.begin(h)
		}
	})
}

// two bounces two voters at once; now and then one of them is lost for good.
func (g *group) two() {
	k := g.head()
	if !g.pairs || k == nil {
		return
	}
	list := []*host{}
	for _, m := range k.r.Members() {
		if h := g.hosts[m.ID-1]; m.Voter && h.up {
			list = append(list, h)
		}
	}
	g.rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if len(list) < 2 {
		return
	}
	g.both++
	for i, h := range list[:2] {
		if i == 0 && g.rnd.Intn(3) == 0 && g.spared(h) {
			g.crash(h)
			h.gone = true
			g.wiped++
			continue
		}
		g.bounce(h)
	}
}

// spared tells whether, with one more host lost for good, the last two lists of
// members that anyone goes by or has on its disk keep a majority of voters.
func (g *group) spared(lost *host) bool {
	for _, h := range g.hosts {
		if h.gone {
			continue
		}
		lists := [][]Member{h.view.Members}
		for _, e := range h.list {
			if e.Kind == EntryConfig {
				lists = append(lists, read(e))
			}
		}
		if h.up {
			lists = append(lists, h.r.Members())
		}
		for _, list := range lists[len(lists)-min(2, len(lists)):] {
			voters, left := 0, 0
			for _, m := range list {
				if m.Voter {
					voters++
				}
				if one := g.hosts[m.ID-1]; m.Voter && !one.gone && one != lost {
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

func read(e Entry) []Member {
	var list []Member
	if err := json.Unmarshal(e.Data, &list); err != nil {
		panic(err)
	}
	return list
}

func (g *group) fail(text string, args ...any) {
	if g.failed == "" {
		g.failed = fmt.Sprintf("at %d: ", g.now) + fmt.Sprintf(text, args...)
	}
}

func (g *group) mono(h *host) clock.Monotonic {
	return clock.Monotonic(float64(g.now-h.born) * (1 + h.drift))
}

func (g *group) add(members []Member, at identifier.Index) *host {
	h := &host{id: identifier.Node(len(g.hosts) + 1), drift: float64(g.rnd.Intn(2*g.drift+1)-g.drift) / 10000, view: &Snapshot{Index: at, Term: identifier.Term(at), Members: members}}
	g.hosts = append(g.hosts, h)
	return h
}

func (g *group) begin(h *host) {
	h.up, h.born, h.asleep, h.todo, h.draft, h.at = true, g.now, 0, Backlog{}, nil, h.view.Index
	h.seen = map[identifier.Index]string{}
	h.restore(h.view)
	h.r = New(h.id, g.timing, g.rnd.Int63(), 0, h.hard, h.view, append([]Entry(nil), h.list...))
	if g.tail != nil {
		h.r.tail = *g.tail
	}
}

func (g *group) crash(h *host) { h.up, h.r = false, nil }

// save puts a write on a host's disk.
func (h *host) save(w *Write) {
	if w.HardState != nil {
		h.hard = *w.HardState
	}
	if w.Snapshot != nil {
		h.view = w.Snapshot
		kept := []Entry{}
		for _, e := range h.list {
			if e.Index > w.Snapshot.Index {
				kept = append(kept, e)
			}
		}
		if len(kept) > 0 && kept[0].Index != w.Snapshot.Index+1 {
			kept = nil
		}
		h.list = kept
	}
	if len(w.Entries) > 0 {
		first := w.Entries[0].Index
		kept := []Entry{}
		for _, e := range h.list {
			if e.Index < first {
				kept = append(kept, e)
			}
		}
		h.list = append(kept, w.Entries...)
	}
	// A snapshot of its own may be down before entries that it covers: as in
	// the ring, those don't count.
	for len(h.list) > 0 && h.list[0].Index <= h.view.Index {
		h.list = h.list[1:]
	}
}

// stamp tells entries apart.
func stamp(e Entry) string {
	return fmt.Sprint(e.Term, e.Kind, string(e.Data[max(0, len(e.Data)-64):]))
}

// out carries out what a host's last input led to, and judges it.
func (g *group) out(h *host) {
	o := h.r.TakeOutput()
	if o.InstalledSnapshot != nil {
		g.loaded++
		h.restore(o.InstalledSnapshot)
		h.at = o.InstalledSnapshot.Index
	}
	for _, m := range o.Messages {
		if g.prompt {
			g.air = append(g.air, flightMsg{g.now + 1, m})
			continue
		}
		if !g.cuts[[2]identifier.Node{m.From, m.To}] && g.rnd.Intn(100) >= 2 {
			g.air = append(g.air, flightMsg{g.now + 1 + g.rnd.Int63n(30), m})
			if g.rnd.Intn(50) == 0 {
				g.air = append(g.air, flightMsg{g.now + 1 + g.rnd.Int63n(g.lateMs), m})
			}
		}
	}
	h.keepsWord(g, o.Messages)
	if o.LocalSnapshot != nil {
		h.draft = o.LocalSnapshot
	}
	if o.Write != nil {
		h.todo.Add(o.Write)
		if o.Write.HardState != nil && o.Write.HardState.Vote != 0 && g.wild && g.rnd.Intn(6) == 0 {
			g.in(0, func() { g.bounce(h) })
		}
	}
	for _, e := range o.Committed {
		if e.Index != h.at+1 {
			g.fail("host %d hands out entry %d after %d", h.id, e.Index, h.at)
		}
		h.at = e.Index
		word := stamp(e)
		if was, ok := g.done[e.Index]; ok && was != word {
			g.fail("host %d has %s at %d, another committed %s", h.id, word, e.Index, was)
		}
		g.apply(h, e)
		g.done[e.Index], g.top = word, max(g.top, e.Index)
	}
	if h.r.Role() == Leader {
		g.leader(h)
	}
}

// keepsWord checks that what a member acknowledged to a leader stays in its log
// for as long as that leader's term lasts.
func (h *host) keepsWord(g *group, msgs []Message) {
	for _, m := range msgs {
		if m.Kind != AppendReply || m.Reject {
			continue
		}
		if m.Term > h.ackedTerm {
			h.acked, h.ackedTerm = 0, m.Term
		}
		h.acked = max(h.acked, m.Index)
	}
	if h.r.Term() == h.ackedTerm && h.r.LastIndex() < h.acked {
		g.fail("host %d acknowledged entry %d of term %d, and its log ends at %d", h.id, h.acked, h.ackedTerm, h.r.LastIndex())
	}
}

// leader checks that a term has one leader and that it has all that was ever
// committed.
func (g *group) leader(h *host) {
	if was, ok := g.leads[h.r.Term()]; ok {
		if was != h.id {
			g.fail("term %d has the leaders %d and %d", h.r.Term(), was, h.id)
		}
		return
	}
	g.leads[h.r.Term()] = h.id
	if g.wild && g.rnd.Intn(3) == 0 {
		g.in(g.rnd.Int63n(80), func() { g.bounce(h) })
	}
	if h.r.LastIndex() < g.top {
		g.fail("leader %d of term %d ends at %d, committed is %d", h.id, h.r.Term(), h.r.LastIndex(), g.top)
	}
	for _, e := range h.r.log.list {
		if word, ok := g.done[e.Index]; ok && word != stamp(e) {
			g.fail("leader %d of term %d has other content at %d than was committed", h.id, h.r.Term(), e.Index)
		}
	}
}

// leased counts who may act alone at this moment.
func (g *group) leased() {
	n := 0
	for _, h := range g.hosts {
		if h.up && h.r.HasLease(g.mono(h)) {
			n++
		}
	}
	for _, h := range g.hosts {
		if h.up && h.r.Role() == Leader && h.r.CommitIndex() >= h.r.TermStart() {
			g.decided = max(g.decided, h.r.Term())
		}
	}
	for _, h := range g.hosts {
		if h.up && h.r.HasLease(g.mono(h)) && h.r.Term() < g.decided {
			g.fail("leader %d of term %d holds a lease, term %d has committed", h.id, h.r.Term(), g.decided)
		}
	}
	if n > 1 {
		g.fail("%d leaders hold a lease at once", n)
	}
}

func (g *group) head() *host {
	var h *host
	for _, one := range g.hosts {
		if one.up && one.r.Role() == Leader && (h == nil || one.r.Term() > h.r.Term()) {
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
	g.wild = wild
	for _, do := range g.later[g.now] {
		do()
	}
	delete(g.later, g.now)
	kept := g.air[:0]
	due := []Message{}
	for _, f := range g.air {
		if f.at > g.now {
			kept = append(kept, f)
			continue
		}
		if h := g.hosts[f.msg.To-1]; h.up && g.now < h.asleep {
			kept = append(kept, flightMsg{h.asleep, f.msg})
			continue
		}
		due = append(due, f.msg)
	}
	g.air = kept
	for _, m := range due {
		if h := g.hosts[m.To-1]; h.up && !g.cuts[[2]identifier.Node{m.From, m.To}] {
			h.r.Step(m, g.mono(h), 0)
			g.out(h)
		}
	}
	for _, h := range g.hosts {
		if !h.up || g.now < h.asleep {
			continue
		}
		if h.draft != nil && g.rnd.Intn(4*g.disk) == 0 {
			if h.draft.Index > h.view.Index {
				h.save(&Write{Snapshot: h.draft})
			}
			h.draft = nil
		}
		if h.todo.Len() > 0 && g.rnd.Intn(g.disk) == 0 {
			w := h.todo.Next()
			h.save(w)
			h.r.Synced(w.Seq)
			g.out(h)
		}
		if g.compactOften && h.at > h.r.SnapshotIndex()+4 && g.rnd.Intn(50) == 0 {
			h.r.Compact(h.at, h.state())
			g.out(h)
		}
		if g.prompt || g.now%20 == int64(h.id)%20 {
			h.r.Tick(g.mono(h), 0)
			g.out(h)
		}
	}
	if k := g.head(); k != nil && g.now >= k.asleep && g.rnd.Intn(g.proposeEvery) == 0 {
		g.count++
		k.r.Propose(payload(g.count, g.size))
		k.r.Flush()
		g.out(k)
	}
	g.leased()
	if wild && g.rnd.Intn(g.mild) == 0 {
		g.harm()
	}
}

// harm does something bad now and then, and changes seats under way.
func (g *group) harm() {
	h := g.hosts[g.rnd.Intn(len(g.hosts))]
	other := g.hosts[g.rnd.Intn(len(g.hosts))]
	switch n := g.rnd.Intn(6000); {
	case n < 8 && h.up:
		g.crash(h)
	case n < 30 && !h.up && !h.gone:
		g.begin(h)
	case n < 50 && h != other:
		g.cuts[[2]identifier.Node{h.id, other.id}] = true
	case n < 62:
		g.cuts = map[[2]identifier.Node]bool{}
	case n < 72 && h.up && h.at > h.r.SnapshotIndex()+20:
		h.r.Compact(h.at, h.state())
		g.out(h)
	case n < 76 && h.up && h.r.Role() == Leader:
		h.r.TransferLeadership()
		g.out(h)
	case n < 86:
		g.seat()
	case n < 92:
		if k := g.head(); k != nil {
			g.bounce(k)
		}
	case n < 106:
		g.bounce(h)
	case n < 110:
		if k := g.head(); k != nil {
			for _, one := range g.hosts {
				if one != k {
					g.cuts[[2]identifier.Node{k.id, one.id}], g.cuts[[2]identifier.Node{one.id, k.id}] = true, true
				}
			}
		}
	case n < 120:
		g.seat()
		g.in(g.rnd.Int63n(10), g.seat)
		g.in(g.rnd.Int63n(30), g.seat)
		for i := 0; i < 4 && g.pairs; i++ {
			g.in(g.rnd.Int63n(40), g.seat)
		}
	case n < 150:
		g.two()
	case n < 260 && g.pairs:
		g.seat()
	case n < 202 && g.sleeps && h.up:
		g.slept++
		h.asleep = g.now + g.rnd.Int63n(2500)
	}
}

// seat moves one seat on the way the keepers do: a learner is taken in, made a
// voter when it has caught up, and then some other voter leaves.
func (g *group) seat() {
	k := g.head()
	if k == nil {
		return
	}
	list, voters, learner := []Member{}, 0, identifier.Node(0)
	for _, m := range k.r.Members() {
		if m.Voter {
			voters++
		} else {
			learner = m.ID
		}
		list = append(list, m)
	}
	switch {
	case voters > g.want:
		out := list[g.rnd.Intn(len(list))]
		for _, m := range list {
			if m.Voter && g.hosts[m.ID-1].gone {
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
	case g.pairs && g.room(list), learner == 0 && g.room(list):
		fresh := g.add(append([]Member(nil), list...), 0)
		list = append(list, Member{ID: fresh.id, Addr: fmt.Sprint(fresh.id)})
		g.begin(fresh)
	case learner != 0:
		p := k.r.peers[learner]
		if p == nil || p.match < k.r.TermStart() || p.match+64 < k.r.CommitIndex() {
			return
		}
		for i := range list {
			list[i].Voter = list[i].Voter || list[i].ID == learner
		}
	default:
		return
	}
	if k.r.ProposeMembers(list) {
		g.seats++
		k.r.Flush()
		g.out(k)
		if g.wild && g.pairs && g.rnd.Intn(3) == 0 {
			g.in(g.rnd.Int63n(60), g.two)
		}
	}
}

// room tells whether another host may join.
func (g *group) room(list []Member) bool {
	return len(g.hosts) < g.hostsMost && len(list) < g.most
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
				g := chaos(seed)
				if g.failed != "" {
					t.Errorf("seed %d: %s", seed, g.failed)
				}
				lock.Lock()
				defer lock.Unlock()
				terms, seats = terms+len(g.leads), seats+g.seats
			})
		}
	})
	if terms < 400 || seats < 150 {
		t.Errorf("too little evidence: %d terms, %d seats changed", terms, seats)
	}
	t.Logf("%d terms had a leader, %d changes of seats", terms, seats)
}

// TestChaosOfFive is the same with five voters of six members and of eight: two
// are lost at the same moment, also while a seat changes, and some of them for
// good, so that an empty one takes the seat.
func TestChaosOfFive(t *testing.T) {
	for _, most := range []int{6, 8} {
		terms, seats, both, wiped := 0, 0, 0, 0
		var lock sync.Mutex
		t.Run(fmt.Sprint(most), func(t *testing.T) {
			for seed := int64(1); seed <= 80; seed++ {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					t.Parallel()
					g := weather(seed)
					g.want, g.most, g.hostsMost, g.pairs = 5, most, 24, true
					g.run(5)
					if g.failed != "" {
						t.Errorf("seed %d: %s", seed, g.failed)
					}
					lock.Lock()
					defer lock.Unlock()
					terms, seats, both, wiped = terms+len(g.leads), seats+g.seats, both+g.both, wiped+g.wiped
				})
			}
		})
		if terms < 200 || seats < 200 || both < 150 || wiped < 30 {
			t.Errorf("of %d: too little evidence: %d terms, %d seats, %d pairs lost, %d hosts for good", most, terms, seats, both, wiped)
		}
		t.Logf("of %d: %d terms had a leader, %d changes of seats, %d pairs lost at once, %d hosts for good", most, terms, seats, both, wiped)
	}
}

func chaos(seed int64) *group {
	g := weather(seed)
	g.want, g.most, g.hostsMost = 3, 6, 6
	g.run(3 + 2*int(seed%2))
	return g
}

func weather(seed int64) *group {
	return &group{rnd: rand.New(rand.NewSource(seed)), cuts: map[[2]identifier.Node]bool{}, leads: map[identifier.Term]identifier.Node{}, done: map[identifier.Index]string{},
		disk: []int{2, 6, 25}[seed%3], size: []int{4, 50 << 10}[seed/3%2], mild: []int{2, 4, 8, 16}[seed%4], later: map[int64][]func(){}, proposeEvery: 40, drift: 20, lateMs: 900, timing: DefaultTiming(), sums: map[identifier.Index]uint64{}}
}

// lagMs is how far behind a member of a mended group may be, in ms of proposals.
const lagMs = 8000

// found begins a group of so many voters.
func (g *group) found(voters int) {
	list := []Member{}
	for i := 1; i <= voters; i++ {
		list = append(list, Member{ID: identifier.Node(i), Addr: fmt.Sprint(i), Voter: true})
	}
	for len(list) < g.most && g.pairs {
		list = append(list, Member{ID: identifier.Node(len(list) + 1), Addr: fmt.Sprint(len(list) + 1)})
	}
	for _, m := range list {
		at := identifier.Index(0)
		if m.Voter {
			at = 1
		}
		g.begin(g.add(list, at))
	}
}

// run lets a group of so many voters loose, mends all, and wants it to go on.
func (g *group) run(voters int) {
	g.found(voters)
	for g.now < 20000 && g.failed == "" {
		g.step(true)
	}
	g.cuts = map[[2]identifier.Node]bool{}
	for _, h := range g.hosts {
		if !h.up && !h.gone {
			g.begin(h)
		}
	}
	before := g.top
	for end := g.now + 12000; g.now < end && g.failed == ""; {
		g.step(false)
	}
	k := g.head()
	if k == nil || g.top < before+20 {
		g.fail("mended, the group does not go on: %d committed, then %d", before, g.top)
		return
	}
	for _, m := range k.r.Members() {
		if h := g.hosts[m.ID-1]; !h.gone && h.at+identifier.Index(lagMs/g.proposeEvery) < g.top {
			g.fail("member %d is at %d, the group at %d", m.ID, h.at, g.top)
		}
	}
}

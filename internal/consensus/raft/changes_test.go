package raft

import (
	"bytes"
	"fmt"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

const (
	// changeBytes is the size of a large configuration.
	changeBytes = 300 << 10
	// snapshotEvery is how many bytes of changes a keeper logs between
	// snapshots.
	snapshotEvery = 8 << 20
)

// changes is a group that logs large changes and takes snapshots as keepers do.
type changes struct {
	*group
	t     *testing.T
	state []byte
	most  int
	loads map[identifier.Index]bool
	// weighed is what each log was like when it was last weighed.
	weighed map[identifier.Node][3]identifier.Index
}

func newChanges(t *testing.T, seed int64, stateBytes int) *changes {
	g := weather(seed)
	g.disk, g.size, g.want, g.most, g.hostsMost = 2, changeBytes, 3, 6, 6
	c := &changes{group: g, t: t, state: bytes.Repeat([]byte("s"), stateBytes), loads: map[identifier.Index]bool{}, weighed: map[identifier.Node][3]identifier.Index{}}
	list := []Member{}
	for i := 1; i <= 3; i++ {
		list = append(list, Member{ID: identifier.Node(i), Addr: fmt.Sprint(i), Voter: true})
	}
	for range list {
		g.begin(g.add(list, 1))
	}
	return c
}

// pass lets some milliseconds pass and judges the memory after each of them.
func (c *changes) pass(ms int64) {
	c.t.Helper()
	for end := c.now + ms; c.now < end && c.failed == ""; {
		c.step(false)
		for _, h := range c.hosts {
			if h.up {
				c.snapshot(h)
				c.weigh(h)
			}
		}
	}
	if c.failed != "" {
		c.t.Fatal(c.failed)
	}
}

// snapshot takes one once enough was applied since the last.
func (c *changes) snapshot(h *host) {
	applied := int(h.at-h.r.SnapshotIndex()) * changeBytes
	if applied < snapshotEvery {
		return
	}
	h.r.Compact(h.at, append(h.state(), c.state...))
	c.out(h)
}

// weigh judges the bytes a member keeps in memory: the tail behind its
// snapshot, what came since, and what is not yet committed.
func (c *changes) weigh(h *host) {
	for _, p := range h.r.peers {
		if p.load != nil {
			c.loads[p.load.Index] = true
		}
	}
	extent := [3]identifier.Index{h.r.log.base, h.r.commit, h.r.log.last()}
	if c.weighed[h.id] == extent {
		return
	}
	c.weighed[h.id] = extent
	bytes, open := 0, 0
	for _, e := range h.r.log.list {
		bytes += e.size()
		if e.Index > h.r.commit {
			open += e.size()
		}
	}
	c.most = max(c.most, bytes-open)
	if limit := defaultTail.loadingBytes + snapshotEvery + 8*changeBytes; bytes-open > limit {
		c.t.Fatalf("at %d host %d keeps %d bytes of committed entries in %d, limit %d", c.now, h.id, bytes-open, len(h.r.log.list), limit)
	}
}

// catchUp wants a member within some entries of the group in so many ms, while
// changes go on coming.
func (c *changes) catchUp(h *host, ms int64) int64 {
	c.t.Helper()
	start := c.now
	for c.now < start+ms {
		c.pass(100)
		if h.up && h.at+5 >= c.top {
			return c.now - start
		}
	}
	c.t.Fatalf("host %d is at %d after %d ms, the group at %d", h.id, h.at, ms, c.top)
	return 0
}

func (c *changes) follower() *host {
	for _, one := range c.hosts {
		if one.up && one != c.head() {
			return one
		}
	}
	return nil
}

// TestHundredsOfChanges: a member is away for some to all of 2,000 changes of
// 300 KB and catches up, by the log or by a snapshot, while changes go on, also
// when meanwhile the leader changes, when it restarts itself, and when the
// snapshot it is sent is superseded. What is kept in memory stays bounded.
func TestHundredsOfChanges(t *testing.T) {
	for _, away := range []int{1, 40, 400, 1900} {
		t.Run(fmt.Sprint(away), func(t *testing.T) {
			t.Parallel()
			c := newChanges(t, int64(away), 3<<20)
			c.pass(4000)
			late := c.follower()
			c.crash(late)
			for from := c.count; c.count < from+away; {
				c.pass(200)
			}
			c.begin(late)
			plain := c.catchUp(late, 12000)
			c.crash(late)
			c.pass(8000)
			c.begin(late)
			c.pass(1200)
			c.bounce(c.head())
			handed := c.catchUp(late, 20000)
			c.crash(late)
			c.pass(8000)
			c.begin(late)
			c.pass(700)
			c.crash(late)
			c.pass(300)
			c.begin(late)
			again := c.catchUp(late, 12000)
			for c.count < 2000 && away > 1000 {
				c.pass(1000)
			}
			t.Logf("away for %d changes: caught up in %d ms; with the leader gone midway %d ms; restarted midway %d ms; %d changes, at most %d bytes kept", away, plain, handed, again, c.count, c.most)
		})
	}
}

// TestLoadOutlastsSnapshots: a state so large that sending it takes longer than
// the leader needs from one snapshot to the next. The follower must find the
// entries after the snapshot it was sent: it begins again seldom, and never for
// ever.
func TestLoadOutlastsSnapshots(t *testing.T) {
	restarts, superseded, longest := 0, 0, int64(0)
	for seed := int64(1); seed <= 6; seed++ {
		c := newChanges(t, seed, 6<<20)
		c.pass(4000)
		late := c.follower()
		c.crash(late)
		c.pass(9000)
		c.begin(late)
		c.pass(300)
		clear(c.loads)
		before := c.head().r.SnapshotIndex()
		longest = max(longest, c.catchUp(late, 15000))
		restarts += len(c.loads) - 1
		if c.head().r.SnapshotIndex() != before {
			superseded++
		}
	}
	if superseded < 4 {
		t.Errorf("too little evidence: of 6 loads %d were superseded by a newer snapshot", superseded)
	}
	if restarts > 6 {
		t.Errorf("6 followers began loading again %d times", restarts)
	}
	t.Logf("6 loads, %d superseded, %d begun again; caught up in %d ms at the longest", superseded, restarts, longest)
}

// TestChaosShortTail is TestChaos with next to no log kept behind a snapshot,
// so that snapshots are sent all the time: late, doubled, superseded, to members
// that restart, by leaders that change.
func TestChaosShortTail(t *testing.T) {
	loaded := make([]int, 30)
	t.Run("seeds", func(t *testing.T) {
		for i := range loaded {
			t.Run(fmt.Sprint(i+1), func(t *testing.T) {
				t.Parallel()
				g := weather(int64(i + 1))
				g.size, g.tail = 4, &tailLimit{entries: 3, bytes: 1 << 20, loadingBytes: 1 << 10}
				g.want, g.most, g.hostsMost = 3, 6, 6
				g.compactOften, g.proposeEvery, g.mild = true, 4, 2
				g.run(3 + 2*(i%2))
				if g.failed != "" {
					t.Errorf("seed %d: %s", i+1, g.failed)
				}
				loaded[i] = g.loaded
			})
		}
	})
	sum := 0
	for _, n := range loaded {
		sum += n
	}
	if sum < 200 {
		t.Errorf("too little evidence: %d snapshots replaced a member's state", sum)
	}
	t.Logf("%d snapshots replaced a member's state", sum)
}

// TestLateLoad: a snapshot that arrives late, after the entries it stands for
// and more were acknowledged, must not take any of them away.
func TestLateLoad(t *testing.T) {
	r := New(1, DefaultTiming(), 1, 0, HardState{Term: 3}, &Snapshot{Index: 1, Term: 1, Members: trio()}, nil)
	m := Message{Kind: AppendEntries, From: 2, To: 1, Term: 3, Index: 1, LogTerm: 1, Commit: 1}
	for i := identifier.Index(2); i <= 100; i++ {
		m.Entries = append(m.Entries, Entry{Index: i, Term: 3, Kind: EntryCommand})
	}
	r.Step(m, 10, 0)
	o := r.TakeOutput()
	r.Synced(o.Write.Seq)
	if o = r.TakeOutput(); len(o.Messages) != 1 || o.Messages[0].Index != 100 {
		t.Fatalf("acknowledged: %+v", o.Messages)
	}
	late := &Snapshot{Index: 80, Term: 3, Members: trio(), Data: []byte("late")}
	r.Step(Message{Kind: InstallSnapshot, From: 2, To: 1, Term: 3, Snapshot: late, Total: 4, Commit: 80}, 20, 0)
	o = r.TakeOutput()
	if r.LastIndex() != 100 {
		t.Errorf("entries to 100 were acknowledged; after a late snapshot at 80 the log ends at %d", r.LastIndex())
	}
	if r.CommitIndex() < 80 || len(o.Committed) != int(r.CommitIndex()-1) {
		t.Errorf("commit %d, %d entries handed out", r.CommitIndex(), len(o.Committed))
	}
}

// TestStalledDiskHoldsLittle: a follower whose disk stands still is sent
// heartbeats for an hour; the acknowledgements that wait for its disk must not
// pile up, and the one given in the end is for the newest heartbeat.
func TestStalledDiskHoldsLittle(t *testing.T) {
	r := New(1, DefaultTiming(), 1, 0, HardState{Term: 3}, &Snapshot{Index: 1, Term: 1, Members: trio()}, nil)
	entry := Entry{Index: 2, Term: 3, Kind: EntryCommand, Data: []byte("x")}
	r.Step(Message{Kind: AppendEntries, From: 2, To: 1, Term: 3, Index: 1, LogTerm: 1, Entries: []Entry{entry}, SentAt: 1}, 10, 0)
	write := r.TakeOutput().Write
	last := clock.Monotonic(0)
	for now := clock.Monotonic(200); now < 3600_000; now += 200 {
		last = now
		r.Step(Message{Kind: AppendEntries, From: 2, To: 1, Term: 3, Index: 2, LogTerm: 3, SentAt: now}, now, 0)
		r.TakeOutput()
	}
	if len(r.pendingMessages) > 2 {
		t.Errorf("%d messages wait for the disk", len(r.pendingMessages))
	}
	r.Synced(write.Seq)
	best := Message{}
	for _, m := range r.TakeOutput().Messages {
		if m.Index >= best.Index && m.SentAt >= best.SentAt {
			best = m
		}
	}
	if best.Index != 2 || best.SentAt != last {
		t.Errorf("after the sync entry %d is acknowledged, for the message of %d, want 2 for that of %d", best.Index, best.SentAt, last)
	}
}

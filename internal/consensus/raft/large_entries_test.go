package raft

import (
	"bytes"
	"fmt"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

const (
	// largeEntryBytes is the size of a large configuration.
	largeEntryBytes = 300 << 10
	// snapshotEvery is how many bytes of changes a keeper logs between
	// snapshots.
	snapshotEvery = 8 << 20
)

// largeEntryGroup is a group that logs large changes and takes snapshots as keepers do.
type largeEntryGroup struct {
	*group
	t                *testing.T
	state            []byte
	maxRetainedBytes int
	transfers        map[identifier.Index]bool
	// checkedExtents is what each log was like when it was last weighed.
	checkedExtents map[identifier.Node][3]identifier.Index
}

func newLargeEntryGroup(t *testing.T, seed int64, stateBytes int) *largeEntryGroup {
	g := newGroup(seed)
	g.meanWriteMs, g.entryBytes, g.wantVoters, g.maxMembers, g.maxHosts = 2, largeEntryBytes, 3, 6, 6
	c := &largeEntryGroup{group: g, t: t, state: bytes.Repeat([]byte("s"), stateBytes), transfers: map[identifier.Index]bool{}, checkedExtents: map[identifier.Node][3]identifier.Index{}}
	list := []Member{}
	for i := 1; i <= 3; i++ {
		list = append(list, Member{ID: identifier.Node(i), Addr: fmt.Sprint(i), Voter: true})
	}
	for range list {
		g.start(g.addHost(list, 1))
	}
	return c
}

// advance lets some milliseconds pass and judges the memory after each of them.
func (c *largeEntryGroup) advance(ms int64) {
	c.t.Helper()
	for end := c.now + ms; c.now < end && c.failure == ""; {
		c.step(false)
		for _, h := range c.hosts {
			if h.up {
				c.takeSnapshot(h)
				c.checkMemory(h)
			}
		}
	}
	if c.failure != "" {
		c.t.Fatal(c.failure)
	}
}

// takeSnapshot takes one once enough was applied since the last.
func (c *largeEntryGroup) takeSnapshot(h *host) {
	applied := int(h.applied-h.raft.SnapshotIndex()) * largeEntryBytes
	if applied < snapshotEvery {
		return
	}
	h.raft.Compact(h.applied, append(h.encodeState(), c.state...))
	c.processOutput(h)
}

// checkMemory judges the bytes a member keeps in memory: the tail behind its
// snapshot, what came since, and what is not yet committed.
func (c *largeEntryGroup) checkMemory(h *host) {
	for _, p := range h.raft.peers {
		if p.transfer.snapshot != nil {
			c.transfers[p.transfer.snapshot.Index] = true
		}
	}
	extent := [3]identifier.Index{h.raft.log.base, h.raft.commit, h.raft.log.last()}
	if c.checkedExtents[h.id] == extent {
		return
	}
	c.checkedExtents[h.id] = extent
	bytes, open := 0, 0
	for _, e := range h.raft.log.entries {
		bytes += e.size()
		if e.Index > h.raft.commit {
			open += e.size()
		}
	}
	c.maxRetainedBytes = max(c.maxRetainedBytes, bytes-open)
	if limit := defaultTail.transferBytes + snapshotEvery + 8*largeEntryBytes; bytes-open > limit {
		c.t.Fatalf("at %d host %d keeps %d bytes of committed entries in %d, limit %d", c.now, h.id, bytes-open, len(h.raft.log.entries), limit)
	}
}

// catchUp wants a member within some entries of the group in so many ms, while
// changes go on coming.
func (c *largeEntryGroup) catchUp(h *host, ms int64) int64 {
	c.t.Helper()
	start := c.now
	for c.now < start+ms {
		c.advance(100)
		if h.up && h.applied+5 >= c.lastCommitted {
			return c.now - start
		}
	}
	c.t.Fatalf("host %d is at %d after %d ms, the group at %d", h.id, h.applied, ms, c.lastCommitted)
	return 0
}

func (c *largeEntryGroup) randomFollower() *host {
	for _, one := range c.hosts {
		if one.up && one != c.leader() {
			return one
		}
	}
	return nil
}

// TestCatchUpWithLargeEntries: a member is away for some to all of 2,000 changes of
// 300 KB and catches up, by the log or by a snapshot, while changes go on, also
// when meanwhile the leader changes, when it restarts itself, and when the
// snapshot it is sent is superseded. What is kept in memory stays bounded.
func TestCatchUpWithLargeEntries(t *testing.T) {
	for _, away := range []int{1, 40, 400, 1900} {
		t.Run(fmt.Sprint(away), func(t *testing.T) {
			t.Parallel()
			c := newLargeEntryGroup(t, int64(away), 3<<20)
			c.advance(4000)
			late := c.randomFollower()
			c.crash(late)
			for from := c.proposals; c.proposals < from+away; {
				c.advance(200)
			}
			c.start(late)
			plain := c.catchUp(late, 12000)
			c.crash(late)
			c.advance(8000)
			c.start(late)
			c.advance(1200)
			c.restart(c.leader())
			handed := c.catchUp(late, 20000)
			c.crash(late)
			c.advance(8000)
			c.start(late)
			c.advance(700)
			c.crash(late)
			c.advance(300)
			c.start(late)
			again := c.catchUp(late, 12000)
			for c.proposals < 2000 && away > 1000 {
				c.advance(1000)
			}
			t.Logf("away for %d changes: caught up in %d ms; with the leader gone midway %d ms; restarted midway %d ms; %d changes, at most %d bytes kept", away, plain, handed, again, c.proposals, c.maxRetainedBytes)
		})
	}
}

// TestSnapshotTransferOutlastsCompaction: a state so large that sending it takes longer than
// the leader needs from one snapshot to the next. The follower must find the
// entries after the snapshot it was sent: it begins again seldom, and never for
// ever.
func TestSnapshotTransferOutlastsCompaction(t *testing.T) {
	restarts, superseded, longest := 0, 0, int64(0)
	for seed := int64(1); seed <= 6; seed++ {
		c := newLargeEntryGroup(t, seed, 6<<20)
		c.advance(4000)
		late := c.randomFollower()
		c.crash(late)
		c.advance(9000)
		c.start(late)
		c.advance(300)
		clear(c.transfers)
		before := c.leader().raft.SnapshotIndex()
		longest = max(longest, c.catchUp(late, 15000))
		restarts += len(c.transfers) - 1
		if c.leader().raft.SnapshotIndex() != before {
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
				g := newGroup(int64(i + 1))
				g.entryBytes, g.tailLimit = 4, &tailLimit{entries: 3, bytes: 1 << 20, transferBytes: 1 << 10}
				g.wantVoters, g.maxMembers, g.maxHosts = 3, 6, 6
				g.compactOften, g.meanProposalMs, g.faultIntervalMs = true, 4, 2
				g.run(3 + 2*(i%2))
				if g.failure != "" {
					t.Errorf("seed %d: %s", i+1, g.failure)
				}
				loaded[i] = g.snapshotsInstalled
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

// TestLateSnapshotKeepsEntries: a snapshot that arrives late, after the entries it stands for
// and more were acknowledged, must not take any of them away.
func TestLateSnapshotKeepsEntries(t *testing.T) {
	r := New(1, DefaultTiming(), 1, 0, HardState{Term: 3}, &Snapshot{Index: 1, Term: 1, Members: threeVoters()}, nil)
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
	late := &Snapshot{Index: 80, Term: 3, Members: threeVoters(), Data: []byte("late")}
	r.Step(Message{Kind: InstallSnapshot, From: 2, To: 1, Term: 3, Snapshot: late, Total: 4, Commit: 80}, 20, 0)
	o = r.TakeOutput()
	if r.LastIndex() != 100 {
		t.Errorf("entries to 100 were acknowledged; after a late snapshot at 80 the log ends at %d", r.LastIndex())
	}
	if r.CommitIndex() < 80 || len(o.Committed) != int(r.CommitIndex()-1) {
		t.Errorf("commit %d, %d entries handed out", r.CommitIndex(), len(o.Committed))
	}
}

// TestStalledDiskQueueBounded: a follower whose disk stands still is sent
// heartbeats for an hour; the acknowledgements that wait for its disk must not
// pile up, and the one given in the end is for the newest heartbeat.
func TestStalledDiskQueueBounded(t *testing.T) {
	r := New(1, DefaultTiming(), 1, 0, HardState{Term: 3}, &Snapshot{Index: 1, Term: 1, Members: threeVoters()}, nil)
	entry := Entry{Index: 2, Term: 3, Kind: EntryCommand, Data: []byte("x")}
	r.Step(Message{Kind: AppendEntries, From: 2, To: 1, Term: 3, Index: 1, LogTerm: 1, Entries: []Entry{entry}, SentAt: 1}, 10, 0)
	write := r.TakeOutput().Write
	last := clock.Monotonic(0)
	for now := clock.Monotonic(200); now < 3600_000; now += 200 {
		last = now
		r.Step(Message{Kind: AppendEntries, From: 2, To: 1, Term: 3, Index: 2, LogTerm: 3, SentAt: now}, now, 0)
		r.TakeOutput()
	}
	if len(r.outbox.pending) > 2 {
		t.Errorf("%d messages wait for the disk", len(r.outbox.pending))
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

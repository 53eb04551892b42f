package raft

import (
	"bytes"
	"fmt"
	"testing"

	"orchidward/internal/api/identifier"
)

const (
	// largeEntryBytes is the size of a large configuration.
	largeEntryBytes = 300 << 10
	// snapshotEveryBytes is how many bytes of entries a server logs between
	// snapshots.
	snapshotEveryBytes = 8 << 20
)

// largeEntryGroup is a group of three that logs large entries and takes snapshots
// of a large state as servers do.
type largeEntryGroup struct {
	*group
	t     *testing.T
	state []byte
	// transfers are the indexes of the snapshots that were seen on their way.
	transfers map[identifier.Index]bool
	// maxRetainedBytes is the most that a log kept of committed entries, and
	// checkedExtents what each log was like when it was last checked.
	maxRetainedBytes int
	checkedExtents   map[identifier.Node]logExtent
}

// logExtent reports whether a log has changed.
type logExtent struct{ base, commit, last identifier.Index }

func newLargeEntryGroup(t *testing.T, seed int64, stateBytes int) *largeEntryGroup {
	t.Helper()
	g := newGroup(seed)
	g.meanWriteMs = 2
	g.entryBytes = largeEntryBytes
	g.wantVoters = 3
	g.maxMembers = 3
	g.maxHosts = 6
	g.bootstrap(3)
	return &largeEntryGroup{
		group:          g,
		t:              t,
		state:          bytes.Repeat([]byte("s"), stateBytes),
		transfers:      map[identifier.Index]bool{},
		checkedExtents: map[identifier.Node]logExtent{},
	}
}

// advance lets some milliseconds pass and checks the memory after each of them.
func (g *largeEntryGroup) advance(ms int64) {
	g.t.Helper()
	for end := g.now + ms; g.now < end && g.failure == ""; {
		g.step(false)
		for _, h := range g.hosts {
			if h.up {
				g.takeSnapshot(h)
				g.checkMemory(h)
			}
		}
	}
	if g.failure != "" {
		g.t.Fatal(g.failure)
	}
}

// takeSnapshot takes one once enough was applied since the last.
func (g *largeEntryGroup) takeSnapshot(h *host) {
	appliedBytes := int(h.applied-h.raft.SnapshotIndex()) * largeEntryBytes
	if appliedBytes < snapshotEveryBytes {
		return
	}
	h.raft.Compact(h.applied, append(h.encodeState(), g.state...))
	g.processOutput(h)
}

// checkMemory checks the bytes of committed entries that a member keeps in memory:
// the tail behind its snapshot, and what came since.
func (g *largeEntryGroup) checkMemory(h *host) {
	for _, p := range h.raft.peers {
		if p.transfer.snapshot != nil {
			g.transfers[p.transfer.snapshot.Index] = true
		}
	}
	extent := logExtent{h.raft.log.base, h.raft.commit, h.raft.log.last()}
	if g.checkedExtents[h.id] == extent {
		return
	}
	g.checkedExtents[h.id] = extent
	committedBytes := 0
	for _, e := range h.raft.log.entries {
		if e.Index <= h.raft.commit {
			committedBytes += e.size()
		}
	}
	g.maxRetainedBytes = max(g.maxRetainedBytes, committedBytes)
	limit := defaultTail.transferBytes + snapshotEveryBytes + 8*largeEntryBytes
	if committedBytes > limit {
		g.t.Fatalf("at %d host %d keeps %d bytes of committed entries in %d, limit %d",
			g.now, h.id, committedBytes, len(h.raft.log.entries), limit)
	}
}

// catchUp wants a host within some entries of the group in so many ms, while
// entries go on coming, and returns how many ms that took.
func (g *largeEntryGroup) catchUp(h *host, ms int64) int64 {
	g.t.Helper()
	start := g.now
	for g.now < start+ms {
		g.advance(100)
		if h.up && h.applied+5 >= g.lastCommitted {
			return g.now - start
		}
	}
	g.t.Fatalf("host %d is at %d after %d ms, the group at %d", h.id, h.applied, ms, g.lastCommitted)
	return 0
}

func (g *largeEntryGroup) firstFollower() *host {
	for _, h := range g.hosts {
		if h.up && h != g.leader() {
			return h
		}
	}
	g.t.Fatal("no follower is up")
	return nil
}

// TestCatchUpWithLargeEntries: a member is away for some to all of 2,000 entries of
// 300 KB and catches up, by the log or by a snapshot, while entries go on coming,
// also when meanwhile the leader changes, when it restarts itself, and when the
// snapshot it is sent is superseded. What is kept in memory stays bounded.
func TestCatchUpWithLargeEntries(t *testing.T) {
	for _, missed := range []int{1, 40, 400, 1900} {
		t.Run(fmt.Sprint(missed), func(t *testing.T) {
			t.Parallel()
			g := newLargeEntryGroup(t, int64(missed), 3<<20)
			g.advance(4000)
			lagging := g.firstFollower()

			lagging.crash()
			for before := g.proposals; g.proposals < before+missed; {
				g.advance(200)
			}
			g.start(lagging)
			catchUpMs := g.catchUp(lagging, 12000)

			lagging.crash()
			g.advance(8000)
			g.start(lagging)
			g.advance(1200)
			g.restart(g.leader())
			leaderRestartMs := g.catchUp(lagging, 20000)

			lagging.crash()
			g.advance(8000)
			g.start(lagging)
			g.advance(700)
			lagging.crash()
			g.advance(300)
			g.start(lagging)
			restartedMs := g.catchUp(lagging, 12000)

			for g.proposals < 2000 && missed > 1000 {
				g.advance(1000)
			}
			t.Logf("away for %d entries: caught up in %d ms; with the leader gone midway %d ms; restarted midway %d ms",
				missed, catchUpMs, leaderRestartMs, restartedMs)
			t.Logf("%d entries, at most %d bytes kept", g.proposals, g.maxRetainedBytes)
		})
	}
}

// TestSnapshotTransferOutlastsCompaction: a state so large that sending it takes
// longer than the leader needs from one snapshot to the next. The follower must
// find the entries after the snapshot it was sent: the transfer starts anew seldom,
// and never for ever.
func TestSnapshotTransferOutlastsCompaction(t *testing.T) {
	restarts := 0
	superseded := 0
	longestMs := int64(0)
	for seed := int64(1); seed <= 6; seed++ {
		g := newLargeEntryGroup(t, seed, 6<<20)
		g.advance(4000)
		lagging := g.firstFollower()
		lagging.crash()
		g.advance(9000)
		g.start(lagging)
		g.advance(300)
		clear(g.transfers)
		before := g.leader().raft.SnapshotIndex()
		longestMs = max(longestMs, g.catchUp(lagging, 15000))
		restarts += len(g.transfers) - 1
		if g.leader().raft.SnapshotIndex() != before {
			superseded++
		}
	}
	if superseded < 4 {
		t.Errorf("too little evidence: of 6 transfers %d were superseded by a newer snapshot", superseded)
	}
	if restarts > 6 {
		t.Errorf("6 transfers started anew %d times", restarts)
	}
	t.Logf("6 transfers, %d superseded, %d started anew; caught up in %d ms at the longest", superseded, restarts, longestMs)
}

// TestChaosShortTail is TestChaos with next to no log kept behind a snapshot, so
// that snapshots are sent all the time: late, duplicated, superseded, to members
// that restart, by leaders that change.
func TestChaosShortTail(t *testing.T) {
	sum := runSeeds(t, "seeds", 30, func(seed int64) *group {
		g := newGroup(seed)
		g.entryBytes = 4
		g.tailLimit = &tailLimit{entries: 3, bytes: 1 << 20, transferBytes: 1 << 10}
		g.wantVoters = 3
		g.maxMembers = 6
		g.maxHosts = 6
		g.compactOften = true
		g.meanProposalMs = 4
		g.meanFaultMs = 2
		g.run(3 + 2*int((seed-1)%2))
		return g
	})
	installed := sum.counters.snapshotsInstalled
	if installed < 200 {
		t.Errorf("too little evidence: %d snapshots replaced a member's state", installed)
	}
	t.Logf("%d snapshots replaced a member's state", installed)
}

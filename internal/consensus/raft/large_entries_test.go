package raft

import (
	"bytes"
	"fmt"
	"testing"

	"orchidward/internal/api/identifier"
)

const (
	// largeEntryBytes is the size of an entry that contains a large configuration.
	largeEntryBytes = 300 << 10
	// snapshotEveryBytes is the size of the entries that a server logs between snapshots.
	snapshotEveryBytes = 8 << 20
)

// largeEntryGroup is a group of three members that logs large entries and, like the
// servers, takes snapshots of a large state.
type largeEntryGroup struct {
	*group
	t     *testing.T
	state []byte
	// transfers holds the indexes of all snapshots that were being transferred.
	transfers map[identifier.Index]bool
	// maxRetainedBytes is the largest size of committed entries kept by a log, and
	// checkedExtents the extent of each log when it was last checked.
	maxRetainedBytes int
	checkedExtents   map[identifier.Node]logExtent
}

// logExtent is the extent of a log, to detect whether the log has changed.
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

// advance advances the time and checks the memory after every millisecond.
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

// takeSnapshot takes a snapshot if enough entries were applied since the last one.
func (g *largeEntryGroup) takeSnapshot(h *host) {
	appliedBytes := int(h.applied-h.raft.SnapshotIndex()) * largeEntryBytes
	if appliedBytes < snapshotEveryBytes {
		return
	}
	h.raft.Compact(h.applied, append(h.encodeState(), g.state...))
	g.processOutput(h)
}

// checkMemory checks the size of the committed entries that a member keeps in memory:
// those retained although a snapshot covers them, and those after the snapshot.
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
		g.t.Fatalf("at %d host %d keeps %d bytes of committed entries in a log of %d entries, limit %d bytes",
			g.now, h.id, committedBytes, len(h.raft.log.entries), limit)
	}
}

// catchUp waits until a host is within 5 entries of the group, while new entries are
// proposed, and returns the time that took. It fails the test after ms milliseconds.
func (g *largeEntryGroup) catchUp(h *host, ms int64) int64 {
	g.t.Helper()
	start := g.now
	for g.now < start+ms {
		g.advance(100)
		if h.up && h.applied+5 >= g.lastCommitted {
			return g.now - start
		}
	}
	g.t.Fatalf("host %d has applied up to %d after %d ms, the group has committed up to %d", h.id, h.applied, ms, g.lastCommitted)
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

// TestCatchUpWithLargeEntries checks that a member that was down for up to 1,900 of 2,000
// entries of 300 KB catches up from the log or from a snapshot while new entries are
// proposed, also if the leader changes meanwhile, if the member itself restarts, and if the
// snapshot being sent to it is superseded. The size of the entries kept in memory must stay
// bounded.
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
			t.Logf("down for %d entries: caught up in %d ms; in %d ms when the leader restarted midway; in %d ms when it restarted itself midway",
				missed, catchUpMs, leaderRestartMs, restartedMs)
			t.Logf("%d entries, at most %d bytes of entries kept in memory", g.proposals, g.maxRetainedBytes)
		})
	}
}

// TestSnapshotTransferOutlastsCompaction uses a state so large that transferring it takes
// longer than the interval between the leader's snapshots. The leader must retain the entries
// after the snapshot being sent: otherwise the follower would need the next snapshot, and the
// transfer could restart forever. Transfers may restart only rarely.
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
		t.Errorf("6 transfers were restarted %d times", restarts)
	}
	t.Logf("6 transfers: %d superseded, %d restarted; caught up within %d ms", superseded, restarts, longestMs)
}

// TestChaosShortTail is TestChaos with almost no entries retained after compaction, so that
// snapshots are sent constantly: delayed, duplicated or superseded, to members that restart,
// and across leader changes.
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

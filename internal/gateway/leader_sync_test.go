package gateway

import (
	"testing"

	"orchidward/internal/clock"
)

// TestPagedSync checks that a table of 10,000 queues is transferred in small pages, and that a
// change of one queue is transferred on its own.
func TestPagedSync(t *testing.T) {
	leader := newFakeLeader(t, 10000)
	g := leader.gateway
	leader.run(3000)
	if g.Epoch() != 2 || g.CatalogVersion() != 2 || leader.largestBody > 80<<10 || leader.syncs < 10 {
		t.Fatalf("epoch %d, version %d after %d syncs, the largest of %d bytes", g.Epoch(), g.CatalogVersion(), leader.syncs, leader.largestBody)
	}
	if name, _, ok := g.Queue("h", "/9999/x"); !ok || name != "q09999" {
		t.Errorf("the last queue is resolved to %q", name)
	}

	leader.largestBody = 0
	leader.moveQueue("q00007", "/moved/")
	leader.run(400)
	if name, _, _ := g.Queue("h", "/moved/x"); name != "q00007" || leader.largestBody > 1000 {
		t.Errorf("after a change the prefix resolves to %q, the largest response has %d bytes", name, leader.largestBody)
	}
	if _, _, ok := g.Queue("h", "/7/x"); ok {
		t.Error("the queue is still found by its old prefix")
	}
}

// TestBehindUntilUpdated checks that a gateway that has known of a newer table for a long time
// without receiving it reports that it is behind, until it has received the table.
func TestBehindUntilUpdated(t *testing.T) {
	leader := newFakeLeader(t, 3)
	g := leader.gateway
	leader.run(400)
	attempt := leader.request(1, 9000)
	leader.respondStale(attempt, nil)
	g.TakeOutput()
	if g.Behind() {
		t.Error("behind immediately")
	}
	end := leader.now + 1100
	for ; leader.now < end; leader.now += clock.Monotonic(TickInterval) {
		g.Tick(leader.now)
		g.TakeOutput()
	}
	if !g.Behind() {
		t.Error("not behind 1.1 s after it learned of a newer table")
	}

	leader.moveQueue("q00001", "/new/")
	leader.run(2000)
	if g.Behind() || g.Epoch() != leader.table.Epoch {
		t.Errorf("at epoch %d, want %d; behind: %v", g.Epoch(), leader.table.Epoch, g.Behind())
	}
}

// TestContactLossLogged checks that a gateway logs the loss of contact with the leader once,
// and counts the syncs without a response.
func TestContactLossLogged(t *testing.T) {
	leader := newFakeLeader(t, 3)
	g := leader.gateway
	leader.run(400)
	g.TakeOutput()
	lost := 0
	for end := leader.now + 5000; leader.now < end; leader.now += clock.Monotonic(TickInterval) {
		g.Tick(leader.now)
		for _, event := range g.TakeOutput().Events {
			if event.Name == "out-of-touch" {
				lost++
			}
		}
	}
	if lost != 1 || g.Counts.SyncsUnanswered < 5 {
		t.Errorf("logged %d times, %d syncs without a response", lost, g.Counts.SyncsUnanswered)
	}
}

package agent

import (
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/runnerapi"
)

// truncatedHeartbeat returns a heartbeat that lists one end of another attempt, and may lack
// further ends.
func truncatedHeartbeat(seq uint64) Heartbeat {
	b := heartbeat(seq)
	b.Finished = []runnerapi.RunEnd{{Seq: 1, Task: identifier.TaskRef{Job: "q/z.0"}, Attempt: 1, Outcome: runnerapi.OutcomeSuccess}}
	b.EndsTruncated = true
	return b
}

// TestStopNotClearedByTruncatedEnds guards against tasks that run again because their ends
// did not fit into a heartbeat: absence from a truncated list is no proof that an attempt
// never runs.
func TestStopNotClearedByTruncatedEnds(t *testing.T) {
	a := newTestAgent()
	a.HandleHeartbeat(heartbeat(1), 1000)
	_, poll := takeRequest(t, a)
	respond(t, a, "k1", poll.ID, stopOf("q/a.0"), 1010)
	orders := a.HandleHeartbeat(truncatedHeartbeat(2), 1100)
	if cleared := a.pollRequest().Cleared; len(cleared) > 0 {
		t.Errorf("cleared by a truncated heartbeat: %v", cleared)
	}
	if len(orders.Stop) != 1 {
		t.Errorf("%d stops were sent, want 1", len(orders.Stop))
	}
	a.HandleHeartbeat(heartbeat(3), 1200)
	if cleared := a.pollRequest().Cleared; len(cleared) != 1 {
		t.Errorf("cleared by a complete heartbeat: %v, want one attempt", cleared)
	}
}

// TestStartWaitsForAllEnds checks that a start is held back while the ends of the runner are
// truncated, as the attempt may be among them, and that a start in flight is not given up.
func TestStartWaitsForAllEnds(t *testing.T) {
	a := newTestAgent()
	a.HandleHeartbeat(truncatedHeartbeat(1), 1000)
	_, poll := takeRequest(t, a)
	respond(t, a, "k1", poll.ID, startOf("q/a.0"), 1010)
	if orders := a.HandleHeartbeat(truncatedHeartbeat(2), 1100); len(orders.Start) > 0 || orders.Lease == 0 {
		t.Errorf("truncated ends: %d starts, lease %d; want no start and a lease", len(orders.Start), orders.Lease)
	}
	if orders := a.HandleHeartbeat(heartbeat(3), 1200); len(orders.Start) != 1 {
		t.Errorf("complete ends: %d starts, want 1", len(orders.Start))
	}
	a.HandleHeartbeat(truncatedHeartbeat(4), 1300)
	if active := a.pollRequest().Active; len(active) != 1 {
		t.Errorf("%d attempts in flight after a truncated heartbeat, want 1", len(active))
	}
	a.HandleHeartbeat(heartbeat(5), 1400)
	if active := a.pollRequest().Active; len(active) != 0 {
		t.Errorf("%d attempts in flight that a complete heartbeat lacks, want none", len(active))
	}
}

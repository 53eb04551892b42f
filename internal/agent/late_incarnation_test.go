package agent

import (
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
)

// misledAgent returns a restarted agent that has heard the incarnation i-2 of its runner and
// then a late heartbeat of i-1.
func misledAgent(t *testing.T) *Agent {
	t.Helper()
	a := newTestAgent()
	a.HandleHeartbeat(firstHeartbeat("i-2"), 1000)
	_, poll := takeRequest(t, a)
	respond(t, a, "k1", poll.ID, runnerapi.PollResponse{}, 1010)
	a.HandleHeartbeat(heartbeat(50), 1020)
	return a
}

// nextHeartbeat delivers a heartbeat of an incarnation and returns the lease in the response.
func nextHeartbeat(a *Agent, incarnation identifier.Incarnation, now clock.Monotonic) clock.Millis {
	b := heartbeat(uint64(now))
	b.Runner = incarnation
	return a.HandleHeartbeat(b, now).Lease
}

// TestLateHeartbeatOfEarlierIncarnation guards against a runner that gets no lease any more
// since a restarted agent took a late heartbeat of its previous incarnation for a newer one.
func TestLateHeartbeatOfEarlierIncarnation(t *testing.T) {
	a := misledAgent(t)
	_, poll := takeRequest(t, a)
	respond(t, a, "k1", poll.ID, runnerapi.PollResponse{Retired: true}, 1100)
	if lease := nextHeartbeat(a, "i-2", 1200); lease == 0 {
		t.Error("the running incarnation gets no lease")
	}
	if lease := nextHeartbeat(a, "i-1", 1300); lease != 0 {
		t.Errorf("the retired incarnation gets a lease of %d ms", lease)
	}
	if lease := nextHeartbeat(a, "i-2", 1400); lease == 0 {
		t.Error("the running incarnation gets no lease after another late heartbeat")
	}
}

// TestRetiredAnswerRenewsNothing checks that the answer to a poll of a retired incarnation does
// not renew the agent's lease, as it does not count as contact for the control plane.
func TestRetiredAnswerRenewsNothing(t *testing.T) {
	a := misledAgent(t)
	_, poll := takeRequest(t, a)
	respond(t, a, "k1", poll.ID, runnerapi.PollResponse{Retired: true}, 1500)
	if left := a.contact.leaseLeft(1500); left != controlPlaneLease-500 {
		t.Errorf("%d ms of the lease are left, want %d", left, controlPlaneLease-500)
	}
}

// TestDeadIncarnationGivesWay checks that an incarnation that was superseded is heard again once
// the one that superseded it is presumed dead.
func TestDeadIncarnationGivesWay(t *testing.T) {
	a := misledAgent(t)
	if lease := nextHeartbeat(a, "i-2", 1200); lease != 0 {
		t.Errorf("a superseded incarnation gets a lease of %d ms", lease)
	}
	a.Tick(a.runner.leaseEnd.Add(deadSilence + deadSlack + 1))
	nextHeartbeat(a, "i-2", a.now+10)
	if !a.runner.isIncarnation("i-2") {
		t.Error("the superseded incarnation is not heard after the death of the other")
	}
}

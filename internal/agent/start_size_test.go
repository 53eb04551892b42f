package agent

import (
	"strings"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/runnerapi"
)

// TestStartsFitResponse guards against a runner that drops every response, and thus its leases,
// since the starts in them exceed what it reads.
func TestStartsFitResponse(t *testing.T) {
	const starts, payload = 400, 4000
	a := newTestAgent()
	a.HandleHeartbeat(heartbeat(1), 1000)
	_, poll := takeRequest(t, a)
	var response runnerapi.PollResponse
	for num := range starts {
		response.Starts = append(response.Starts, runnerapi.Start{
			Lease:   identifier.LeaseID(num + 1),
			Task:    identifier.TaskRef{Job: "q/a.0", Num: num},
			Attempt: 1,
			Payload: strings.Repeat("p", payload),
		})
	}
	respond(t, a, "k1", poll.ID, response, 1010)
	next := heartbeat(1)
	sent := 0
	for sent < starts {
		next.Seq++
		orders := a.HandleHeartbeat(next, a.now+20)
		if count := len(orders.Start); count == 0 || count*payload > maxStartsBytes {
			t.Fatalf("%d starts of %d bytes in one response after %d", count, payload, sent)
		}
		for _, start := range orders.Start {
			next.Active = append(next.Active, runnerapi.RunState{Task: start.Task, Attempt: start.Attempt})
		}
		sent += len(orders.Start)
	}
}

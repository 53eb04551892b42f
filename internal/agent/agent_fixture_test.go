package agent

import (
	"encoding/json"
	"net/http"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/transport/wire"
)

const (
	controlPlaneLease        clock.Millis = 5000
	controlPlaneStartTimeout clock.Millis = 1000
)

// newTestAgent returns an agent whose seeds are the servers k1 and k2.
func newTestAgent() *Agent {
	return New(Config{Name: "m", Addr: "me", Domain: "d", Seeds: []string{"k1", "k2"}, Seed: 100, MaxLease: 6000, HeartbeatInterval: 100}, 0)
}

// heartbeat returns a heartbeat of incarnation i-1, which runs the first attempts at the given
// jobs.
func heartbeat(seq uint64, jobs ...identifier.JobKey) Heartbeat {
	b := Heartbeat{Runner: "i-1", Seq: seq, Pool: "p", Domain: "d", Rack: "k", Capacity: job.Demand{MilliCores: 1000, Mem: 10}}
	for _, key := range jobs {
		b.Active = append(b.Active, runnerapi.RunState{Task: identifier.TaskRef{Job: key}, Attempt: 1})
	}
	return b
}

// firstHeartbeat returns the first heartbeat of an incarnation.
func firstHeartbeat(incarnation identifier.Incarnation) Heartbeat {
	b := heartbeat(1)
	b.Runner = incarnation
	return b
}

// startOf returns a response that orders the start of the first attempt at a job.
func startOf(key identifier.JobKey) runnerapi.PollResponse {
	return runnerapi.PollResponse{Starts: []runnerapi.Start{{Task: identifier.TaskRef{Job: key}, Attempt: 1}}}
}

// stopOf returns a response that orders the first attempt at a job to stop.
func stopOf(key identifier.JobKey) runnerapi.PollResponse {
	return runnerapi.PollResponse{StopRuns: []runnerapi.RunStop{{Task: identifier.TaskRef{Job: key}, Attempt: 1}}}
}

// takeRequest returns the last request that the agent sent, and fails the test if there is
// none.
func takeRequest(t *testing.T, a *Agent) (to wire.Peer, request *wire.Request) {
	t.Helper()
	for _, envelope := range a.TakeOutput().Messages {
		if envelope.Message.Request != nil {
			to = envelope.To
			request = envelope.Message.Request
		}
	}
	if request == nil {
		t.Fatal("no request was sent")
	}
	return to, request
}

// respond delivers a server's response to a request of the agent.
func respond(t *testing.T, a *Agent, from wire.Peer, id uint64, response runnerapi.PollResponse, now clock.Monotonic) {
	t.Helper()
	response.Lease = controlPlaneLease
	response.StartTimeout = controlPlaneStartTimeout
	body, err := json.Marshal(response)
	if err != nil {
		t.Fatal(err)
	}
	a.HandleMessage(from, wire.Message{Response: &wire.Response{ID: id, Status: http.StatusOK, Body: body}}, now)
}

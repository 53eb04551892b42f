package agent

import (
	"net/http"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/clock"
	"orchidward/internal/transport/wire"
)

// tokenRequestInterval is the interval between requests for the fencing token.
const tokenRequestInterval clock.Millis = 200

// fencingToken holds the highest fencing token known, and the last request for one.
type fencingToken struct {
	value       uint64
	requestID   uint64
	requestedAt clock.Monotonic
}

// requestFencingToken requests the fencing token from the control plane until it is known or
// the first heartbeat arrives, after which polls return it: a runner that accepted orders from
// an earlier agent process rejects orders with a lower token.
func (a *Agent) requestFencingToken() {
	t := &a.token
	if a.runner.heartbeat != nil || t.value > 0 || len(a.polls.servers) == 0 {
		return
	}
	if a.now < t.requestedAt.Add(tokenRequestInterval) {
		return
	}
	t.requestedAt = a.now
	a.polls.seq++
	t.requestID = a.polls.seq
	a.send(a.polls.server(), &wire.Request{
		ID:     t.requestID,
		Method: http.MethodGet,
		Path:   endpoint.FencingTokenPath,
		Budget: tokenRequestInterval,
	})
	a.polls.current++
}

func (a *Agent) handleFencingToken(r *wire.Response) {
	if response, ok := decodePollResponse(r); ok {
		a.token.value = max(a.token.value, response.FencingToken)
	}
}

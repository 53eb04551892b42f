package gateway

import (
	"encoding/json"
	"net/http"

	"orchidward/internal/api/admission"
	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/jsondoc"
	"orchidward/internal/api/limits"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/routing"
	"orchidward/internal/transport/wire"
)

// Codes of the gateway's own error responses; docs/api.md lists them.
const (
	codeContactLost = "out-of-touch"
	codeStalled     = "woken"
	codeBusy        = "busy"
	codeNoAnswer    = "no-answer"

	codeUnauthenticated = "unauthenticated"
	codeKeysBehind      = "keys-behind"
)

const messageContactLost = "this gateway has lost contact with the control plane"

// How long a caller should wait before it retries after an error response.
const (
	retryAfterFailure clock.Millis = 1000
	retryAfterStall   clock.Millis = 500
	retryAfterUnknown clock.Millis = 500
)

// HandleRequest accepts a request. It responds immediately if the request can't be
// forwarded.
func (g *Gateway) HandleRequest(in Request, now clock.Monotonic) {
	g.observe(now)
	g.Counts.Received++
	r := &request{Request: in, deadline: g.now.Add(in.TimeLeft()), idempotent: in.Idempotent()}
	g.requests.add(r)
	switch {
	case in.TimeLeft() <= 0:
		g.replyError(r.ID, http.StatusServiceUnavailable, codeBusy, "the request waited here for longer than its caller does", retryAfterFailure)
	case !g.Ready(g.now):
		g.replyError(r.ID, http.StatusServiceUnavailable, codeContactLost, messageContactLost, retryAfterFailure)
	case r.Method != http.MethodGet && g.stalls.Draining(g.now):
		g.replyError(r.ID, http.StatusServiceUnavailable, codeStalled,
			"this gateway stood still and can't tell how old the request is", retryAfterStall)
	case g.requests.full():
		g.replyError(r.ID, http.StatusServiceUnavailable, codeBusy, "too many requests under way", retryAfterFailure)
	case g.validate(r):
		g.forward(r)
	}
}

// Forget drops a request whose caller has disconnected. An order to start or end a drain is
// withdrawn.
func (g *Gateway) Forget(id uint64) {
	if r := g.requests.byID[id]; r != nil {
		g.withdraw(r)
		g.requests.remove(id)
	}
}

// withdraw asks the server to which an abandoned request was sent to withdraw it, if it is an
// order whose copies can't be told from a new order.
func (g *Gateway) withdraw(r *request) {
	if r.attempt != 0 && endpoint.Withdrawable(r.Method, r.Path) {
		g.send(r.to, wire.Message{Request: wire.NewWithdrawal(g.nextAttempt(), r.attempt)})
	}
}

// validate checks the form of the request, the limits of its row, and its API key. If a
// check fails, it answers the request and returns false.
func (g *Gateway) validate(r *request) bool {
	var faults jsondoc.FieldErrors
	r.epoch = g.Epoch()
	// The leader refuses paths and methods that the API does not have.
	target, err := endpoint.Parse(r.Method, r.Path)
	if err != nil {
		return true
	}
	switch target.Kind {
	case endpoint.SubmitJob:
		g.validateJob(r, target, &faults)
	case endpoint.PollRunner:
		if !identifier.ValidName(target.Name) {
			faults.Invalid("path", "runner's name wants 1 to 64 letters, digits, '.', '-' or '_'")
		}
		runnerapi.Read(r.Body, &faults)
	case endpoint.ReplaceLimits:
		limits.ReadWhole(r.Body, &faults)
	case endpoint.PatchLimits:
		limits.ReadPatch(r.Body, &faults)
	}
	switch {
	case faults.Any() && r.mayBeApplied():
		g.replyUnknown(r.ID)
		return false
	case faults.Any():
		g.reply(Response{ID: r.ID, Status: faults.Status(), Body: faults.ErrorBody()})
		return false
	}
	return g.authenticate(r)
}

func (g *Gateway) validateJob(r *request, target endpoint.Endpoint, faults *jsondoc.FieldErrors) {
	for _, name := range []string{string(target.Client), string(target.JobID)} {
		if !identifier.ValidName(name) {
			faults.Invalid("path", "agent and job id want 1 to 64 letters, digits, '.', '-' or '_'")
		}
	}
	spec := job.Read(r.Body, faults)
	if spec == nil || faults.Any() {
		return
	}
	r.Queue = spec.Queue
	if spec.Queue == "" {
		g.routing.rules.Check(spec, admission.WaitingUnknown, faults)
	}
}

// nextAttempt returns the number for the next message that expects a response.
func (g *Gateway) nextAttempt() uint64 {
	g.lastAttempt++
	return g.lastAttempt
}

// forwardAgain sends a request again, after validating it again if the routing table has
// changed since its last validation.
func (g *Gateway) forwardAgain(r *request) {
	r.outcomeUnknown = r.outcomeUnknown || r.attempt != 0
	if r.epoch == g.Epoch() || g.validate(r) {
		g.forward(r)
	}
}

// forward sends a request to the leader, or to another server that may know the leader. If
// an attempt is still open, its outcome becomes unknown.
func (g *Gateway) forward(r *request) {
	to := g.servers.target
	if to == "" {
		to = g.servers.choose(g.now)
	}
	if r.attempt != 0 && to == r.to && g.now.Since(r.sentAt) > attemptTimeout {
		g.servers.markFailed(to, g.now)
		to = g.servers.choose(g.now)
	}
	r.outcomeUnknown = r.outcomeUnknown || r.attempt != 0
	g.requests.beginAttempt(r, g.nextAttempt(), to, g.now)
	g.send(to, wire.Message{Request: &wire.Request{
		ID:            r.attempt,
		Method:        r.Method,
		Path:          r.Path,
		Query:         r.Query,
		Body:          r.Body,
		Epoch:         r.checkedEpoch(),
		Budget:        r.deadline.Since(g.now),
		HasLeaderTime: true,
		LeaderTime:    g.latestLeaderTime,
	}})
}

// checkedEpoch returns the epoch of the table against which the request was checked, as
// reported to the leader. After maxStaleReturns stale returns it is 0, and the leader checks
// the request against its own table.
func (r *request) checkedEpoch() identifier.Epoch {
	if r.staleReturns >= maxStaleReturns {
		return 0
	}
	return r.epoch
}

// handleResponse processes the response to an attempt.
func (g *Gateway) handleResponse(from wire.Peer, response *wire.Response) {
	r := g.requests.awaiting(from, response.ID)
	if r == nil {
		return
	}
	switch {
	case response.Expired && g.now < r.deadline && r.expiredReturns < maxExpiredReturns:
		r.expiredReturns++
		g.requests.endAttempt(r)
		g.forwardAgain(r)
	case response.Stale:
		g.handleStale(r, response)
	case response.NotLeader:
		g.handleNotLeader(r)
	case response.Status == http.StatusGatewayTimeout && r.idempotent && g.now < r.deadline:
		g.requests.endAttempt(r)
		r.outcomeUnknown = true
		r.retryAt = g.now.Add(retryInterval)
	case r.mayBeApplied() && response.IsRejection():
		g.replyUnknown(r.ID)
	default:
		g.reply(Response{ID: r.ID, Status: response.Status, Body: response.Body, RetryAfter: response.RetryAfter})
	}
}

// handleNotLeader schedules another attempt after a server responded that it is not the
// leader and knows of none.
func (g *Gateway) handleNotLeader(r *request) {
	g.Counts.Redirected++
	g.requests.endAttempt(r)
	r.retryAt = g.now.Add(retryInterval)
	if g.servers.target == r.to {
		g.servers.markFailed(r.to, g.now)
	}
}

// handleStale processes the return of a request that was checked against an older table. The
// response carries the changes, or else the gateway fetches them with a single sync for all
// its requests.
func (g *Gateway) handleStale(r *request, response *wire.Response) {
	g.Counts.Stale++
	r.staleReturns++
	g.requests.endAttempt(r)
	before := g.Epoch()
	g.applyStaleTable(response.Body)
	if g.Epoch() == before && before <= r.epoch && len(response.Body) == 0 {
		g.routing.recordLeaderEpoch(before+1, g.now)
		r.retryAt = g.now.Add(staleRetryInterval)
		g.syncNow()
		return
	}
	if g.validate(r) {
		g.forward(r)
	}
}

// applyStaleTable applies the table, or the changes to it, that came with a stale response.
func (g *Gateway) applyStaleTable(body []byte) {
	var stale routing.StaleResponse
	if err := json.Unmarshal(body, &stale); err != nil {
		return
	}
	switch {
	case stale.Page != nil:
		g.useTable(g.routing.replica.Patch(*stale.Page))
	case stale.Epoch > 0:
		g.replaceTable(&stale.FullTable)
	}
}

// fail abandons a request and answers it: with 503 if it is certain that no server accepted
// it, and otherwise with 504.
func (g *Gateway) fail(id uint64, code, message string) {
	r := g.requests.byID[id]
	g.withdraw(r)
	if r.Method != http.MethodGet && (r.outcomeUnknown || r.attempt != 0) {
		g.replyError(id, http.StatusGatewayTimeout, code, message+"; the outcome is not known", retryAfterFailure)
		return
	}
	g.replyError(id, http.StatusServiceUnavailable, code, message, retryAfterFailure)
}

// replyUnknown answers a request that is refused now but of which an earlier attempt may
// have been accepted.
func (g *Gateway) replyUnknown(id uint64) {
	g.replyError(id, http.StatusGatewayTimeout, codeNoAnswer,
		"an earlier try may have been taken; the outcome is not known", retryAfterUnknown)
}

func (g *Gateway) replyError(id uint64, status int, code, message string, retryAfter clock.Millis) {
	g.Counts.Refused++
	response := ErrorResponse(status, code, message, retryAfter)
	response.ID = id
	g.reply(response)
}

func (g *Gateway) reply(response Response) {
	g.Counts.Answered++
	g.requests.remove(response.ID)
	g.output.Responses = append(g.output.Responses, response)
}

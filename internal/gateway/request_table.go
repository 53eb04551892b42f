package gateway

import (
	"maps"
	"net/http"
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/transport/wire"
)

// request is a request in flight: it was accepted and has no response yet.
type request struct {
	Request
	// deadline is when the caller's budget is used up.
	deadline clock.Monotonic
	// idempotent requests may be sent again after an unknown outcome.
	idempotent bool
	// attempt is the number of the current attempt, 0 while there is none; to is the
	// server that it was sent to.
	attempt uint64
	sentAt  clock.Monotonic
	to      wire.Peer
	// epoch is the epoch of the table against which the request was last checked.
	epoch identifier.Epoch
	// retryAt is when to send the request again, 0 if no retry is scheduled.
	retryAt clock.Monotonic
	// staleReturns and expiredReturns count the attempts that a server returned because
	// the table was stale or the request expired.
	staleReturns   int
	expiredReturns int
	// outcomeUnknown is set if a server may have accepted the request and its response
	// was not received.
	outcomeUnknown bool
}

// retryDue reports whether the request should be sent again now.
func (r *request) retryDue(now clock.Monotonic) bool {
	if r.retryAt > 0 && now >= r.retryAt {
		return true
	}
	return r.idempotent && r.attempt != 0 && now.Since(r.sentAt) > attemptTimeout
}

// mayBeApplied reports whether an earlier attempt of a write may have been applied, so that
// a refusal of the current attempt does not tell the outcome.
func (r *request) mayBeApplied() bool { return r.outcomeUnknown && r.Method != http.MethodGet }

// requestTable holds the requests in flight, indexed by id and by current attempt.
type requestTable struct {
	byID      map[uint64]*request
	byAttempt map[uint64]uint64
	bytes     int
}

func (t *requestTable) add(r *request) {
	t.byID[r.ID] = r
	t.bytes += len(r.Body)
}

func (t *requestTable) remove(id uint64) {
	if r := t.byID[id]; r != nil {
		delete(t.byAttempt, r.attempt)
		delete(t.byID, id)
		t.bytes -= len(r.Body)
	}
}

func (t *requestTable) full() bool {
	return len(t.byID) > maxInFlight || t.bytes > maxInFlightBytes
}

// ids returns the ids of the requests in the order of arrival.
func (t *requestTable) ids() []uint64 { return slices.Sorted(maps.Keys(t.byID)) }

// awaiting returns the request whose current attempt has this number and was sent to this
// server, or nil if there is none.
func (t *requestTable) awaiting(from wire.Peer, attempt uint64) *request {
	id, ok := t.byAttempt[attempt]
	if !ok || t.byID[id].to != from {
		return nil
	}
	return t.byID[id]
}

// endAttempt drops the current attempt: its response will be ignored.
func (t *requestTable) endAttempt(r *request) {
	delete(t.byAttempt, r.attempt)
	r.attempt = 0
}

// beginAttempt records a new attempt, which supersedes the previous one.
func (t *requestTable) beginAttempt(r *request, attempt uint64, to wire.Peer, now clock.Monotonic) {
	delete(t.byAttempt, r.attempt)
	t.byAttempt[attempt] = r.ID
	r.attempt = attempt
	r.to = to
	r.sentAt = now
	r.retryAt = 0
}

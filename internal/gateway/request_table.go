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
	// deadline is when its caller's budget is used up.
	deadline clock.Monotonic
	// idempotent requests may be sent again after an unknown outcome.
	idempotent bool
	// attempt is the number of the attempt under way, 0 while there is none, to is the
	// server that it was sent to.
	attempt uint64
	sentAt  clock.Monotonic
	to      wire.Peer
	// epoch is that of the table by which the request was last checked.
	epoch identifier.Epoch
	// retryAt is when to send it again, 0 while that is not planned.
	retryAt clock.Monotonic
	// staleReturns and expiredReturns count the attempts that were returned because the
	// table was stale or the order too old.
	staleReturns   int
	expiredReturns int
	// outcomeUnknown says that some server may have taken the request, and its answer is
	// not known.
	outcomeUnknown bool
}

// retryDue reports whether the request is to be sent again now.
func (r *request) retryDue(now clock.Monotonic) bool {
	if r.retryAt > 0 && now >= r.retryAt {
		return true
	}
	return r.idempotent && r.attempt != 0 && now.Since(r.sentAt) > attemptTimeout
}

// mayBeApplied reports whether an earlier attempt of an order may have been carried out, so
// that a refusal now says nothing of it.
func (r *request) mayBeApplied() bool { return r.outcomeUnknown && r.Method != http.MethodGet }

// requestTable holds the requests in flight, and finds them by the attempts under way.
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

// ids lists the requests in the order in which they came.
func (t *requestTable) ids() []uint64 { return slices.Sorted(maps.Keys(t.byID)) }

// awaiting finds the request whose attempt a response answers: only the server that was
// asked may answer it.
func (t *requestTable) awaiting(from wire.Peer, attempt uint64) *request {
	id, ok := t.byAttempt[attempt]
	if !ok || t.byID[id].to != from {
		return nil
	}
	return t.byID[id]
}

// endAttempt forgets the attempt under way: its response counts no more.
func (t *requestTable) endAttempt(r *request) {
	delete(t.byAttempt, r.attempt)
	r.attempt = 0
}

// beginAttempt notes an attempt in place of the one before.
func (t *requestTable) beginAttempt(r *request, attempt uint64, to wire.Peer, now clock.Monotonic) {
	delete(t.byAttempt, r.attempt)
	t.byAttempt[attempt] = r.ID
	r.attempt = attempt
	r.to = to
	r.sentAt = now
	r.retryAt = 0
}

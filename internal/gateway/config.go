package gateway

import (
	"net/http"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/jsondoc"
	"orchidward/internal/clock"
	"orchidward/internal/stalldetector"
	"orchidward/internal/transport/wire"
)

// Config is the configuration of a gateway. Addr is the address at which it listens for
// other processes of the cluster, HTTP the address at which it serves clients, and Seeds are
// the addresses of control-plane servers to contact first.
type Config struct {
	Addr   string
	HTTP   string
	Domain identifier.Domain
	Seeds  []string
	// Seed is the number after which attempts are numbered. It is random, so that a
	// response to an attempt of an earlier incarnation does not match one of this
	// incarnation.
	Seed int64
}

// Request is a client request received over HTTP. Budget is how long the caller waits after
// the request's arrival, in milliseconds; 0 selects the default. Waited is how much of that
// time has passed in this process before the request reaches the gateway's state machine.
type Request struct {
	ID     uint64
	Method string
	Path   string
	Query  string
	Body   []byte
	Budget clock.Millis
	Waited clock.Millis
	// Queue is the queue of the catalogue that the request addresses, if its path does not
	// name it; a submitted job names its queue in the body. Credential is the tenant's API
	// key sent with the request.
	Queue      string
	Credential catalog.APIKey
}

// Idempotent reports whether the request may be sent to a leader again after an attempt with
// an unknown outcome: reads change nothing, jobs are identified by their id, and changes of
// the catalogue by their version and digest. Orders to start or end the drain of a zone have
// no such identifier, so retrying them is left to their sender.
func (r Request) Idempotent() bool {
	return r.Method == http.MethodGet || endpoint.IsJobPath(r.Path) || r.Path == endpoint.CatalogPath
}

// TimeLeft returns how much longer the caller waits, 0 or less once its budget is used up.
// If the caller gives no budget, the default applies.
func (r Request) TimeLeft() clock.Millis { return r.budget() - r.Waited }

func (r Request) budget() clock.Millis {
	switch {
	case r.Budget > 0:
		return r.Budget
	case r.Idempotent():
		return defaultBudget
	}
	return defaultNonIdempotentBudget
}

// Response is the response to a request. RetryAfter, if above 0, is the number of
// milliseconds after which the caller should retry.
type Response struct {
	ID         uint64
	Status     int
	Body       []byte
	RetryAfter clock.Millis
}

// ErrorResponse returns a response with an error body. Its ID is 0; the caller sets it to
// that of the request. retryAfter is 0 if a retry is of no use.
func ErrorResponse(status int, code, message string, retryAfter clock.Millis) Response {
	body := jsondoc.ErrorBody{Code: code, Message: message, RetryAfter: retryAfter}
	return Response{Status: status, RetryAfter: retryAfter, Body: body.JSON()}
}

// Event is a log event: a name and alternating keys and values.
type Event struct {
	Name   string
	Fields []any
}

// Output holds the effects that the caller must carry out: messages to send, responses to
// deliver and events to log.
type Output struct {
	Messages  []wire.Envelope
	Responses []Response
	Events    []Event
}

const (
	// LeaderContactTimeout is how long after its last contact with the leader a gateway
	// may still decide on requests.
	LeaderContactTimeout clock.Millis = 1000
	// TickInterval is how often Tick should be called.
	TickInterval clock.Millis = 50
	// syncInterval is the interval between syncs with the leader, and syncTimeout how long
	// the gateway waits for the response to one.
	syncInterval clock.Millis = 200
	syncTimeout  clock.Millis = 400
	// announceInterval is the interval between announcements of this gateway to the servers,
	// announceIntervalNoContact that while it has no contact with the leader.
	announceInterval          clock.Millis = 1000
	announceIntervalNoContact clock.Millis = 200
	// defaultBudget applies to idempotent requests, defaultNonIdempotentBudget to others.
	// Together with the longest undetected stall, the latter makes one second, after which
	// callers repeat their orders.
	defaultBudget              clock.Millis = 5000
	defaultNonIdempotentBudget              = 1000 - stalldetector.Limit
	// maxInFlight and maxInFlightBytes bound the requests in flight and their bodies.
	maxInFlight      int = 4096
	maxInFlightBytes int = 64 << 20
	// maxStaleReturns is how often a request is checked again against a newer table, and
	// maxExpiredReturns how often a request that the leader rejected as expired is sent
	// again.
	maxStaleReturns   int = 3
	maxExpiredReturns int = 4
	// attemptTimeout is how long an attempt may be without a response before the request
	// is sent to another server, and failedServerBackoff how long a server is avoided
	// after a failure.
	attemptTimeout      clock.Millis = 1000
	failedServerBackoff clock.Millis = 3000
	// retryInterval is the delay before a request that reached no leader is sent again.
	retryInterval clock.Millis = 100
	// staleRetryInterval is the delay before a request is sent again while the routing
	// table is being updated.
	staleRetryInterval clock.Millis = 50
	// maxBehind is how long an update of the routing table may take before the gateway
	// must assume that an entry missing from its table exists in the newer one.
	maxBehind clock.Millis = 1000
)

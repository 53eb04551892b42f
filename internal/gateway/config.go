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

// Config is what a gateway is started with. Addr is where it listens for other
// processes of the cluster, HTTP where it serves clients, and Seeds are addresses of
// control-plane servers to begin with.
type Config struct {
	Addr   string
	HTTP   string
	Domain identifier.Domain
	Seeds  []string
	// Seed is where the numbers of attempts begin. It is random, so that no response to
	// an earlier incarnation's attempt is taken for one of this.
	Seed int64
}

// Request is one that came in over HTTP. Budget is how long its caller waits from its
// arrival on, in milliseconds; 0 is the default. Waited is how much of that has passed in
// this process before the request is handed in.
type Request struct {
	ID     uint64
	Method string
	Path   string
	Query  string
	Body   []byte
	Budget clock.Millis
	Waited clock.Millis
	// Queue is the queue of the catalogue that the request is for, where its path does not
	// say so; a job names its queue itself. Credential is the tenant's API key that came
	// with the request.
	Queue      string
	Credential catalog.APIKey
}

// Idempotent reports whether the request may be sent to a leader again when it is not
// known what became of an earlier attempt: reads change nothing, jobs are known by their
// id, and changes of the catalogue by their version and digest. Orders to drain a zone,
// or to end a drain, have no number: their sender decides.
func (r Request) Idempotent() bool {
	return r.Method == http.MethodGet || endpoint.IsJobPath(r.Path) || r.Path == endpoint.CatalogPath
}

// TimeLeft is how much longer the caller waits, 0 or less when it waits no more. Where the
// caller doesn't say how long it waits, it is the default.
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

// Response is the one answer to a request. RetryAfter, when above 0, is after how many
// milliseconds to come back.
type Response struct {
	ID         uint64
	Status     int
	Body       []byte
	RetryAfter clock.Millis
}

// ErrorResponse is a response with an error body, to no request yet: its ID is 0. retryAfter
// is 0 where coming back is of no use.
func ErrorResponse(status int, code, message string, retryAfter clock.Millis) Response {
	body := jsondoc.ErrorBody{Code: code, Message: message, RetryAfter: retryAfter}
	return Response{Status: status, RetryAfter: retryAfter, Body: body.JSON()}
}

// Event is one line for the log: a name and alternating keys and values.
type Event struct {
	Name   string
	Fields []any
}

// Output is what the inputs so far ask the owner to do: messages to send, requests to
// answer and events to log.
type Output struct {
	Messages  []wire.Envelope
	Responses []Response
	Events    []Event
}

const (
	// LeaderContactTimeout is how long a gateway may have been out of touch with the
	// leader and still decide.
	LeaderContactTimeout clock.Millis = 1000
	// TickInterval is how often Tick should be called.
	TickInterval clock.Millis = 50
	// syncInterval lies between two syncs with the leader, and syncTimeout is how long
	// the response to one is awaited.
	syncInterval clock.Millis = 200
	syncTimeout  clock.Millis = 400
	// announceInterval lies between two announcements of this gateway to the servers,
	// announceIntervalOutOfTouch while it is out of touch.
	announceInterval          clock.Millis = 1000
	announceIntervalNoContact clock.Millis = 200
	// defaultBudget is for idempotent requests, defaultOrderBudget for others. With the
	// longest stall that goes unnoticed the latter makes a second, after which callers
	// send their orders again.
	defaultBudget              clock.Millis = 5000
	defaultNonIdempotentBudget              = 1000 - stalldetector.Limit
	// maxInFlight and maxInFlightBytes bound the requests in flight and their bodies.
	maxInFlight      int = 4096
	maxInFlightBytes int = 64 << 20
	// maxStaleReturns is how often a request is checked again by a newer table, and
	// maxExpiredReturns how often one is sent again that the leader found too old.
	maxStaleReturns   int = 3
	maxExpiredReturns int = 4
	// attemptTimeout is how long an attempt goes without a response before another
	// server is asked, and failedServerBackoff how long a server that failed is passed
	// over.
	attemptTimeout      clock.Millis = 1000
	failedServerBackoff clock.Millis = 3000
	// retryInterval lies between two attempts of a request that met no leader.
	retryInterval clock.Millis = 100
	// staleRetryInterval is when a request is tried again whose table is being updated.
	staleRetryInterval clock.Millis = 50
	// maxBehind is how long an update of the routing table may take before what is not
	// in the table may be in the next.
	maxBehind clock.Millis = 1000
)

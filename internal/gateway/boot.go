// Package gateway is an edge machine as a pure state machine. It checks requests
// by the compiled table, passes them to the leader, by way of another keeper
// if it must, and keeps no state that would be missed.
package gateway

import (
	"strings"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/stalldetector"
	"orchidward/internal/transport/wire"
)

// Config is the configuration a gateway starts with. Addr is where it listens for
// other servers, HTTP where it listens for clients, and Seeds are addresses of
// control-plane servers to begin with.
type Config struct {
	Addr   string
	HTTP   string
	Domain identifier.Domain
	Seeds  []string
	// Seed is where the numbers of this life's requests begin, so that no
	// answer to a former life's is taken for one of this.
	Seed int64
}

// Request is one that came in over HTTP.
type Request struct {
	ID     uint64
	Method string
	Path   string
	Query  string
	Body   []byte
	Budget clock.Millis
}

// Repeatable tells whether the request may be sent to a leader again when it
// is not known what became of an earlier try: reads change nothing, jobs are
// known by their id and changes of the catalogue by their version and digest.
// Orders to close or reopen a zone have no number: the sender decides.
func (r Request) Repeatable() bool {
	return r.Method == "GET" || strings.HasPrefix(r.Path, "/v1/jobs/") || r.Path == "/v1/catalog"
}

// patience is how long the caller waits, in milliseconds, where it doesn't say.
func (r Request) patience() clock.Millis {
	switch {
	case r.Budget > 0:
		return r.Budget
	case r.Repeatable():
		return usual
	}
	return usualUnnumbered
}

// Response settles a request.
type Response struct {
	ID         uint64
	Status     int
	Body       []byte
	RetryAfter clock.Millis
}

// Event is one line for the log: a name and alternating keys and values.
type Event struct {
	Name   string
	Fields []any
}

// Output is what the inputs so far ask the caller to do: messages to send, requests
// to answer and events to log.
type Output struct {
	Messages  []wire.Envelope
	Responses []Response
	Events    []Event
}

const (
	// LeaderContactTimeout is how long a gate may be out of touch and still decide.
	LeaderContactTimeout clock.Millis = 1000
	// TickInterval is how often a gate should be ticked.
	TickInterval clock.Millis = 50
	// syncGap lies between two syncs with the leader, syncWait is how long the
	// answer to one is waited for.
	syncGap  clock.Millis = 200
	syncWait clock.Millis = 400
	// tellGap lies between two words to the servers that this gate lives, lostGap
	// while it is out of touch.
	tellGap clock.Millis = 1000
	lostGap clock.Millis = 200
	// usualUnnumbered is for orders without a number. With the longest pause that
	// goes unnoticed it makes a second, after which callers send them again.
	usualUnnumbered              = 1000 - stalldetector.Limit
	usual           clock.Millis = 5000
	// most and mostBytes bound the requests in hand and their bodies.
	most      int = 4096
	mostBytes int = 64 << 20
	// staleMost is how often a request is checked anew by a newer table, and
	// expiredMost how often it is sent again whose age was not known.
	staleMost   int = 3
	expiredMost int = 4
	// tryWait is how long a try goes without an answer before another server is
	// asked, shunned how long a server that failed is passed over.
	tryWait clock.Millis = 1000
	shunned clock.Millis = 3000
	// againGap lies between two tries of a request that met no leader.
	againGap clock.Millis = 100
	// staleGap is when a request is tried again whose table is being updated,
	// behindMost how long an update may take before what is not in the table may
	// be in the next, in milliseconds.
	staleGap   clock.Millis = 50
	behindMost clock.Millis = 1000
)

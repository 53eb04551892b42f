// Package identifier holds the small types that name things: who asks, which job,
// which runner, which grant, which epoch. Giving each its own type lets the
// compiler refuse a runner's name where a job's is wanted.
package identifier

import (
	"fmt"
	"strconv"
	"strings"
)

type (
	// Client is the name of the client that submits a job.
	Client string
	// JobID is the id that the client gave its job; it is unique for that
	// client.
	JobID string
	// Runner is the name of a runner, the same after a restart.
	Runner string
	// Incarnation is one incarnation of a runner: a restart makes a new one.
	Incarnation string
	// Domain is a zone, which fails and is drained as a whole.
	Domain string
	// Rack is a rack within a zone.
	Rack string
	// Label is a property of a runner that a step can require.
	Label string
	// Row is the name of a pending row of the limits table.
	Row string
	// LeaseID is the id of a lease. Ids rise from 1 and are never used again.
	LeaseID uint64
	// Epoch is the version of the routing table.
	Epoch uint64
	// Node is the id of a control-plane server; 0 is none.
	Node uint64
	// Term is a term of the consensus group; 0 is before the first.
	Term uint64
	// Index is a position in the replicated log; the first entry has 1.
	Index uint64
)

// JobKey names a job everywhere: the agent's name, a slash, the agent's own id.
type JobKey string

// NewJobKey joins a client's name and its own id for the job. Both must be plain
// names, so that Split finds them again.
func NewJobKey(agent Client, id JobID) JobKey { return JobKey(string(agent) + "/" + string(id)) }

// Split takes a key apart at its first slash.
func (k JobKey) Split() (agent Client, id JobID) {
	a, b, _ := strings.Cut(string(k), "/")
	return Client(a), JobID(b)
}

func (n Node) String() string { return fmt.Sprintf("%016x", uint64(n)) }

// ParseNode reads what Node.String writes: up to 16 hexadecimal digits, not all
// zero.
func ParseNode(text string) (n Node, ok bool) {
	v, err := strconv.ParseUint(text, 16, 64)
	return Node(v), err == nil && v != 0
}

// ValidName tells whether a name given from outside may be used: letters, digits,
// dot, dash and underscore, at most 64 of them.
func ValidName(text string) bool {
	if text == "" || len(text) > 64 {
		return false
	}
	for _, c := range text {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '.', c == '-', c == '_':
		default:
			return false
		}
	}
	return true
}

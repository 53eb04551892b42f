// Package identifier defines the types of identifiers: of clients, jobs, runners, leases,
// servers, and positions in the log. Each has a distinct type, so that the compiler rejects a
// runner's name in place of a job's. The input is text and numbers from outside; the output is
// the typed value, or its text form.
package identifier

import (
	"fmt"
	"strconv"
	"strings"
)

type (
	// Client is the name of the client that submits a job.
	Client string
	// JobID is the id that a client chose for its job; it is unique per client.
	JobID string
	// Runner is the name of a runner, which stays the same across restarts.
	Runner string
	// Incarnation identifies one incarnation of a runner; every restart begins a new one.
	Incarnation string
	// Domain is a failure domain, such as a zone, which is drained as a unit.
	Domain string
	// Rack is a rack within a failure domain.
	Rack string
	// Label is a property of a runner that a step can require.
	Label string
	// Row is the name of a row of the limits table.
	Row string
	// LeaseID is the id of a lease. Ids increase from 1 and are never reused.
	LeaseID uint64
	// Epoch is the version of the routing table.
	Epoch uint64
	// Node is the id of a control-plane server; 0 means none.
	Node uint64
	// Term is a term of the consensus group; 0 is before the first.
	Term uint64
	// Index is a position in the replicated log; the first entry has 1.
	Index uint64
)

// JobKey identifies a job in the whole cluster: the client's name, a slash, and the id that
// the client chose.
type JobKey string

// NewJobKey joins a client's name and its id for the job. Both must be valid names, so that
// Split can separate them.
func NewJobKey(client Client, id JobID) JobKey { return JobKey(string(client) + "/" + string(id)) }

// Split separates a key at its first slash.
func (k JobKey) Split() (client Client, id JobID) {
	before, after, _ := strings.Cut(string(k), "/")
	return Client(before), JobID(after)
}

func (n Node) String() string { return fmt.Sprintf("%016x", uint64(n)) }

// ParseNode parses the output of Node.String: up to 16 hexadecimal digits, not all zero.
func ParseNode(text string) (n Node, ok bool) {
	value, err := strconv.ParseUint(text, 16, 64)
	return Node(value), err == nil && value != 0
}

// maxNameBytes bounds the length of a valid name.
const maxNameBytes = 64

// ValidName reports whether a name from outside is valid: 1 to 64 ASCII letters, digits,
// dots, dashes and underscores.
func ValidName(text string) bool {
	if text == "" || len(text) > maxNameBytes {
		return false
	}
	for _, c := range text {
		if !validNameRune(c) {
			return false
		}
	}
	return true
}

func validNameRune(c rune) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return c == '.' || c == '-' || c == '_'
}

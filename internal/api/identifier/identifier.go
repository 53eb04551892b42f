// Package identifier has the types that name things: clients, jobs, runners, leases,
// servers, positions in the log. Each has a type of its own, so that the compiler rejects
// a runner's name where a job's is wanted. The input is text and numbers from outside; the
// output is the same as a type, or as text again.
package identifier

import (
	"fmt"
	"strconv"
	"strings"
)

type (
	// Client is the name of the client that submits a job.
	Client string
	// JobID is the id that the client gave its job; it is unique for that client.
	JobID string
	// Runner is the name of a runner, the same after a restart.
	Runner string
	// Incarnation is one incarnation of a runner: a restart makes a new one.
	Incarnation string
	// Domain is a failure domain, such as a zone, which is drained as one.
	Domain string
	// Rack is a rack within a failure domain.
	Rack string
	// Label is a property of a runner that a step can require.
	Label string
	// Row is the name of a row of the limits table.
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

// JobKey names a job everywhere: the client's name, a slash, and the client's id for it.
type JobKey string

// NewJobKey joins a client's name and its own id for the job. Both must be valid names, so
// that Split finds them again.
func NewJobKey(client Client, id JobID) JobKey { return JobKey(string(client) + "/" + string(id)) }

// Split separates a key at its first slash.
func (k JobKey) Split() (client Client, id JobID) {
	before, after, _ := strings.Cut(string(k), "/")
	return Client(before), JobID(after)
}

func (n Node) String() string { return fmt.Sprintf("%016x", uint64(n)) }

// ParseNode reads what Node.String writes: up to 16 hexadecimal digits, not all zero.
func ParseNode(text string) (n Node, ok bool) {
	value, err := strconv.ParseUint(text, 16, 64)
	return Node(value), err == nil && value != 0
}

// maxNameBytes bounds the length of a valid name.
const maxNameBytes = 64

// ValidName tells whether a name from outside may be used: 1 to 64 letters and digits of
// ASCII, dots, dashes and underscores.
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

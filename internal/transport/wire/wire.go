// Package wire is the speech among the project's processes: Go values here,
// Cap'n Proto frames in the stream encoding on the line.
package wire

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
)

// Peer is the other end of a line: an address to dial, or "#n" for the n-th
// line that was accepted, or "@n" for the n-th request of the process itself.
type Peer string

// Local tells whether the peer is a request that was made at this process.
func (p Peer) Local() bool { return p != "" && p[0] == '@' }

// Message carries exactly one of these.
type Message struct {
	Raft         *raft.Message
	Request      *Request
	Response     *Response
	Announcement *Announcement
}

// LeaderTime is a reading of a leader's own monotonic clock, in the term that
// it led. The zero value is no reading.
type LeaderTime struct {
	Term identifier.Term
	At   clock.Monotonic
}

// Later tells whether this reading was taken after another one.
func (t LeaderTime) Later(than LeaderTime) bool {
	return t.Term > than.Term || t.Term == than.Term && t.At > than.At
}

// Request is a request on its way to the leader. Dated says that Known is the
// latest reading of the leader's clock that the sender had when it sent this;
// Budget is how much longer, in milliseconds, the sender waits from then on.
type Request struct {
	ID            uint64
	Method        string
	Path          string
	Query         string
	Body          []byte
	Epoch         identifier.Epoch
	Budget        clock.Millis
	Hops          uint8
	HasLeaderTime bool
	LeaderTime    LeaderTime
}

// IsOrder tells whether the request changes something: an order that its sender
// has given up on must not be carried out later.
func (a *Request) IsOrder() bool {
	return a.Method == "PUT" || a.Method == "PATCH" || a.Method == "DELETE"
}

// Response answers an Ask. Moved says that the asked one isn't the leader; Stale
// that the asker's table is old, the new one being the body; Expired that the
// order may be older than its sender's patience and was not taken. Leader is a
// reading of the answering leader's clock.
type Response struct {
	ID         uint64
	Status     int
	Body       []byte
	RetryAfter clock.Millis
	NotLeader  bool
	Stale      bool
	Expired    bool
	LeaderTime LeaderTime
}

// Announcement is how processes find one another: who I am, whom I know. Ask wants a
// Tell in return.
type Announcement struct {
	WantReply bool
	Role      string
	Node      identifier.Node
	Addr      string
	Domain    identifier.Domain
	HTTP      string
	Founded   bool
	LeaderID  identifier.Node
	Members   []raft.Member
	Founders  []raft.Member
	Gateways  []string
	// LeaderTime is a reading of the sender's clock, where the sender leads.
	LeaderTime LeaderTime
}

// Envelope is a message on its way out of a machine.
type Envelope struct {
	To      Peer
	Message Message
}

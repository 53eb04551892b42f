package wire

import (
	"net/http"
	"strconv"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
)

// Role is the kind of process that sent an announcement.
type Role string

// The roles, by their names in frames.
const (
	// RoleServer is a control-plane server with a disk, which may be a member of the
	// group.
	RoleServer Role = "keeper"
	// RoleForwarder is a control-plane server without a disk, which forwards requests to the
	// leader.
	RoleForwarder Role = "porter"
	// RoleGateway is a gateway.
	RoleGateway Role = "gate"
	// RoleRunner is a runner.
	RoleRunner Role = "runner"
)

// Message is a frame's content. Exactly one field is set.
type Message struct {
	Raft         *raft.Message
	Request      *Request
	Response     *Response
	Announcement *Announcement
}

// Envelope is an outgoing message with its destination.
type Envelope struct {
	To      Peer
	Message Message
}

// LeaderTime is a reading of a leader's monotonic clock, with the term in which it led. The
// zero value means no reading.
type LeaderTime struct {
	Term identifier.Term
	At   clock.Monotonic
}

// Later reports whether this reading was taken after another one.
func (t LeaderTime) Later(than LeaderTime) bool {
	return t.Term > than.Term || t.Term == than.Term && t.At > than.At
}

// Request is a request to the leader, which other processes may forward.
type Request struct {
	// ID is chosen by the sender and repeated in the response.
	ID     uint64
	Method string
	Path   string
	Query  string
	Body   []byte
	// Epoch is the epoch of the sender's routing table.
	Epoch identifier.Epoch
	// Budget is how much longer the sender waits for the response, in milliseconds.
	Budget clock.Millis
	// Hops is how many times the request was forwarded.
	Hops uint8
	// HasLeaderTime means that LeaderTime is the latest reading of the leader's clock that
	// the sender had when it sent the request; Budget starts at that reading.
	HasLeaderTime bool
	LeaderTime    LeaderTime
}

// IsOrder reports whether the request changes state. An order that its sender has abandoned
// must not be applied later.
func (r *Request) IsOrder() bool {
	switch r.Method {
	case http.MethodPut, http.MethodPatch, http.MethodDelete:
		return true
	}
	return false
}

// NewWithdrawal returns a request that withdraws an earlier one. The receiver identifies the
// earlier request by its ID and by the connection on which both arrived.
func NewWithdrawal(id, withdrawn uint64) *Request {
	return &Request{ID: id, Method: endpoint.MethodWithdraw, Path: "/", Query: strconv.FormatUint(withdrawn, 10)}
}

// Withdraws returns the ID of the request that this one withdraws; ok is false if this request
// is not a withdrawal.
func (r *Request) Withdraws() (id uint64, ok bool) {
	if r.Method != endpoint.MethodWithdraw {
		return 0, false
	}
	id, err := strconv.ParseUint(r.Query, 10, 64)
	return id, err == nil
}

// Response answers a Request.
type Response struct {
	ID uint64
	// Status is an HTTP status.
	Status     int
	Body       []byte
	RetryAfter clock.Millis
	// NotLeader means that the receiver of the request is not the leader.
	NotLeader bool
	// Stale means that the sender's routing table is outdated; the body is the current one.
	Stale bool
	// Expired means that the order was rejected because its sender's budget may have run
	// out.
	Expired bool
	// LeaderTime is a reading of the responding leader's clock.
	LeaderTime LeaderTime
}

// IsRejection reports whether the status means that the request was not applied and may be sent
// again, either later or with another key.
func (r *Response) IsRejection() bool {
	switch r.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusUnauthorized:
		return true
	}
	return false
}

// Announcement is the message by which processes discover one another. It describes the sender
// and the processes that the sender knows.
type Announcement struct {
	// WantReply asks for an announcement in return.
	WantReply bool
	Role      Role
	Node      identifier.Node
	// Addr is the address on which the sender accepts frames, HTTP the address on which it
	// serves clients.
	Addr   string
	Domain identifier.Domain
	HTTP   string
	// Founded means that the sender knows that the group exists.
	Founded  bool
	LeaderID identifier.Node
	Members  []raft.Member
	// Founders are the first members of a group that is being founded.
	Founders []raft.Member
	// Gateways are the addresses of the gateways that the sender knows.
	Gateways []string
	// LeaderTime is a reading of the sender's clock, if the sender is the leader.
	LeaderTime LeaderTime
}

// ClaimsLeadership reports whether the sender is a member of the group and names itself as its
// leader.
func (a *Announcement) ClaimsLeadership() bool { return a.Node != 0 && a.LeaderID == a.Node }

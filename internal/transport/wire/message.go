package wire

import (
	"net/http"
	"strconv"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
)

// Role says what kind of process an announcement is of.
type Role string

// The roles, as they stand in frames.
const (
	// RoleServer is a control-plane server with a disk, which may be a member of the
	// group.
	RoleServer Role = "keeper"
	// RoleForwarder is a control-plane server without a disk, which passes requests on
	// to the leader.
	RoleForwarder Role = "porter"
	// RoleGateway is a gateway.
	RoleGateway Role = "gate"
	// RoleRunner is a runner.
	RoleRunner Role = "runner"
)

// Message carries exactly one of these.
type Message struct {
	Raft         *raft.Message
	Request      *Request
	Response     *Response
	Announcement *Announcement
}

// Envelope is a message on its way out of a process.
type Envelope struct {
	To      Peer
	Message Message
}

// LeaderTime is a reading of a leader's own monotonic clock, in the term that it led.
// The zero value is no reading.
type LeaderTime struct {
	Term identifier.Term
	At   clock.Monotonic
}

// Later reports whether this reading was taken after another one.
func (t LeaderTime) Later(than LeaderTime) bool {
	return t.Term > than.Term || t.Term == than.Term && t.At > than.At
}

// Request is a request on its way to the leader.
type Request struct {
	// ID is the sender's, and is repeated in the response.
	ID     uint64
	Method string
	Path   string
	Query  string
	Body   []byte
	// Epoch is that of the sender's routing table.
	Epoch identifier.Epoch
	// Budget is how much longer the sender waits for the response, in milliseconds.
	Budget clock.Millis
	// Hops is how often the request was passed on.
	Hops uint8
	// HasLeaderTime says that LeaderTime is the latest reading of the leader's clock
	// that the sender had when it sent this; Budget counts from then on.
	HasLeaderTime bool
	LeaderTime    LeaderTime
}

// IsOrder reports whether the request changes something: an order that its sender has
// given up on must not be carried out later.
func (r *Request) IsOrder() bool {
	switch r.Method {
	case http.MethodPut, http.MethodPatch, http.MethodDelete:
		return true
	}
	return false
}

// NewWithdrawal is the request that takes back another one: the receiver knows that one by
// the connection that both came on, and by its ID.
func NewWithdrawal(id, withdrawn uint64) *Request {
	return &Request{ID: id, Method: endpoint.MethodWithdraw, Path: "/", Query: strconv.FormatUint(withdrawn, 10)}
}

// Withdraws is the ID of the request that this one takes back; ok is false if it takes none
// back.
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
	// NotLeader says that the receiver of the request does not lead.
	NotLeader bool
	// Stale says that the sender's routing table is old; the body is the new one.
	Stale bool
	// Expired says that the order may be older than its sender waits, and was not
	// taken.
	Expired bool
	// LeaderTime is a reading of the answering leader's clock.
	LeaderTime LeaderTime
}

// IsRefusal reports whether the status says that the request was not carried out, and may
// be sent again later, or again with another key.
func (r *Response) IsRefusal() bool {
	switch r.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusUnauthorized:
		return true
	}
	return false
}

// Announcement is how processes discover one another: it says who the sender is and
// whom it knows.
type Announcement struct {
	// WantReply asks for an announcement in return.
	WantReply bool
	Role      Role
	Node      identifier.Node
	// Addr is where the sender accepts frames, HTTP where it serves clients.
	Addr   string
	Domain identifier.Domain
	HTTP   string
	// Founded says that the sender knows the group to exist.
	Founded  bool
	LeaderID identifier.Node
	Members  []raft.Member
	// Founders are the first members of a group that is being founded.
	Founders []raft.Member
	// Gateways are the addresses of the gateways that the sender knows.
	Gateways []string
	// LeaderTime is a reading of the sender's clock, where the sender leads.
	LeaderTime LeaderTime
}

// ClaimsLeadership reports whether the sender, a server that belongs to a group, says that
// it leads itself.
func (a *Announcement) ClaimsLeadership() bool { return a.Node != 0 && a.LeaderID == a.Node }

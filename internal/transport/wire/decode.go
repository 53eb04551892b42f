package wire

import (
	"io"

	"capnproto.org/go/capnp/v3"
	"github.com/go-faster/errors"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/transport/wire/frame"
)

// MaxFrame is the maximum size of a frame that is read, in bytes.
const MaxFrame = 8 << 20

// errEmptyFrame means that a frame holds no message type that this version knows.
var errEmptyFrame = errors.New("frame holds no known message")

// Decoder reads messages from a stream, one frame each. It is not safe for
// concurrent use.
type Decoder struct {
	frames *capnp.Decoder
}

// NewDecoder returns a decoder that reads from r and rejects frames larger than MaxFrame
// bytes.
func NewDecoder(r io.Reader) *Decoder {
	frames := capnp.NewDecoder(r)
	frames.MaxMessageSize = MaxFrame
	return &Decoder{frames}
}

// Decode reads the next message. After any error, including the end of the stream, the stream
// cannot be read any further.
func (d *Decoder) Decode() (Message, error) {
	var m Message
	msg, err := d.frames.Decode()
	if err != nil {
		return m, err
	}
	f, err := frame.ReadRootFrame(msg)
	if err != nil {
		return m, err
	}
	switch {
	case f.HasRaft():
		m.Raft, err = decodeRaft(f)
	case f.HasAsk():
		m.Request, err = decodeRequest(f)
	case f.HasReply():
		m.Response, err = decodeResponse(f)
	case f.HasTell():
		m.Announcement, err = decodeAnnouncement(f)
	default:
		err = errEmptyFrame
	}
	return m, err
}

// fieldReader reads fields one after another and keeps the first error.
type fieldReader struct {
	err error
}

func (r *fieldReader) text(s string, err error) string {
	r.err = firstError(r.err, err)
	return s
}

// data returns a copy of a field, since the original bytes are owned by the frame.
func (r *fieldReader) data(b []byte, err error) []byte {
	r.err = firstError(r.err, err)
	return append([]byte(nil), b...)
}

func decodeRequest(f frame.Frame) (*Request, error) {
	in, err := f.Ask()
	if err != nil {
		return nil, err
	}
	var fields fieldReader
	r := &Request{
		ID:            in.Id(),
		Method:        fields.text(in.Verb()),
		Path:          fields.text(in.Path()),
		Query:         fields.text(in.Query()),
		Body:          fields.data(in.Body()),
		Epoch:         identifier.Epoch(in.Epoch()),
		Budget:        clock.Millis(in.Budget()),
		Hops:          in.Hops(),
		HasLeaderTime: in.Dated(),
		LeaderTime:    decodeLeaderTime(in),
	}
	return r, fields.err
}

func decodeResponse(f frame.Frame) (*Response, error) {
	in, err := f.Reply()
	if err != nil {
		return nil, err
	}
	var fields fieldReader
	r := &Response{
		ID:         in.Id(),
		Status:     int(in.Status()),
		Body:       fields.data(in.Body()),
		RetryAfter: clock.Millis(in.Retry()),
		NotLeader:  in.Moved(),
		Stale:      in.Stale(),
		Expired:    in.Expired(),
		LeaderTime: decodeLeaderTime(in),
	}
	return r, fields.err
}

func decodeAnnouncement(f frame.Frame) (*Announcement, error) {
	in, err := f.Tell()
	if err != nil {
		return nil, err
	}
	var fields fieldReader
	a := &Announcement{
		WantReply:  in.Ask(),
		Role:       Role(fields.text(in.Role())),
		Node:       identifier.Node(in.Node()),
		Addr:       fields.text(in.Addr()),
		Domain:     identifier.Domain(fields.text(in.Domain())),
		HTTP:       fields.text(in.Http()),
		Founded:    in.Founded(),
		LeaderID:   identifier.Node(in.Lead()),
		Members:    fields.members(in.Members()),
		Founders:   fields.members(in.Founders()),
		LeaderTime: decodeLeaderTime(in),
	}
	gateways, err := in.Gates()
	if err != nil {
		return nil, err
	}
	for i := 0; i < gateways.Len(); i++ {
		a.Gateways = append(a.Gateways, fields.text(gateways.At(i)))
	}
	return a, fields.err
}

// leaderTimeReader is a message in a frame that carries a reading of a leader's clock.
type leaderTimeReader interface {
	LeaderTerm() uint64
	LeaderAt() int64
}

func decodeLeaderTime(in leaderTimeReader) LeaderTime {
	return LeaderTime{Term: identifier.Term(in.LeaderTerm()), At: clock.Monotonic(in.LeaderAt())}
}

func (r *fieldReader) members(list frame.Member_List, err error) []raft.Member {
	r.err = firstError(r.err, err)
	if err != nil {
		return nil
	}
	var members []raft.Member
	for i := 0; i < list.Len(); i++ {
		in := list.At(i)
		members = append(members, raft.Member{
			ID:     identifier.Node(in.Id()),
			Addr:   r.text(in.Addr()),
			Domain: identifier.Domain(r.text(in.Domain())),
			Voter:  in.Voter(),
		})
	}
	return members
}

func decodeRaft(f frame.Frame) (*raft.Message, error) {
	in, err := f.Raft()
	if err != nil {
		return nil, err
	}
	m := &raft.Message{
		Kind:           raft.MessageKind(in.Kind()),
		From:           identifier.Node(in.From()),
		To:             identifier.Node(in.To()),
		Term:           identifier.Term(in.Term()),
		Index:          identifier.Index(in.Index()),
		LogTerm:        identifier.Term(in.LogTerm()),
		Commit:         identifier.Index(in.Commit()),
		Reject:         in.No(),
		LeaderTransfer: in.Force(),
		NextHint:       identifier.Index(in.Hint()),
		SentAt:         clock.Monotonic(in.Stamp()),
		Wall:           clock.WallTime(in.Wall()),
		FirstKnownTerm: identifier.Term(in.Met()),
		ClusterTime:    clock.ClusterTime(in.Site()),
		Level:          in.Level(),
		Leaving:        in.Leaving(),
		Offset:         in.ViewOff(),
		Total:          in.ViewTotal(),
	}
	var fields fieldReader
	m.Entries = fields.entries(in.Entries())
	if in.HasView() {
		m.Snapshot = &raft.Snapshot{
			Index:   identifier.Index(in.ViewIndex()),
			Term:    identifier.Term(in.ViewTerm()),
			Members: fields.members(in.ViewMembers()),
			Data:    fields.data(in.ViewData()),
		}
	}
	return m, fields.err
}

func (r *fieldReader) entries(list frame.Entry_List, err error) []raft.Entry {
	r.err = firstError(r.err, err)
	if err != nil {
		return nil
	}
	var entries []raft.Entry
	for i := 0; i < list.Len(); i++ {
		in := list.At(i)
		entries = append(entries, raft.Entry{
			Index: identifier.Index(in.Index()),
			Term:  identifier.Term(in.Term()),
			Kind:  raft.EntryKind(in.Kind()),
			Data:  r.data(in.Data()),
		})
	}
	return entries
}

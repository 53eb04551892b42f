// Encoding and decoding. A frame that does not decode is an error to close the
// line over, never a panic; sizes are bounded before anything is read.

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

// MaxFrame bounds one frame.
const MaxFrame = 8 << 20

// Encoder writes messages to a stream, one frame each. It does not buffer and is
// not safe for concurrent use.
type Encoder struct{ writer io.Writer }

// NewEncoder makes an encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder { return &Encoder{w} }

// Encode writes one message as one frame. After an error the stream may end within
// a frame and must not be written to again.
func (e *Encoder) Encode(m Message) error {
	msg, seg, err := capnp.NewMessage(capnp.SingleSegment(nil))
	if err != nil {
		return err
	}
	f, err := frame.NewRootFrame(seg)
	if err != nil {
		return err
	}
	if err = encodeMessage(f, m); err != nil {
		return err
	}
	return capnp.NewEncoder(e.writer).Encode(msg)
}

func encodeMessage(f frame.Frame, m Message) error {
	switch {
	case m.Raft != nil:
		r, err := f.NewRaft()
		if err != nil {
			return err
		}
		return encodeRaft(r, m.Raft)
	case m.Request != nil:
		return encodeRequest(f, m.Request)
	case m.Response != nil:
		return encodeResponse(f, m.Response)
	case m.Announcement != nil:
		return encodeAnnouncement(f, m.Announcement)
	}
	return nil
}

func encodeRequest(f frame.Frame, a *Request) error {
	o, err := f.NewAsk()
	if err != nil {
		return err
	}
	o.SetId(a.ID)
	o.SetEpoch(uint64(a.Epoch))
	o.SetBudget(int64(a.Budget))
	o.SetHops(a.Hops)
	o.SetDated(a.HasLeaderTime)
	o.SetLeaderTerm(uint64(a.LeaderTime.Term))
	o.SetLeaderAt(int64(a.LeaderTime.At))
	return firstError(o.SetVerb(a.Method), o.SetPath(a.Path), o.SetQuery(a.Query), o.SetBody(a.Body))
}

func encodeResponse(f frame.Frame, r *Response) error {
	o, err := f.NewReply()
	if err != nil {
		return err
	}
	o.SetId(r.ID)
	o.SetStatus(uint16(r.Status))
	o.SetRetry(int64(r.RetryAfter))
	o.SetMoved(r.NotLeader)
	o.SetStale(r.Stale)
	o.SetExpired(r.Expired)
	o.SetLeaderTerm(uint64(r.LeaderTime.Term))
	o.SetLeaderAt(int64(r.LeaderTime.At))
	return o.SetBody(r.Body)
}

func encodeAnnouncement(f frame.Frame, t *Announcement) error {
	o, err := f.NewTell()
	if err != nil {
		return err
	}
	o.SetNode(uint64(t.Node))
	o.SetFounded(t.Founded)
	o.SetLead(uint64(t.LeaderID))
	o.SetAsk(t.WantReply)
	o.SetLeaderTerm(uint64(t.LeaderTime.Term))
	o.SetLeaderAt(int64(t.LeaderTime.At))
	if err = firstError(o.SetRole(t.Role), o.SetAddr(t.Addr), o.SetDomain(string(t.Domain)), o.SetHttp(t.HTTP)); err != nil {
		return err
	}
	if err = encodeMembers(o.NewMembers, t.Members); err != nil {
		return err
	}
	if err = encodeMembers(o.NewFounders, t.Founders); err != nil {
		return err
	}
	gates, err := o.NewGates(int32(len(t.Gateways)))
	if err != nil {
		return err
	}
	for i, g := range t.Gateways {
		if err = gates.Set(i, g); err != nil {
			return err
		}
	}
	return nil
}

func encodeMembers(allocate func(n int32) (frame.Member_List, error), list []raft.Member) error {
	if len(list) == 0 {
		return nil
	}
	out, err := allocate(int32(len(list)))
	if err != nil {
		return err
	}
	for i, m := range list {
		o := out.At(i)
		o.SetId(uint64(m.ID))
		o.SetVoter(m.Voter)
		if err = firstError(o.SetAddr(m.Addr), o.SetDomain(string(m.Domain))); err != nil {
			return err
		}
	}
	return nil
}

func encodeRaft(o frame.Raft, m *raft.Message) error {
	o.SetKind(uint8(m.Kind))
	o.SetFrom(uint64(m.From))
	o.SetTo(uint64(m.To))
	o.SetTerm(uint64(m.Term))
	o.SetIndex(uint64(m.Index))
	o.SetLogTerm(uint64(m.LogTerm))
	o.SetCommit(uint64(m.Commit))
	o.SetNo(m.Reject)
	o.SetForce(m.LeaderTransfer)
	o.SetHint(uint64(m.NextHint))
	o.SetStamp(int64(m.SentAt))
	o.SetWall(int64(m.Wall))
	o.SetMet(uint64(m.FirstKnownTerm))
	o.SetSite(int64(m.ClusterTime))
	o.SetLevel(m.Level)
	o.SetLeaving(m.Leaving)
	if len(m.Entries) > 0 {
		list, err := o.NewEntries(int32(len(m.Entries)))
		if err != nil {
			return err
		}
		for i, e := range m.Entries {
			one := list.At(i)
			one.SetIndex(uint64(e.Index))
			one.SetTerm(uint64(e.Term))
			one.SetKind(uint8(e.Kind))
			if err = one.SetData(e.Data); err != nil {
				return err
			}
		}
	}
	if m.Snapshot == nil {
		return nil
	}
	o.SetHasView(true)
	o.SetViewIndex(uint64(m.Snapshot.Index))
	o.SetViewTerm(uint64(m.Snapshot.Term))
	o.SetViewOff(m.Offset)
	o.SetViewTotal(m.Total)
	if err := encodeMembers(o.NewViewMembers, m.Snapshot.Members); err != nil {
		return err
	}
	return o.SetViewData(m.Snapshot.Data)
}

func firstError(errs ...error) error {
	var err error
	for _, err = range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Decoder reads messages from a stream, one frame each. It is not safe for
// concurrent use.
type Decoder struct{ frames *capnp.Decoder }

// NewDecoder makes a decoder that reads from r and refuses frames larger than
// MaxFrame bytes.
func NewDecoder(r io.Reader) *Decoder {
	d := &Decoder{capnp.NewDecoder(r)}
	d.frames.MaxMessageSize = MaxFrame
	return d
}

var errEmptyFrame = errors.New("frame carries nothing known")

// Decode reads the next message. Any error, the end of the stream included, means
// that the stream cannot be read any further.
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

// fieldReader reads texts one after another and keeps the first error.
type fieldReader struct{ err error }

func (l *fieldReader) text(s string, err error) string {
	l.err = firstError(l.err, err)
	return s
}

func (l *fieldReader) data(b []byte, err error) []byte {
	l.err = firstError(l.err, err)
	return append([]byte(nil), b...)
}

func decodeRequest(f frame.Frame) (*Request, error) {
	o, err := f.Ask()
	if err != nil {
		return nil, err
	}
	var l fieldReader
	a := &Request{ID: o.Id(), Method: l.text(o.Verb()), Path: l.text(o.Path()), Query: l.text(o.Query()), Body: l.data(o.Body()),
		Epoch: identifier.Epoch(o.Epoch()), Budget: clock.Millis(o.Budget()), Hops: o.Hops(),
		HasLeaderTime: o.Dated(), LeaderTime: LeaderTime{Term: identifier.Term(o.LeaderTerm()), At: clock.Monotonic(o.LeaderAt())}}
	return a, l.err
}

func decodeResponse(f frame.Frame) (*Response, error) {
	o, err := f.Reply()
	if err != nil {
		return nil, err
	}
	var l fieldReader
	r := &Response{ID: o.Id(), Status: int(o.Status()), Body: l.data(o.Body()), RetryAfter: clock.Millis(o.Retry()), NotLeader: o.Moved(), Stale: o.Stale(),
		Expired: o.Expired(), LeaderTime: LeaderTime{Term: identifier.Term(o.LeaderTerm()), At: clock.Monotonic(o.LeaderAt())}}
	return r, l.err
}

func decodeAnnouncement(f frame.Frame) (*Announcement, error) {
	o, err := f.Tell()
	if err != nil {
		return nil, err
	}
	var l fieldReader
	t := &Announcement{WantReply: o.Ask(), Role: l.text(o.Role()), Node: identifier.Node(o.Node()), Addr: l.text(o.Addr()), Domain: identifier.Domain(l.text(o.Domain())),
		HTTP: l.text(o.Http()), Founded: o.Founded(), LeaderID: identifier.Node(o.Lead()),
		LeaderTime: LeaderTime{Term: identifier.Term(o.LeaderTerm()), At: clock.Monotonic(o.LeaderAt())}}
	t.Members = decodeMembers(&l, o.Members)
	t.Founders = decodeMembers(&l, o.Founders)
	gates, err := o.Gates()
	if err != nil {
		return nil, err
	}
	for i := 0; i < gates.Len(); i++ {
		t.Gateways = append(t.Gateways, l.text(gates.At(i)))
	}
	return t, l.err
}

func decodeMembers(l *fieldReader, get func() (frame.Member_List, error)) []raft.Member {
	var list []raft.Member
	in, err := get()
	l.err = firstError(l.err, err)
	if err != nil {
		return nil
	}
	for i := 0; i < in.Len(); i++ {
		o := in.At(i)
		list = append(list, raft.Member{ID: identifier.Node(o.Id()), Addr: l.text(o.Addr()), Domain: identifier.Domain(l.text(o.Domain())), Voter: o.Voter()})
	}
	return list
}

func decodeRaft(f frame.Frame) (*raft.Message, error) {
	o, err := f.Raft()
	if err != nil {
		return nil, err
	}
	var l fieldReader
	m := &raft.Message{Kind: raft.MessageKind(o.Kind()), From: identifier.Node(o.From()), To: identifier.Node(o.To()), Term: identifier.Term(o.Term()),
		Index: identifier.Index(o.Index()), LogTerm: identifier.Term(o.LogTerm()), Commit: identifier.Index(o.Commit()), Reject: o.No(), LeaderTransfer: o.Force(),
		NextHint: identifier.Index(o.Hint()), SentAt: clock.Monotonic(o.Stamp()), Wall: clock.WallTime(o.Wall()), FirstKnownTerm: identifier.Term(o.Met()), ClusterTime: clock.ClusterTime(o.Site()), Level: o.Level(), Leaving: o.Leaving()}
	list, err := o.Entries()
	if err != nil {
		return nil, err
	}
	for i := 0; i < list.Len(); i++ {
		e := list.At(i)
		m.Entries = append(m.Entries, raft.Entry{Index: identifier.Index(e.Index()), Term: identifier.Term(e.Term()), Kind: raft.EntryKind(e.Kind()), Data: l.data(e.Data())})
	}
	if o.HasView() {
		m.Snapshot = &raft.Snapshot{Index: identifier.Index(o.ViewIndex()), Term: identifier.Term(o.ViewTerm()), Data: l.data(o.ViewData())}
		m.Snapshot.Members = decodeMembers(&l, o.ViewMembers)
		m.Offset, m.Total = o.ViewOff(), o.ViewTotal()
	}
	return m, l.err
}

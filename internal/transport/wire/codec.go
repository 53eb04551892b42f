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
type Encoder struct{ w io.Writer }

// NewEncoder makes an encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder { return &Encoder{w} }

// Put writes one message as one frame. After an error the stream may end within
// a frame and must not be written to again.
func (e *Encoder) Put(m Msg) error {
	msg, seg, err := capnp.NewMessage(capnp.SingleSegment(nil))
	if err != nil {
		return err
	}
	f, err := frame.NewRootFrame(seg)
	if err != nil {
		return err
	}
	if err = fill(f, m); err != nil {
		return err
	}
	return capnp.NewEncoder(e.w).Encode(msg)
}

func fill(f frame.Frame, m Msg) error {
	switch {
	case m.Raft != nil:
		r, err := f.NewRaft()
		if err != nil {
			return err
		}
		return putRaft(r, m.Raft)
	case m.Ask != nil:
		return putAsk(f, m.Ask)
	case m.Reply != nil:
		return putReply(f, m.Reply)
	case m.Tell != nil:
		return putTell(f, m.Tell)
	}
	return nil
}

func putAsk(f frame.Frame, a *Ask) error {
	o, err := f.NewAsk()
	if err != nil {
		return err
	}
	o.SetId(a.ID)
	o.SetEpoch(uint64(a.Epoch))
	o.SetBudget(int64(a.Budget))
	o.SetHops(a.Hops)
	o.SetDated(a.Dated)
	o.SetLeaderTerm(uint64(a.Known.Term))
	o.SetLeaderAt(int64(a.Known.At))
	return first(o.SetVerb(a.Verb), o.SetPath(a.Path), o.SetQuery(a.Query), o.SetBody(a.Body))
}

func putReply(f frame.Frame, r *Reply) error {
	o, err := f.NewReply()
	if err != nil {
		return err
	}
	o.SetId(r.ID)
	o.SetStatus(uint16(r.Status))
	o.SetRetry(int64(r.Retry))
	o.SetMoved(r.Moved)
	o.SetStale(r.Stale)
	o.SetExpired(r.Expired)
	o.SetLeaderTerm(uint64(r.Leader.Term))
	o.SetLeaderAt(int64(r.Leader.At))
	return o.SetBody(r.Body)
}

func putTell(f frame.Frame, t *Tell) error {
	o, err := f.NewTell()
	if err != nil {
		return err
	}
	o.SetNode(uint64(t.Node))
	o.SetFounded(t.Founded)
	o.SetLead(uint64(t.Lead))
	o.SetAsk(t.Ask)
	o.SetLeaderTerm(uint64(t.Leader.Term))
	o.SetLeaderAt(int64(t.Leader.At))
	if err = first(o.SetRole(t.Role), o.SetAddr(t.Addr), o.SetDomain(string(t.Domain)), o.SetHttp(t.HTTP)); err != nil {
		return err
	}
	if err = putMembers(o.NewMembers, t.Members); err != nil {
		return err
	}
	if err = putMembers(o.NewFounders, t.Founders); err != nil {
		return err
	}
	gates, err := o.NewGates(int32(len(t.Gates)))
	if err != nil {
		return err
	}
	for i, g := range t.Gates {
		if err = gates.Set(i, g); err != nil {
			return err
		}
	}
	return nil
}

func putMembers(allocate func(n int32) (frame.Member_List, error), list []raft.Member) error {
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
		if err = first(o.SetAddr(m.Addr), o.SetDomain(string(m.Domain))); err != nil {
			return err
		}
	}
	return nil
}

func putRaft(o frame.Raft, m *raft.Message) error {
	o.SetKind(uint8(m.Kind))
	o.SetFrom(uint64(m.From))
	o.SetTo(uint64(m.To))
	o.SetTerm(uint64(m.Term))
	o.SetIndex(uint64(m.Index))
	o.SetLogTerm(uint64(m.LogTerm))
	o.SetCommit(uint64(m.Commit))
	o.SetNo(m.No)
	o.SetForce(m.Force)
	o.SetHint(uint64(m.Hint))
	o.SetStamp(int64(m.Stamp))
	o.SetWall(int64(m.Wall))
	o.SetMet(uint64(m.Met))
	o.SetSite(int64(m.Site))
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
	if m.View == nil {
		return nil
	}
	o.SetHasView(true)
	o.SetViewIndex(uint64(m.View.Index))
	o.SetViewTerm(uint64(m.View.Term))
	o.SetViewOff(m.Off)
	o.SetViewTotal(m.Total)
	if err := putMembers(o.NewViewMembers, m.View.Members); err != nil {
		return err
	}
	return o.SetViewData(m.View.Data)
}

func first(errs ...error) error {
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
type Decoder struct{ d *capnp.Decoder }

// NewDecoder makes a decoder that reads from r and refuses frames larger than
// MaxFrame bytes.
func NewDecoder(r io.Reader) *Decoder {
	d := &Decoder{capnp.NewDecoder(r)}
	d.d.MaxMessageSize = MaxFrame
	return d
}

var errEmpty = errors.New("frame carries nothing known")

// Get reads the next message. Any error, the end of the stream included, means
// that the stream cannot be read any further.
func (d *Decoder) Get() (Msg, error) {
	var m Msg
	msg, err := d.d.Decode()
	if err != nil {
		return m, err
	}
	f, err := frame.ReadRootFrame(msg)
	if err != nil {
		return m, err
	}
	switch {
	case f.HasRaft():
		m.Raft, err = getRaft(f)
	case f.HasAsk():
		m.Ask, err = getAsk(f)
	case f.HasReply():
		m.Reply, err = getReply(f)
	case f.HasTell():
		m.Tell, err = getTell(f)
	default:
		err = errEmpty
	}
	return m, err
}

// look reads texts one after another and keeps the first error.
type look struct{ err error }

func (l *look) text(s string, err error) string {
	l.err = first(l.err, err)
	return s
}

func (l *look) data(b []byte, err error) []byte {
	l.err = first(l.err, err)
	return append([]byte(nil), b...)
}

func getAsk(f frame.Frame) (*Ask, error) {
	o, err := f.Ask()
	if err != nil {
		return nil, err
	}
	var l look
	a := &Ask{ID: o.Id(), Verb: l.text(o.Verb()), Path: l.text(o.Path()), Query: l.text(o.Query()), Body: l.data(o.Body()),
		Epoch: identifier.Epoch(o.Epoch()), Budget: clock.Millis(o.Budget()), Hops: o.Hops(),
		Dated: o.Dated(), Known: LeaderTime{Term: identifier.Term(o.LeaderTerm()), At: clock.Monotonic(o.LeaderAt())}}
	return a, l.err
}

func getReply(f frame.Frame) (*Reply, error) {
	o, err := f.Reply()
	if err != nil {
		return nil, err
	}
	var l look
	r := &Reply{ID: o.Id(), Status: int(o.Status()), Body: l.data(o.Body()), Retry: clock.Millis(o.Retry()), Moved: o.Moved(), Stale: o.Stale(),
		Expired: o.Expired(), Leader: LeaderTime{Term: identifier.Term(o.LeaderTerm()), At: clock.Monotonic(o.LeaderAt())}}
	return r, l.err
}

func getTell(f frame.Frame) (*Tell, error) {
	o, err := f.Tell()
	if err != nil {
		return nil, err
	}
	var l look
	t := &Tell{Ask: o.Ask(), Role: l.text(o.Role()), Node: identifier.Node(o.Node()), Addr: l.text(o.Addr()), Domain: identifier.Domain(l.text(o.Domain())),
		HTTP: l.text(o.Http()), Founded: o.Founded(), Lead: identifier.Node(o.Lead()),
		Leader: LeaderTime{Term: identifier.Term(o.LeaderTerm()), At: clock.Monotonic(o.LeaderAt())}}
	t.Members = getMembers(&l, o.Members)
	t.Founders = getMembers(&l, o.Founders)
	gates, err := o.Gates()
	if err != nil {
		return nil, err
	}
	for i := 0; i < gates.Len(); i++ {
		t.Gates = append(t.Gates, l.text(gates.At(i)))
	}
	return t, l.err
}

func getMembers(l *look, get func() (frame.Member_List, error)) []raft.Member {
	var list []raft.Member
	in, err := get()
	l.err = first(l.err, err)
	if err != nil {
		return nil
	}
	for i := 0; i < in.Len(); i++ {
		o := in.At(i)
		list = append(list, raft.Member{ID: identifier.Node(o.Id()), Addr: l.text(o.Addr()), Domain: identifier.Domain(l.text(o.Domain())), Voter: o.Voter()})
	}
	return list
}

func getRaft(f frame.Frame) (*raft.Message, error) {
	o, err := f.Raft()
	if err != nil {
		return nil, err
	}
	var l look
	m := &raft.Message{Kind: raft.Kind(o.Kind()), From: identifier.Node(o.From()), To: identifier.Node(o.To()), Term: identifier.Term(o.Term()),
		Index: identifier.Index(o.Index()), LogTerm: identifier.Term(o.LogTerm()), Commit: identifier.Index(o.Commit()), No: o.No(), Force: o.Force(),
		Hint: identifier.Index(o.Hint()), Stamp: clock.Monotonic(o.Stamp()), Wall: clock.WallTime(o.Wall()), Met: identifier.Term(o.Met()), Site: clock.ClusterTime(o.Site()), Level: o.Level(), Leaving: o.Leaving()}
	list, err := o.Entries()
	if err != nil {
		return nil, err
	}
	for i := 0; i < list.Len(); i++ {
		e := list.At(i)
		m.Entries = append(m.Entries, raft.Entry{Index: identifier.Index(e.Index()), Term: identifier.Term(e.Term()), Kind: raft.EntryKind(e.Kind()), Data: l.data(e.Data())})
	}
	if o.HasView() {
		m.View = &raft.Snapshot{Index: identifier.Index(o.ViewIndex()), Term: identifier.Term(o.ViewTerm()), Data: l.data(o.ViewData())}
		m.View.Members = getMembers(&l, o.ViewMembers)
		m.Off, m.Total = o.ViewOff(), o.ViewTotal()
	}
	return m, l.err
}

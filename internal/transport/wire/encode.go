package wire

import (
	"io"

	"capnproto.org/go/capnp/v3"

	"orchidward/internal/consensus/raft"
	"orchidward/internal/transport/wire/frame"
)

// Encoder writes messages to a stream, one frame each. It does not buffer and is
// not safe for concurrent use.
type Encoder struct {
	writer io.Writer
}

// NewEncoder returns an encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder { return &Encoder{w} }

// Encode writes a message as one frame. After an error the stream may end in the middle of a
// frame and must not be written to again.
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

// encodeMessage fills a frame with the one field of a message that is set.
func encodeMessage(f frame.Frame, m Message) error {
	switch {
	case m.Raft != nil:
		return encodeRaft(f, m.Raft)
	case m.Request != nil:
		return encodeRequest(f, m.Request)
	case m.Response != nil:
		return encodeResponse(f, m.Response)
	case m.Announcement != nil:
		return encodeAnnouncement(f, m.Announcement)
	}
	return nil
}

func encodeRequest(f frame.Frame, r *Request) error {
	out, err := f.NewAsk()
	if err != nil {
		return err
	}
	out.SetId(r.ID)
	out.SetEpoch(uint64(r.Epoch))
	out.SetBudget(int64(r.Budget))
	out.SetHops(r.Hops)
	out.SetDated(r.HasLeaderTime)
	out.SetLeaderTerm(uint64(r.LeaderTime.Term))
	out.SetLeaderAt(int64(r.LeaderTime.At))
	return firstError(
		out.SetVerb(r.Method),
		out.SetPath(r.Path),
		out.SetQuery(r.Query),
		out.SetBody(r.Body),
	)
}

func encodeResponse(f frame.Frame, r *Response) error {
	out, err := f.NewReply()
	if err != nil {
		return err
	}
	out.SetId(r.ID)
	out.SetStatus(uint16(r.Status))
	out.SetRetry(int64(r.RetryAfter))
	out.SetMoved(r.NotLeader)
	out.SetStale(r.Stale)
	out.SetExpired(r.Expired)
	out.SetLeaderTerm(uint64(r.LeaderTime.Term))
	out.SetLeaderAt(int64(r.LeaderTime.At))
	return out.SetBody(r.Body)
}

func encodeAnnouncement(f frame.Frame, a *Announcement) error {
	out, err := f.NewTell()
	if err != nil {
		return err
	}
	out.SetNode(uint64(a.Node))
	out.SetFounded(a.Founded)
	out.SetLead(uint64(a.LeaderID))
	out.SetAsk(a.WantReply)
	out.SetLeaderTerm(uint64(a.LeaderTime.Term))
	out.SetLeaderAt(int64(a.LeaderTime.At))
	err = firstError(
		out.SetRole(string(a.Role)),
		out.SetAddr(a.Addr),
		out.SetDomain(string(a.Domain)),
		out.SetHttp(a.HTTP),
	)
	if err != nil {
		return err
	}
	if err = encodeMembers(out.NewMembers, a.Members); err != nil {
		return err
	}
	if err = encodeMembers(out.NewFounders, a.Founders); err != nil {
		return err
	}
	gateways, err := out.NewGates(int32(len(a.Gateways)))
	if err != nil {
		return err
	}
	for i, address := range a.Gateways {
		if err = gateways.Set(i, address); err != nil {
			return err
		}
	}
	return nil
}

// encodeMembers fills a member list; it allocates none if there are no members.
func encodeMembers(allocate func(n int32) (frame.Member_List, error), members []raft.Member) error {
	if len(members) == 0 {
		return nil
	}
	list, err := allocate(int32(len(members)))
	if err != nil {
		return err
	}
	for i, m := range members {
		out := list.At(i)
		out.SetId(uint64(m.ID))
		out.SetVoter(m.Voter)
		if err = firstError(out.SetAddr(m.Addr), out.SetDomain(string(m.Domain))); err != nil {
			return err
		}
	}
	return nil
}

func encodeRaft(f frame.Frame, m *raft.Message) error {
	out, err := f.NewRaft()
	if err != nil {
		return err
	}
	out.SetKind(uint8(m.Kind))
	out.SetFrom(uint64(m.From))
	out.SetTo(uint64(m.To))
	out.SetTerm(uint64(m.Term))
	out.SetIndex(uint64(m.Index))
	out.SetLogTerm(uint64(m.LogTerm))
	out.SetCommit(uint64(m.Commit))
	out.SetNo(m.Reject)
	out.SetForce(m.LeaderTransfer)
	out.SetHint(uint64(m.NextHint))
	out.SetStamp(int64(m.SentAt))
	out.SetWall(int64(m.Wall))
	out.SetMet(uint64(m.FirstKnownTerm))
	out.SetSite(int64(m.ClusterTime))
	out.SetLevel(m.Level)
	out.SetLeaving(m.Leaving)
	out.SetViewOff(m.Offset)
	out.SetViewTotal(m.Total)
	if err = encodeEntries(out, m.Entries); err != nil {
		return err
	}
	if m.Snapshot == nil {
		return nil
	}
	return encodeSnapshot(out, m)
}

func encodeEntries(out frame.Raft, entries []raft.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	list, err := out.NewEntries(int32(len(entries)))
	if err != nil {
		return err
	}
	for i, e := range entries {
		entry := list.At(i)
		entry.SetIndex(uint64(e.Index))
		entry.SetTerm(uint64(e.Term))
		entry.SetKind(uint8(e.Kind))
		if err = entry.SetData(e.Data); err != nil {
			return err
		}
	}
	return nil
}

// encodeSnapshot encodes a chunk of a snapshot.
func encodeSnapshot(out frame.Raft, m *raft.Message) error {
	out.SetHasView(true)
	out.SetViewIndex(uint64(m.Snapshot.Index))
	out.SetViewTerm(uint64(m.Snapshot.Term))
	if err := encodeMembers(out.NewViewMembers, m.Snapshot.Members); err != nil {
		return err
	}
	return out.SetViewData(m.Snapshot.Data)
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

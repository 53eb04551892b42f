package raft

import (
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

func threeVoters() []Member {
	var list []Member
	for i := 1; i <= 3; i++ {
		list = append(list, Member{ID: identifier.Node(i), Voter: true})
	}
	return list
}

// grantsVote tells how an ask for a vote at this moment is answered, once all that
// was written is on disk.
func grantsVote(r *Raft, term identifier.Term, now clock.Monotonic) bool {
	var yes bool
	r.Step(Message{Kind: RequestVote, From: 2, To: 1, Term: term, Index: 9, LogTerm: 9}, now, 0)
	o := r.TakeOutput()
	msgs := o.Messages
	if o.Write != nil {
		r.Synced(o.Write.Seq)
		msgs = append(msgs, r.TakeOutput().Messages...)
	}
	for _, m := range msgs {
		yes = yes || m.Kind == VoteReply && !m.Reject
	}
	return yes
}

// TestNoVoteSoonAfterStart: a process just started may have heard a leader a
// moment before it stopped, whose lease still stands.
func TestNoVoteSoonAfterStart(t *testing.T) {
	r := New(1, DefaultTiming(), 1, 0, HardState{Term: 3}, &Snapshot{Index: 1, Term: 1, Members: threeVoters()}, nil)
	if grantsVote(r, 4, 700) {
		t.Error("700 ms after its start it helped to elect another")
	}
	if !grantsVote(r, 4, 1100) {
		t.Error("1100 ms after its start it still helps nobody")
	}
}

// TestOlderTermNotCommittedByCount: an entry of an older term is not decided by being on a
// majority's disks; only an entry of the leader's own term decides it.
func TestOlderTermNotCommittedByCount(t *testing.T) {
	view := &Snapshot{Index: 1, Term: 1, Members: threeVoters()}
	r := New(1, DefaultTiming(), 1, 0, HardState{Term: 3}, view, []Entry{{Index: 2, Term: 2, Kind: EntryCommand, Data: []byte("x")}})
	sync := func() {
		for o := r.TakeOutput(); o.Write != nil; o = r.TakeOutput() {
			r.Synced(o.Write.Seq)
		}
	}
	now := clock.Monotonic(0)
	for r.Role() != PreCandidate {
		now += 100
		r.Tick(now, 0)
	}
	r.Step(Message{Kind: PreVoteReply, From: 2, To: 1, Term: 4}, now, 0)
	sync()
	r.Step(Message{Kind: VoteReply, From: 2, To: 1, Term: 4}, now, 0)
	sync()
	if r.Role() != Leader || r.LastIndex() != 3 {
		t.Fatalf("role %d, last %d", r.Role(), r.LastIndex())
	}
	r.Step(Message{Kind: AppendReply, From: 2, To: 1, Term: 4, Index: 2, SentAt: now}, now, 0)
	if r.CommitIndex() != 1 {
		t.Errorf("an entry of term 2 was committed by count under term 4: commit %d", r.CommitIndex())
	}
	r.Step(Message{Kind: AppendReply, From: 2, To: 1, Term: 4, Index: 3, SentAt: now}, now, 0)
	if r.CommitIndex() != 3 {
		t.Errorf("an entry of the leader's own term did not decide: commit %d", r.CommitIndex())
	}
}

// TestBacklogMergesWrites: what waits for a slow disk is done as one, later tails over
// earlier ones, and a view alone.
func TestBacklogMergesWrites(t *testing.T) {
	var b Backlog
	e := func(list ...identifier.Index) []Entry {
		var out []Entry
		for _, i := range list {
			out = append(out, Entry{Index: i, Term: identifier.Term(b.Len() + 1), Data: []byte("12345678")})
		}
		return out
	}
	b.Add(&Write{Seq: 1, HardState: &HardState{Term: 1}, Entries: e(1, 2, 3)})
	b.Add(&Write{Seq: 2, Entries: e(3, 4)})
	b.Add(&Write{Seq: 3, HardState: &HardState{Term: 2}})
	b.Add(&Write{Seq: 4, Snapshot: &Snapshot{Index: 3, Data: []byte("v")}})
	b.Add(&Write{Seq: 5, Entries: e(5)})
	one, two, three := b.Next(), b.Next(), b.Next()
	if one.Seq != 3 || one.HardState.Term != 2 || len(one.Entries) != 4 || one.Entries[2].Term != 2 || one.Entries[1].Term != 1 {
		t.Errorf("first %+v", one)
	}
	if two.Seq != 4 || two.Snapshot == nil || three.Seq != 5 || b.Next() != nil || b.Bytes() != 0 {
		t.Errorf("then %+v, %+v, %d bytes left", two, three, b.Bytes())
	}
}

// TestVoteSyncedBeforeSent: a vote is told only once it is synced; one told before and
// lost with the power could be given twice.
func TestVoteSyncedBeforeSent(t *testing.T) {
	r := New(1, DefaultTiming(), 1, 0, HardState{Term: 3}, &Snapshot{Index: 1, Term: 1, Members: threeVoters()}, nil)
	r.Step(Message{Kind: RequestVote, From: 2, To: 1, Term: 4, Index: 9, LogTerm: 9}, 1100, 0)
	o := r.TakeOutput()
	if o.Write == nil || o.Write.HardState == nil || o.Write.HardState.Vote != 2 || len(o.Messages) > 0 {
		t.Fatalf("before the sync: %+v", o)
	}
	r.Synced(o.Write.Seq)
	if o = r.TakeOutput(); len(o.Messages) != 1 || o.Messages[0].Reject {
		t.Errorf("after the sync: %+v", o.Messages)
	}
}

package raft

import (
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// TestOlderTermNotCommittedByCount checks that an entry of an older term is not committed by
// being on the disks of a majority, but only by committing an entry of the leader's own term.
func TestOlderTermNotCommittedByCount(t *testing.T) {
	r := newMember(1, 3, Entry{Index: 2, Term: 2, Kind: EntryCommand, Data: []byte("x")})
	now := elect(t, r)
	if r.LastIndex() != 3 {
		t.Fatalf("last index %d", r.LastIndex())
	}
	r.Step(Message{Kind: AppendReply, From: 2, To: 1, Term: 4, Index: 2, SentAt: now}, now, 0)
	if r.CommitIndex() != 1 {
		t.Errorf("an entry of term 2 was committed by count under term 4: commit %d", r.CommitIndex())
	}
	r.Step(Message{Kind: AppendReply, From: 2, To: 1, Term: 4, Index: 3, SentAt: now}, now, 0)
	if r.CommitIndex() != 3 {
		t.Errorf("an entry of the leader's own term was not committed: commit %d", r.CommitIndex())
	}
}

// TestLateSnapshotKeepsEntries checks that a delayed snapshot removes no entries if it arrives
// after the member acknowledged entries beyond the snapshot.
func TestLateSnapshotKeepsEntries(t *testing.T) {
	r := newMember(1, 3)
	m := Message{Kind: AppendEntries, From: 2, To: 1, Term: 3, Index: 1, LogTerm: 1, Commit: 1}
	for i := identifier.Index(2); i <= 100; i++ {
		m.Entries = append(m.Entries, Entry{Index: i, Term: 3, Kind: EntryCommand})
	}
	r.Step(m, 10, 0)
	o := r.TakeOutput()
	r.Synced(o.Write.Seq)
	if o = r.TakeOutput(); len(o.Messages) != 1 || o.Messages[0].Index != 100 {
		t.Fatalf("messages after the sync: %+v", o.Messages)
	}
	late := &Snapshot{Index: 80, Term: 3, Members: threeVoters(), Data: []byte("late")}
	r.Step(Message{Kind: InstallSnapshot, From: 2, To: 1, Term: 3, Snapshot: late, Total: 4, Commit: 80}, 20, 0)
	o = r.TakeOutput()
	if r.LastIndex() != 100 {
		t.Errorf("entries up to 100 were acknowledged; after a delayed snapshot at 80 the log ends at %d", r.LastIndex())
	}
	if r.CommitIndex() < 80 || len(o.Committed) != int(r.CommitIndex()-1) {
		t.Errorf("commit index %d, %d entries returned as committed", r.CommitIndex(), len(o.Committed))
	}
}

// TestStalledDiskQueueBounded sends heartbeats to a follower with a stalled disk for an hour.
// The acknowledgements that wait for the disk must not accumulate, and the one sent after the
// sync must acknowledge the newest heartbeat.
func TestStalledDiskQueueBounded(t *testing.T) {
	r := newMember(1, 3)
	entry := Entry{Index: 2, Term: 3, Kind: EntryCommand, Data: []byte("x")}
	r.Step(Message{Kind: AppendEntries, From: 2, To: 1, Term: 3, Index: 1, LogTerm: 1, Entries: []Entry{entry}, SentAt: 1}, 10, 0)
	write := r.TakeOutput().Write
	last := clock.Monotonic(0)
	for now := clock.Monotonic(200); now < 3600_000; now += 200 {
		last = now
		r.Step(Message{Kind: AppendEntries, From: 2, To: 1, Term: 3, Index: 2, LogTerm: 3, SentAt: now}, now, 0)
		r.TakeOutput()
	}
	if len(r.outbox.pending) > 2 {
		t.Errorf("%d messages wait for the disk", len(r.outbox.pending))
	}
	r.Synced(write.Seq)
	best := Message{}
	for _, m := range r.TakeOutput().Messages {
		if m.Index >= best.Index && m.SentAt >= best.SentAt {
			best = m
		}
	}
	if best.Index != 2 || best.SentAt != last {
		t.Errorf("after the sync, entry %d is acknowledged with send time %d, want entry 2 with send time %d", best.Index, best.SentAt, last)
	}
}

// TestMessageForAnotherMemberIgnored checks that a member that is reached at another member's
// address ignores messages of all kinds to that member: it neither replies nor changes its
// term.
func TestMessageForAnotherMemberIgnored(t *testing.T) {
	for kind := range MessageKind(32) {
		r := newMember(2, 4)
		r.TakeOutput()
		r.Step(Message{Kind: kind, From: 1, To: 3, Term: 9, Index: 1, LogTerm: 1, Commit: 1, LeaderTransfer: true}, 5000, 0)
		if o := r.TakeOutput(); len(o.Messages) > 0 || o.Write != nil || r.Term() != 4 {
			t.Errorf("member 2 took a message for member 3 of kind %d: term %d, sent %+v", kind, r.Term(), o.Messages)
		}
	}
}

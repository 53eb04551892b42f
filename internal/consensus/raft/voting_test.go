package raft

import "testing"

// TestNoVoteSoonAfterStart checks that a process that has just started grants no vote: it may
// have replied to a leader just before it stopped, and that leader's lease may still be
// active.
func TestNoVoteSoonAfterStart(t *testing.T) {
	r := newMember(1, 3)
	if grantsVote(r, 4, 700) {
		t.Error("700 ms after its start, the member helped to elect another leader")
	}
	if !grantsVote(r, 4, 1100) {
		t.Error("1100 ms after its start, the member still grants no vote")
	}
}

// TestVoteSyncedBeforeSent checks that a vote is sent only once it is synced: a member that
// lost an unsynced vote in a power loss could vote twice in the same term.
func TestVoteSyncedBeforeSent(t *testing.T) {
	r := newMember(1, 3)
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

package raft

import "testing"

// TestMessageForAnotherMemberIgnored: a member that stands at the address of another takes
// none of its messages, whatever their kind: it neither answers nor changes.
func TestMessageForAnotherMemberIgnored(t *testing.T) {
	for kind := range MessageKind(32) {
		r := New(2, DefaultTiming(), 1, 0, HardState{Term: 4}, &Snapshot{Index: 1, Term: 1, Members: threeVoters()}, nil)
		r.TakeOutput()
		r.Step(Message{Kind: kind, From: 1, To: 3, Term: 9, Index: 1, LogTerm: 1, Commit: 1, LeaderTransfer: true}, 5000, 0)
		if o := r.TakeOutput(); len(o.Messages) > 0 || o.Write != nil || r.Term() != 4 {
			t.Errorf("member 2 took a message for 3 of kind %d: term %d, %+v", kind, r.Term(), o.Messages)
		}
	}
}

package raft

import (
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

func threeVoters() []Member {
	var members []Member
	for id := identifier.Node(1); id <= 3; id++ {
		members = append(members, Member{ID: id, Voter: true})
	}
	return members
}

// newMember returns one of three voters, started at time 0 in the given term, whose log
// has the given entries after a snapshot at index 1.
func newMember(id identifier.Node, term identifier.Term, entries ...Entry) *Raft {
	snapshot := &Snapshot{Index: 1, Term: 1, Members: threeVoters()}
	return New(id, DefaultTiming(), 1, 0, HardState{Term: term}, snapshot, entries)
}

// deliver passes a message to a member, syncs every resulting write, and returns the
// messages that the member sent.
func deliver(r *Raft, m Message, now clock.Monotonic) []Message {
	r.Step(m, now, 0)
	return syncAll(r)
}

// syncAll syncs writes until none is left, and returns the messages that the member sent.
func syncAll(r *Raft) []Message {
	var sent []Message
	for o := r.TakeOutput(); o.Write != nil || len(o.Messages) > 0; o = r.TakeOutput() {
		sent = append(sent, o.Messages...)
		if o.Write != nil {
			r.Synced(o.Write.Seq)
		}
	}
	return sent
}

// elect makes member 1 win the election of term 4 with the vote of member 2, and returns the
// time of the election.
func elect(t *testing.T, r *Raft) clock.Monotonic {
	t.Helper()
	now := clock.Monotonic(0)
	for r.Role() != PreCandidate {
		now += 100
		r.Tick(now, 0)
	}
	deliver(r, Message{Kind: PreVoteReply, From: 2, To: 1, Term: 4}, now)
	deliver(r, Message{Kind: VoteReply, From: 2, To: 1, Term: 4}, now)
	if r.Role() != Leader {
		t.Fatalf("role is %d, want leader", r.Role())
	}
	return now
}

// grantsVote reports whether member 1 grants member 2 a vote at time now, once all writes
// are synced.
func grantsVote(r *Raft, term identifier.Term, now clock.Monotonic) bool {
	granted := false
	request := Message{Kind: RequestVote, From: 2, To: 1, Term: term, Index: 9, LogTerm: 9}
	for _, m := range deliver(r, request, now) {
		granted = granted || m.Kind == VoteReply && !m.Reject
	}
	return granted
}

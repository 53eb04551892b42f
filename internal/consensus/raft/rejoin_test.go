package raft

import (
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// syncAndAcknowledge syncs the leader's writes and makes member 2 acknowledge the whole log.
func syncAndAcknowledge(r *Raft, now clock.Monotonic) {
	syncAll(r)
	deliver(r, Message{Kind: AppendReply, From: 2, To: 1, Term: r.Term(), Index: r.LastIndex(), SentAt: now}, now)
}

// TestRejoinedMemberNotSilent guards against a member that rejoins being considered silent
// since before its removal.
func TestRejoinedMemberNotSilent(t *testing.T) {
	const awayFor = 20_000
	learner := Member{ID: 9}
	r := newMember(1, 3)
	now := elect(t, r)
	syncAndAcknowledge(r, now)
	if !r.ProposeMembers(append(threeVoters(), learner)) {
		t.Fatal("the leader rejected adding the learner")
	}
	syncAndAcknowledge(r, now)
	if !r.ProposeMembers(threeVoters()) {
		t.Fatal("the leader rejected removing the learner")
	}
	for end := now + awayFor; now < end; now += 100 {
		r.Tick(now, 0)
		syncAndAcknowledge(r, now)
	}
	if !r.ProposeMembers(append(threeVoters(), learner)) {
		t.Fatal("the leader rejected adding the learner again")
	}
	for _, status := range r.MemberStatuses() {
		if status.ID == learner.ID && status.SilentFor != 0 {
			t.Errorf("the learner has just rejoined, but counts as silent for %d ms", status.SilentFor)
		}
	}
}

// TestLearnerForgetsSilentLeader guards against a removed learner that follows its last
// leader forever.
func TestLearnerForgetsSilentLeader(t *testing.T) {
	const self, leader identifier.Node = 9, 2
	members := append(threeVoters(), Member{ID: self})
	r := New(self, DefaultTiming(), 1, 0, HardState{Term: 3}, &Snapshot{Index: 1, Term: 1, Members: members}, nil)
	now := clock.Monotonic(100)
	deliver(r, Message{Kind: AppendEntries, From: leader, To: self, Term: 3, Index: 1, LogTerm: 1}, now)
	if r.Leader() != leader {
		t.Fatalf("after a heartbeat the leader is %d", r.Leader())
	}
	r.Tick(now.Add(2*DefaultTiming().ElectionTimeout), 0)
	if r.Leader() != noLeader {
		t.Errorf("the leader has been silent for two election timeouts, but is still known as %d", r.Leader())
	}
	deliver(r, Message{Kind: AppendEntries, From: leader, To: self, Term: 3, Index: 1, LogTerm: 1}, now.Add(2*DefaultTiming().ElectionTimeout))
	if r.Leader() != leader {
		t.Errorf("the leader sent another heartbeat, but is known as %d", r.Leader())
	}
}

package controlplane_test

import (
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/controlplane"
	"orchidward/internal/state"
	"orchidward/internal/transport/wire"
)

// deliver hands a keeper a frame and lets its disk sync at once; it returns all
// that the keeper sends.
func deliver(s *controlplane.Server, from wire.Peer, msg wire.Message, now clock.Monotonic) []wire.Envelope {
	s.HandleMessage(from, msg, now, 0)
	return synced(s, now)
}

// synced syncs what a keeper writes until it writes nothing more.
func synced(s *controlplane.Server, now clock.Monotonic) []wire.Envelope {
	var sends []wire.Envelope
	for o := s.TakeOutput(); len(o.Writes) > 0 || len(o.Messages) > 0; o = s.TakeOutput() {
		sends = append(sends, o.Messages...)
		for _, w := range o.Writes {
			s.Synced(w.Seq, now, 0)
		}
	}
	return sends
}

// leaderOfThree is a keeper that leads two others, "k2" and "k3", which have
// acknowledged all it has.
func leaderOfThree(t *testing.T) (s *controlplane.Server, now clock.Monotonic) {
	t.Helper()
	s = controlplane.New(controlplane.Config{ID: 1, Addr: "k1", Domain: "a", Timing: raft.DefaultTiming(), Level: state.SupportedLevel}, 0)
	members := []raft.Member{{ID: 1, Addr: "k1", Domain: "a", Voter: true}, {ID: 2, Addr: "k2", Domain: "b", Voter: true}, {ID: 3, Addr: "k3", Domain: "c", Voter: true}}
	if err := s.Resume(raft.HardState{}, &raft.Snapshot{Index: 1, Term: 1, Members: members, Data: state.New().Encode()}, nil); err != nil {
		t.Fatal(err)
	}
	for now = 100; now < 20000; now += 20 {
		s.Tick(now, 0)
		agree(s, synced(s, now), now)
		if s.Raft().Role() == raft.Leader && s.Raft().HasLease(now) && s.Raft().Replicated() {
			return s, now
		}
	}
	t.Fatal("no leader")
	return nil, 0
}

// agree answers a keeper's messages as the others would.
func agree(m *controlplane.Server, sends []wire.Envelope, now clock.Monotonic) {
	for len(sends) > 0 {
		next := []wire.Envelope{}
		for _, s := range sends {
			if r := s.Message.Raft; r != nil {
				next = append(next, answerTo(m, s.To, r, now)...)
			}
		}
		sends = next
	}
}

func answerTo(s *controlplane.Server, from wire.Peer, r *raft.Message, now clock.Monotonic) []wire.Envelope {
	back := raft.Message{From: r.To, To: r.From, Term: r.Term, SentAt: r.SentAt}
	switch r.Kind {
	case raft.RequestPreVote:
		back.Kind, back.Term = raft.PreVoteReply, r.Term
	case raft.RequestVote:
		back.Kind = raft.VoteReply
	case raft.AppendEntries:
		back.Kind, back.Index = raft.AppendReply, r.Index+identifier.Index(len(r.Entries))
	default:
		return nil
	}
	return deliver(s, from, wire.Message{Raft: &back}, now)
}

// TestDeposed: a leader that loses its place with a proposal under way says that
// the outcome is not known, and neither that it did not take the request nor
// that another leads: the entry may yet be committed.
func TestDeposed(t *testing.T) {
	m, now := leaderOfThree(t)
	order := &wire.Request{ID: 5, Method: "PUT", Path: "/v1/jobs/a/1", Body: []byte(`{"pending":"stock","steps":[{"name":"s"}]}`), Budget: 3000}
	sends := deliver(m, "#1", wire.Message{Request: order}, now)
	for _, s := range sends {
		if s.Message.Response != nil {
			t.Fatalf("answered before it is decided: %+v", s.Message.Response)
		}
	}
	term := m.Raft().Term()
	sends = deliver(m, "k2", wire.Message{Raft: &raft.Message{Kind: raft.AppendEntries, From: 2, To: 1, Term: term + 1, Index: 1, LogTerm: 1, SentAt: 10}}, now+10)
	found := 0
	for _, s := range sends {
		if r := s.Message.Response; r != nil && s.To == "#1" && r.ID == 5 {
			found++
			if r.Status != 504 || r.NotLeader || r.Expired {
				t.Errorf("deposed, it answered %+v", r)
			}
		}
	}
	if found != 1 {
		t.Errorf("deposed, it answered %d times", found)
	}
}

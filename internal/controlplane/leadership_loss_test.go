package controlplane_test

import (
	"net/http"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/controlplane"
	"orchidward/internal/state"
	"orchidward/internal/transport/wire"
)

// deliver delivers a message to a server and syncs its writes at once. It returns all
// messages that the server sends.
func deliver(server *controlplane.Server, from wire.Peer, message wire.Message, now clock.Monotonic) []wire.Envelope {
	server.HandleMessage(from, message, now, 0)
	return syncWrites(server, now)
}

// syncWrites syncs a server's writes until there are no more. It returns all messages
// that the server sends.
func syncWrites(server *controlplane.Server, now clock.Monotonic) []wire.Envelope {
	var sent []wire.Envelope
	output := server.TakeOutput()
	for len(output.Writes) > 0 || len(output.Messages) > 0 {
		sent = append(sent, output.Messages...)
		for _, write := range output.Writes {
			server.Synced(write.Seq, now, 0)
		}
		output = server.TakeOutput()
	}
	return sent
}

// newLeaderOfThree returns the leader of a group of itself, "k2" and "k3", which have
// acknowledged all of its log, and the time at that point.
func newLeaderOfThree(t *testing.T) (server *controlplane.Server, now clock.Monotonic) {
	t.Helper()
	server = controlplane.New(controlplane.Config{ID: 1, Addr: "k1", Domain: "a", Timing: raft.DefaultTiming(), Level: state.SupportedLevel}, 0)
	members := []raft.Member{
		{ID: 1, Addr: "k1", Domain: "a", Voter: true},
		{ID: 2, Addr: "k2", Domain: "b", Voter: true},
		{ID: 3, Addr: "k3", Domain: "c", Voter: true},
	}
	snapshot := &raft.Snapshot{Index: 1, Term: 1, Members: members, Data: state.New().Encode()}
	if err := server.Resume(raft.HardState{}, snapshot, nil); err != nil {
		t.Fatal(err)
	}
	for now = 100; now < 20000; now += 20 {
		server.Tick(now, 0)
		acknowledgeAll(server, syncWrites(server, now), now)
		member := server.Raft()
		if member.Role() == raft.Leader && member.HasLease(now) && member.Replicated() {
			return server, now
		}
	}
	t.Fatal("no leader was elected")
	return nil, 0
}

// acknowledgeAll answers a server's messages on behalf of members that accept everything,
// and continues with the messages that the server sends in return.
func acknowledgeAll(server *controlplane.Server, sent []wire.Envelope, now clock.Monotonic) {
	for len(sent) > 0 {
		var next []wire.Envelope
		for _, envelope := range sent {
			if envelope.Message.Raft != nil {
				next = append(next, acknowledge(server, envelope.To, envelope.Message.Raft, now)...)
			}
		}
		sent = next
	}
}

// acknowledge answers one message and returns what the server sends next.
func acknowledge(server *controlplane.Server, from wire.Peer, message *raft.Message, now clock.Monotonic) []wire.Envelope {
	reply := raft.Message{From: message.To, To: message.From, Term: message.Term, SentAt: message.SentAt}
	switch message.Kind {
	case raft.RequestPreVote:
		reply.Kind = raft.PreVoteReply
	case raft.RequestVote:
		reply.Kind = raft.VoteReply
	case raft.AppendEntries:
		reply.Kind = raft.AppendReply
		reply.Index = message.Index + identifier.Index(len(message.Entries))
	default:
		return nil
	}
	return deliver(server, from, wire.Message{Raft: &reply}, now)
}

// TestDeposedLeaderReportsUnknownOutcome checks that a leader that loses leadership with
// a pending proposal reports an unknown outcome. It must not report that the request was
// rejected or that another server leads, because the entry may still be committed.
func TestDeposedLeaderReportsUnknownOutcome(t *testing.T) {
	server, now := newLeaderOfThree(t)
	order := &wire.Request{ID: 5, Method: http.MethodPut, Path: "/v1/jobs/a/1", Body: []byte(`{"pending":"stock","steps":[{"name":"s"}]}`), Budget: 3000}
	for _, envelope := range deliver(server, "#1", wire.Message{Request: order}, now) {
		if envelope.Message.Response != nil {
			t.Fatalf("answered before the entry was committed: %+v", envelope.Message.Response)
		}
	}

	newTerm := server.Raft().Term() + 1
	fromNewLeader := raft.Message{Kind: raft.AppendEntries, From: 2, To: 1, Term: newTerm, Index: 1, LogTerm: 1, SentAt: 10}
	answers := 0
	for _, envelope := range deliver(server, "k2", wire.Message{Raft: &fromNewLeader}, now+10) {
		response := envelope.Message.Response
		if response == nil || envelope.To != "#1" || response.ID != order.ID {
			continue
		}
		answers++
		if response.Status != http.StatusGatewayTimeout || response.NotLeader || response.Expired {
			t.Errorf("the deposed leader answered %+v", response)
		}
	}
	if answers != 1 {
		t.Errorf("the deposed leader answered %d times, want 1", answers)
	}
}

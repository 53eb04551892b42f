package gatewayd

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/fx"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/limits"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/daemon/logging"
	"orchidward/internal/routing"
	"orchidward/internal/transport/link"
	"orchidward/internal/transport/wire"
)

const leaderNode identifier.Node = 7

// fakeLifecycle records the hooks that a daemon registers.
type fakeLifecycle struct{ hooks []fx.Hook }

// Append implements fx.Lifecycle.
func (l *fakeLifecycle) Append(hook fx.Hook) { l.hooks = append(l.hooks, hook) }

func (l *fakeLifecycle) start(t *testing.T) {
	t.Helper()
	for _, hook := range l.hooks {
		if err := hook.OnStart(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
}

// fakeLeader answers announcements, syncs and reads of the limits table, and leaves other
// requests without a response.
type fakeLeader struct {
	link     *link.Link
	members  []raft.Member
	syncBody []byte
	// unanswered counts the requests without a response.
	unanswered atomic.Int64
}

// startLeader listens for gateways until the group stops.
func startLeader(t *testing.T, group *lifecycle.Group) (leader *fakeLeader, addr string) {
	t.Helper()
	return startLeaderWith(t, group, func(*routing.FullTable) {})
}

// startLeaderWith listens for gateways until the group stops. complete fills in the routing
// table.
func startLeaderWith(t *testing.T, group *lifecycle.Group, complete func(table *routing.FullTable)) (leader *fakeLeader, addr string) {
	t.Helper()
	table := &routing.FullTable{Epoch: 1, Rows: limits.Default().Rows}
	complete(table)
	listener, err := link.Listen("127.0.0.1:0", group)
	if err != nil {
		t.Fatal(err)
	}
	leader = &fakeLeader{link: listener, members: []raft.Member{{ID: leaderNode, Addr: listener.Addr(), Voter: true}}}
	leader.syncBody, err = json.Marshal(routing.SyncResponse{
		Epoch:   1,
		Table:   table,
		Leader:  leaderNode.String(),
		Members: leader.members,
	})
	if err != nil {
		t.Fatal(err)
	}
	listener.Serve(leader.handle)
	return leader, listener.Addr()
}

func (l *fakeLeader) handle(from wire.Peer, msg wire.Message) {
	request := msg.Request
	switch {
	case msg.Announcement != nil && msg.Announcement.WantReply:
		announcement := &wire.Announcement{Role: wire.RoleServer, Node: leaderNode, Founded: true, LeaderID: leaderNode, Members: l.members}
		l.link.Send(from, wire.Message{Announcement: announcement})
	case request != nil && request.Method == endpoint.MethodSync:
		l.respond(from, request.ID, l.syncBody)
	case request != nil && request.Path == "/v1/table":
		l.respond(from, request.ID, []byte("the table"))
	case request != nil:
		l.unanswered.Add(1)
	}
}

func (l *fakeLeader) respond(to wire.Peer, id uint64, body []byte) {
	l.link.Send(to, wire.Message{Response: &wire.Response{ID: id, Status: http.StatusOK, Body: body}})
}

// newTestDaemon returns a gateway with one seed, not yet started.
func newTestDaemon(t *testing.T, group *lifecycle.Group, seed string) (*Daemon, *fakeLifecycle) {
	t.Helper()
	log := logging.New()
	log.Quiet()
	life := &fakeLifecycle{}
	d, err := New(Settings{Addr: "127.0.0.1:0", Domain: "north", Seeds: []string{seed}, BodyKb: 16}, group, log, life)
	if err != nil {
		t.Fatal(err)
	}
	return d, life
}

// waitFor waits until a condition is met.
func waitFor(t *testing.T, failure string, met func() bool) {
	t.Helper()
	for end := time.Now().Add(60 * time.Second); !met(); {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}

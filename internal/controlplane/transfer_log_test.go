package controlplane_test

import (
	"fmt"
	"slices"
	"testing"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/controlplane"
	"orchidward/internal/transport/wire"
)

// The joiner is a server with an empty disk that has asked a lone leader to join its
// group.
const (
	joinerID   identifier.Node = 2
	joinerAddr                 = "j"
)

// eventCounter runs a lone leader and counts its log events by name.
type eventCounter struct {
	server *controlplane.Server
	now    clock.Monotonic
	counts map[string]int
	// toJoiner are the consensus messages sent to the joiner so far.
	toJoiner []*raft.Message
}

func (c *eventCounter) run(span clock.Millis) {
	for end := c.now.Add(span); c.now < end; c.now = c.now.Add(controlplane.TickInterval) {
		c.server.Tick(c.now, wallTime(c.now))
		c.collect()
	}
}

func (c *eventCounter) handle(message wire.Message) {
	c.server.HandleMessage(joinerAddr, message, c.now, wallTime(c.now))
	c.collect()
}

// collect processes the server's output and syncs its writes at once.
func (c *eventCounter) collect() {
	for more := true; more; {
		output := c.server.TakeOutput()
		more = len(output.Writes) > 0
		for _, event := range output.Events {
			c.counts[event.Name]++
		}
		for _, envelope := range output.Messages {
			if envelope.To == joinerAddr && envelope.Message.Raft != nil {
				c.toJoiner = append(c.toJoiner, envelope.Message.Raft)
			}
		}
		for _, write := range output.Writes {
			c.server.Synced(write.Seq, c.now, wallTime(c.now))
		}
	}
}

// reply answers the latest message to the joiner.
func (c *eventCounter) reply(reply raft.Message) {
	latest := c.toJoiner[len(c.toJoiner)-1]
	reply.From = joinerID
	reply.To = latest.From
	reply.Term = latest.Term
	reply.SentAt = latest.SentAt
	c.handle(wire.Message{Raft: &reply})
}

// TestTransferLogged checks that the start, a stall and the end of a snapshot transfer
// are logged, that a stalled transfer is not logged on every tick, and that the leader
// logs its request counts.
func TestTransferLogged(t *testing.T) {
	c := &eventCounter{server: newLoneServer(t), counts: map[string]int{}}
	c.run(clock.Millis(electionPeriod))
	body := fmt.Appendf(nil, `{"id":%q,"addr":%q,"domain":"b","level":%d}`, joinerID, joinerAddr, 99)
	c.handle(wire.Message{Request: &wire.Request{ID: 1, Method: endpoint.MethodJoin, Path: "/", Body: body, Budget: requestTimeout}})
	c.run(200)
	if len(c.toJoiner) == 0 {
		t.Fatal("no message was sent to the joiner")
	}
	c.reply(raft.Message{Kind: raft.AppendReply, Reject: true, Index: c.toJoiner[0].Index})
	if !slices.ContainsFunc(c.toJoiner, func(m *raft.Message) bool { return m.Kind == raft.InstallSnapshot }) {
		t.Fatal("no snapshot was sent")
	}
	c.run(1000)
	if c.counts["snapshot-transfer"] != 1 || c.counts["snapshot-transfer-stalled"] != 0 {
		t.Errorf("events after a second: %v", c.counts)
	}
	c.run(8000)
	if c.counts["snapshot-transfer"] != 1 || c.counts["snapshot-transfer-stalled"] != 1 {
		t.Errorf("events after nine seconds without an acknowledgement: %v", c.counts)
	}
	c.reply(raft.Message{Kind: raft.AppendReply, Index: c.server.Raft().SnapshotIndex()})
	c.run(200)
	if c.counts["snapshot-transfer-ended"] != 1 {
		t.Errorf("events after the acknowledgement: %v", c.counts)
	}
	c.run(3000)
	if c.counts["leader-requests"] != 1 {
		t.Errorf("one request within ten seconds is logged %d times", c.counts["leader-requests"])
	}
}

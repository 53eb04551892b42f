package controlplane_test

import (
	"net/http"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/transport/wire"
)

// TestExpiredOrder checks that a leader accepts an order only if, by the leader's clock,
// no more time than its sender waits has passed since the reading that came with it. It
// refuses an order with a reading from another term or with an empty reading, and always
// serves reads. An order to drain a zone is checked again when it is carried out after
// its delay.
func TestExpiredOrder(t *testing.T) {
	const drainPath = "/v1/closings/nowhere"
	cluster := newTestCluster(t, 1, 0)
	term := cluster.server.Raft().Term()
	for _, test := range []struct {
		name     string
		method   string
		path     string
		hasTime  bool
		term     identifier.Term
		age      clock.Millis
		budget   clock.Millis
		accepted bool
	}{
		{"fresh", http.MethodPut, jobPath("1"), true, term, 100, 900, true},
		{"just within its budget", http.MethodPut, jobPath("1"), true, term, 870, 900, true},
		{"past its budget with clock drift", http.MethodPut, jobPath("1"), true, term, 890, 900, false},
		{"old", http.MethodDelete, jobPath("1"), true, term, 20000, 900, false},
		{"of an earlier term", http.MethodPut, jobPath("1"), true, term - 1, 0, 900, false},
		{"no reading", http.MethodPut, jobPath("1"), true, 0, 0, 900, false},
		{"from an earlier version", http.MethodPut, jobPath("1"), false, 0, 0, 900, true},
		{"a read", http.MethodGet, jobPath("1"), true, term - 1, 20000, 900, true},
		{"fresh drain", http.MethodPut, drainPath, true, term, 100, 900, true},
		{"drain within its budget after the delay", http.MethodPut, drainPath, true, term, 820, 900, true},
		{"drain past its budget after the delay", http.MethodPut, drainPath, true, term, 870, 900, false},
		{"old drain", http.MethodDelete, drainPath, true, term, 20000, 900, false},
		{"drain of an earlier term", http.MethodPut, drainPath, true, term - 1, 0, 900, false},
		{"drain from an earlier version", http.MethodPut, drainPath, false, 0, 0, 900, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			response := cluster.requestWithin(50, wire.Request{
				Method:        test.method,
				Path:          test.path,
				Budget:        test.budget,
				HasLeaderTime: test.hasTime,
				LeaderTime:    wire.LeaderTime{Term: test.term, At: cluster.now.Add(-test.age)},
			})
			if response == nil || response.Expired == test.accepted {
				t.Fatalf("%+v, want it accepted: %v", response, test.accepted)
			}
			if response.LeaderTime.Term != term || cluster.now.Since(response.LeaderTime.At) > 100 {
				t.Errorf("the response carries the reading %+v at time %d", response.LeaderTime, cluster.now)
			}
		})
	}
}

// requestWithin sends a request and returns its response, nil if none arrives within
// limit milliseconds.
func (c *testCluster) requestWithin(limit int, request wire.Request) *wire.Response {
	id := c.sendToServer(request)
	for i := 0; i < limit && c.responses[id] == nil; i++ {
		c.run(1)
	}
	return c.responses[id]
}

package main

import "orchidward/tests/sourceedit"

// abandonedRequestMutations let requests take effect that their caller has abandoned.
var abandonedRequestMutations = []mutation{
	{
		name:        "abandoned request is taken from the queue",
		file:        "internal/daemon/eventloop/await.go",
		original:    "		call.cancel()\n",
		replacement: "		_ = call\n",
		tests:       test("./internal/daemon/eventloop", "TestAwaitCancelledBeforeStart"),
		want:        "an abandoned call was executed",
	},
	{
		name:        "time spent in a process does not count against the budget",
		file:        "internal/gateway/config.go",
		original:    "return r.budget() - r.Waited }",
		replacement: "return r.budget() }",
		also: []sourceedit.Edit{
			{File: "internal/inflight/requests.go", Original: "case q.Waited >= q.Budget:", Replacement: "case q.Waited < 0:"},
			{File: "internal/inflight/requests.go", Original: "now.Add(admitted.Budget - admitted.Waited)", Replacement: "now.Add(admitted.Budget)"},
		},
		tests: test("./tests/simulation/scenarios", "TestSlowProcessDrainOrder"),
		want:  "the domain that was reopened is",
	},
	{
		name:        "gateway does not measure the time in its queue",
		file:        "internal/daemon/gatewayd/requests.go",
		original:    "r.Waited = d.clock.Now().Since(arrivedAt)",
		replacement: "r.Waited = arrivedAt.Since(arrivedAt)",
		tests:       test("./internal/daemon/gatewayd", "TestQueueTimeCounts"),
		want:        "and the leader got",
	},
	{
		name:        "server does not measure the time in its queue",
		file:        "internal/daemon/serverd/requests.go",
		original:    "r.Waited = d.clock.Now().Since(arrivedAt)",
		replacement: "r.Waited = arrivedAt.Since(arrivedAt)",
		tests:       test("./internal/daemon/serverd", "TestQueueTimeCounts"),
		want:        "after its caller's budget had run out",
	},
	{
		name:        "abandoned order is not withdrawn",
		file:        "internal/controlplane/withdrawal.go",
		original:    "return order.request.peer == from && order.request.ID == id",
		replacement: "return order.request.peer == from && order.request.ID == 0",
		tests:       test("./tests/simulation/scenarios", "TestHangUp"),
		want:        "after its caller had hung up",
	},
	{
		name:        "leader does not delay orders that may be withdrawn",
		file:        "internal/controlplane/withdrawal.go",
		original:    "const (\n	// drainOrderDelay",
		replacement: "const (\n	neverDelayed = true\n	// drainOrderDelay",
		also: []sourceedit.Edit{
			{File: "internal/controlplane/withdrawal.go", Original: "if !endpoint.Withdrawable(r.Method, r.Path) ||", Replacement: "if neverDelayed || !endpoint.Withdrawable(r.Method, r.Path) ||"},
		},
		tests: test("./tests/simulation/scenarios", "TestHangUp"),
		want:  "after its caller had hung up",
	},
	{
		name:        "stall counts towards the delay of an order",
		file:        "internal/controlplane/withdrawal.go",
		original:    "if len(s.delayedOrders) == 0 || now.Since(s.now) <= drainOrderDelay {",
		replacement: "if len(s.delayedOrders) >= 0 {",
		tests:       test("./internal/controlplane", "TestWithdrawnOrderIsNotTaken"),
		want:        "1 drains, want 0",
	},
	{
		name:        "delayed order is not checked for expiry again",
		file:        "internal/controlplane/withdrawal.go",
		original:    "if s.orderExpired(r.Request) {",
		replacement: "if s.orderExpired(r.Request) && s.stopping != nil {",
		tests:       test("./internal/controlplane", "TestExpiredOrder"),
		want:        "want it accepted: false",
	},
	{
		name:        "follower forwards no withdrawal to the leader",
		file:        "internal/controlplane/withdrawal.go",
		original:    "if request.withdrawable {",
		replacement: "if request.withdrawable && request.to == \"\" {",
		tests:       test("./internal/controlplane", "TestForwarderWithdraws"),
		want:        "withdrawn",
	},
}

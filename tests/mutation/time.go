package main

// timeMutations break clocks, cluster time and the expiry of orders.
var timeMutations = []mutation{
	{
		name:        "cluster time follows any clock",
		file:        "internal/controlplane/cluster_clock.go",
		original:    "if mayStep && diff > minStep {",
		replacement: "if diff > minStep || diff < -minStep {",
		tests:       test("./tests/simulation/scenarios", "TestClocks"),
		want:        "cluster time is off",
	},
	{
		name:        "clocks are not required to agree",
		file:        "internal/controlplane/cluster_clock.go",
		original:    "minSpread := clock.ClusterTime(agreementWindow + 1)",
		replacement: "minSpread := clock.ClusterTime(1 << 40)",
		tests:       test("./tests/simulation/scenarios", "TestClocks"),
		want:        "cluster time is off",
	},
	{
		name:        "late entry sets the cluster time back",
		file:        "internal/controlplane/cluster_clock.go",
		original:    "t.clock = newClusterClock(applied, arrivedAt)",
		replacement: "t.clock = newClusterClock(applied, max(arrivedAt, now))",
		tests:       test("./tests/simulation/scenarios", "TestLateEntry"),
		want:        "cluster time is off",
	},
	{
		name:        "arrival times of a truncated log tail are kept",
		file:        "internal/controlplane/cluster_clock.go",
		original:    "truncatedFrom > 0 && t.arrivals",
		replacement: "truncatedFrom < 0 && t.arrivals",
		tests:       test("./internal/controlplane", "TestArrivalOfReplacedEntries"),
		want:        "arrived at 1000",
	},
	{
		name:        "clock stops during suspend",
		file:        "internal/clock/system.go",
		original:    "const source = unix.CLOCK_BOOTTIME",
		replacement: "const source = unix.CLOCK_MONOTONIC",
		tests:       packages("./internal/clock"),
		want:        "does not count suspend",
	},
	{
		name:        "age of orders is ignored",
		file:        "internal/controlplane/order_expiry.go",
		original:    "return age.WithDrift() > request.Budget",
		replacement: "return age < 0",
		tests:       test("./tests/simulation/scenarios", "TestDelayedDrainOrder"),
		want:        "is closed again",
	},
	{
		name:        "clock reading of a former leader is accepted",
		file:        "internal/controlplane/order_expiry.go",
		original:    "\tif request.LeaderTime.Term != s.raft.Term() {\n\t\treturn true\n\t}\n",
		replacement: "\tif request.LeaderTime.Term != s.raft.Term() {\n\t\treturn false\n\t}\n",
		tests:       test("./tests/simulation/scenarios", "TestDelayedDrainOrder|TestDelayedJob"),
		want:        "again",
	},
	{
		name:        "resumed process accepts orders",
		file:        "internal/stalldetector/detector.go",
		original:    "return d.seen && now < d.drainUntil",
		replacement: "return false",
		tests:       test("./tests/simulation/scenarios", "TestDelayedDrainOrder|TestDelayedReopenOrder"),
		want:        "offset",
	},
}

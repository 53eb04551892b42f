package controlplane_test

import (
	"testing"

	"orchidward/internal/agent"
	"orchidward/internal/api/identifier"
)

// restartAgent replaces the agent of a runner by a new process whose polls are numbered from
// the given seed.
func (c *testCluster) restartAgent(runner *fakeRunner, seed int64) {
	runner.agent = agent.New(agent.Config{
		Name:              identifier.Runner(runner.name),
		Addr:              runner.name,
		Domain:            "a",
		Seeds:             []string{serverAddr},
		Seed:              seed,
		MaxLease:          maxLease,
		HeartbeatInterval: heartbeatInterval,
	}, c.now)
}

// TestLateHeartbeatAfterAgentRestart checks that a runner that has restarted together with its
// agent gets work although a heartbeat of its previous incarnation arrives afterwards.
func TestLateHeartbeatAfterAgentRestart(t *testing.T) {
	cluster := newTestCluster(t, 1, 1)
	runner := cluster.runners[0]
	late := runner.heartbeat(cluster.now)
	runner.restart()
	cluster.restartAgent(runner, int64(cluster.now)*1000)
	cluster.run(500)
	runner.agent.HandleHeartbeat(late, cluster.now)
	cluster.sendAgentOutput(runner)
	cluster.run(500)
	cluster.submit(numberedJob(1), 1, 300)
	cluster.run(2000)
	if got := cluster.jobState(numberedJob(1)); !jobSucceeded(got) {
		t.Errorf("the job is %s", got)
	}
}

// TestLeaseAfterLowerPollNumbers checks that a runner is not declared lost within a lease that
// an agent process with lower poll numbers than the previous one has granted: the answer that
// renewed the lease counts as contact for the leader too.
func TestLeaseAfterLowerPollNumbers(t *testing.T) {
	cluster := newTestCluster(t, 1, 2)
	cluster.submit(numberedJob(1), 1, 40000)
	cluster.run(300)
	runner, other := cluster.runners[0], cluster.runners[1]
	if len(runner.runs) == 0 {
		runner, other = other, runner
	}
	runner.isolated = true
	cluster.run(3000)
	runner.isolated = false
	cluster.restartAgent(runner, 1)
	for !runner.agent.InContact() {
		cluster.run(1)
	}
	runner.isolated = true
	cluster.run(15000)
	if len(runner.runs) > 0 || len(other.runs) != 1 {
		t.Errorf("%d runs on the isolated runner, %d on the other; want none and one", len(runner.runs), len(other.runs))
	}
}

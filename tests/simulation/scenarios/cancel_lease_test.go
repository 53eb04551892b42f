package scenarios

import (
	"fmt"
	"net/http"
	"testing"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/invariants"
	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

const (
	// busyFrom is when jobs for the runner are submitted, isolatedAt when it is isolated,
	// in ms.
	busyFrom   = 5000
	isolatedAt = 8000
	// jobInterval is the time between two short jobs, each of which causes a poll to be
	// answered, in ms.
	jobInterval = 40
	// minRunOn is the least time for which the cancelled task must run on, in ms: nearly a
	// lease, otherwise the run does not exercise the lease.
	minRunOn      = 9800
	sweepInterval = 10
)

// submitOneTask submits a job of one task that runs for ms milliseconds.
func submitOneTask(cluster *simulation.Cluster, id string, ms int64) identifier.JobKey {
	key := identifier.NewJobKey("c", identifier.JobID(id))
	step := job.Step{Name: "s", Tasks: 1, MaxDefects: 1, Demand: job.Demand{Cores: 1, Mem: 1}}
	cluster.Checker.Jobs[key] = &invariants.Job{Spec: job.Spec{Steps: []job.Step{step}}, AckedAt: cluster.Now}
	body := fmt.Sprintf(`{"pending":"default","steps":[{"name":"s","cores":1,"memMb":1,"spanMs":%d}]}`, ms)
	cluster.Request(cluster.Clients.Process, cluster.Clients.RandomGateway(), http.MethodPut, endpoint.JobPath(key), []byte(body), 1000, func(int, []byte) {})
	return key
}

// TestCancelledRunEndsWithLease isolates a runner right after one of its polls was
// answered, and cancels a task that runs there. No stop order can reach the runner: the
// task must end with the runner's lease, which began with that poll, and not later.
func TestCancelledRunEndsWithLease(t *testing.T) {
	t.Parallel()
	spec := simulation.FastNetwork()
	spec.Runners = 1
	spec.DefectPercent = 0
	var longest int64
	for seed := int64(1); seed <= 4; seed++ {
		cluster := simulation.NewCluster(seed, spec)
		var key identifier.JobKey
		cluster.At(busyFrom, func() { key = submitOneTask(cluster, "long", 60000) })
		for i := range (isolatedAt - busyFrom) / jobInterval {
			cluster.At(busyFrom+int64(i)*jobInterval, func() { submitOneTask(cluster, fmt.Sprintf("j%d", i), 20) })
		}
		cluster.At(isolatedAt, func() {
			cluster.Isolate(cluster.Runners[0].Process, true, true)
			cluster.Request(cluster.Clients.Process, cluster.Gateways[0].Addr, http.MethodDelete, endpoint.JobPath(key), nil, 1000, func(status int, _ []byte) {
				if status != http.StatusOK {
					t.Errorf("seed %d: the cancellation got status %d", seed, status)
				}
				cluster.Checker.Jobs[key].CancelSent = true
				cluster.Checker.Jobs[key].CancelledAt = cluster.Now
			})
		})
		cluster.Poll(sweepInterval, func() (again bool) {
			cluster.Checker.Sweep()
			submitted := cluster.Checker.Jobs[key]
			if submitted != nil && submitted.CancelledAt > 0 && cluster.Runners[0].Machine.Running() > 0 {
				longest = max(longest, cluster.Now-submitted.CancelledAt)
			}
			return true
		})
		cluster.Run(isolatedAt + 12000)
		simulationtest.CheckInvariants(t, seed, cluster)
	}
	t.Logf("the cancelled task ran on for %d ms at most", longest)
	if longest < minRunOn {
		t.Errorf("too little evidence: the cancelled task ran on for only %d ms, not until the end of the lease", longest)
	}
}

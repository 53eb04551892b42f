package agents

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
	"orchidward/internal/state"
	"orchidward/tests/simulation"
)

const (
	queueName = "batch"
	// readyAt is when the queue exists and every agent has contact with the leader, in
	// ms.
	readyAt = 7000
	// catalogAt is when the catalog is created, in ms.
	catalogAt = 4000
	// orderTimeout is the timeout of an order, orderRetry the delay of a retry, in ms.
	orderTimeout = 1000
	orderRetry   = 100
	// queueTries is how many attempts of a task may fail.
	queueTries = 3
)

// runnerCapacity is the capacity of each runner.
var runnerCapacity = job.Demand{MilliCores: 4000, Mem: 4000}

// agentCluster is a cluster all of whose runners are represented by agents.
type agentCluster struct {
	*simulation.Cluster
	t *testing.T
	// keys are the jobs that were submitted.
	keys []identifier.JobKey
}

// newAgentCluster makes a cluster with the given number of agents and runs it until it
// can accept jobs.
func newAgentCluster(t *testing.T, seed int64, agents int) *agentCluster {
	t.Helper()
	spec := simulation.FastNetwork()
	spec.Runners = 0
	c := &agentCluster{Cluster: simulation.NewCluster(seed, spec), t: t}
	c.AddAgents(agents, runnerCapacity)
	c.At(catalogAt, func() { c.order(http.MethodPut, endpoint.CatalogPath, catalogText(), func() {}) })
	c.Run(readyAt)
	for _, agent := range c.Agents {
		if !agent.Machine.InContact() {
			t.Fatalf("seed %d: %s has no contact with the leader at %d ms", seed, agent.Name, c.Now)
		}
	}
	return c
}

// catalogText is the body of a catalog with one queue.
func catalogText() []byte {
	return []byte(fmt.Sprintf(`{"base":0,"version":2,`+
		`"queues":[{"name":%q,"host":"h","prefix":"/p/","pool":%q,"rank":0,"tries":%d,"stretch":2000,"setPointMs":1000,"timeoutMs":3000}],`+
		`"pools":[{"name":%q}]}`, queueName, simulation.AgentPool, queueTries, simulation.AgentPool))
}

// order sends an order to one gateway after another until it is acknowledged.
func (c *agentCluster) order(method, path string, body []byte, acked func()) {
	gateway := c.Clients.RandomGateway()
	c.Request(c.Clients.Process, gateway, method, path, body, orderTimeout, func(status int, answer []byte) {
		switch {
		case status == http.StatusOK || status == http.StatusCreated:
			acked()
		case status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusTooManyRequests:
			c.t.Errorf("%s %s: %d %s", method, path, status, answer)
		default:
			c.After(orderRetry, func() { c.order(method, path, body, acked) })
		}
	})
}

// submit submits a job with a unique payload.
func (c *agentCluster) submit(steps []job.Step, acked func()) identifier.JobKey {
	id := identifier.JobID(fmt.Sprintf("%016x", len(c.keys)+1))
	key := identifier.NewJobKey("q", id)
	c.keys = append(c.keys, key)
	payload := "text of " + string(id)
	c.AgentRuns.Submitted(key, payload, steps)
	c.order(http.MethodPut, endpoint.JobPath(key), jobText(payload, steps), acked)
	return key
}

// jobText is the body with which clients submit a job.
func jobText(payload string, steps []job.Step) []byte {
	var list []string
	for _, step := range steps {
		list = append(list, fmt.Sprintf(`{"name":%q,"tasks":%d,"gang":%t,"milliCores":%d,"memMb":%d,"spanMs":%d,"allowedDefects":3}`,
			step.Name, step.Tasks, step.Gang, step.Demand.MilliCores, step.Demand.Mem, step.ExpectedRun))
	}
	return []byte(fmt.Sprintf(`{"queue":%q,"text":%q,"steps":[%s]}`, queueName, payload, strings.Join(list, ",")))
}

// cancel cancels a job.
func (c *agentCluster) cancel(key identifier.JobKey) {
	c.order(http.MethodDelete, endpoint.JobPath(key), nil, func() { c.AgentRuns.Cancelled(key) })
}

// jobState is the state of a job in the leader's store, empty without a leader.
func (c *agentCluster) jobState(key identifier.JobKey) string {
	leader := c.Leader()
	if leader == nil || leader.Machine.State().Jobs[key] == nil {
		return ""
	}
	return leader.Machine.State().Jobs[key].State()
}

// succeeded reports whether a job has succeeded, in the leader's store.
func (c *agentCluster) succeeded(key identifier.JobKey) bool {
	return c.jobState(key) == string(state.Succeeded)
}

// runUntilSucceeded runs the cluster until 2 s after a job has succeeded, or until 2 s
// after end.
func (c *agentCluster) runUntilSucceeded(key identifier.JobKey, end int64) {
	for c.Now < end && !c.succeeded(key) {
		c.Run(min(end, c.Now+500))
	}
	c.Run(c.Now + 2000)
}

// checkInvariants fails the test for each invariant that was violated.
func (c *agentCluster) checkInvariants(seed int64) {
	c.t.Helper()
	for _, key := range c.keys {
		if c.jobState(key) == string(state.Failed) {
			c.AgentRuns.ShownFailed(key, queueTries)
		}
	}
	if len(c.Checker.Violations) > 0 {
		c.t.Errorf("seed %d:\n%s", seed, strings.Join(c.Checker.Violations, "\n"))
	}
}

// gang returns one step whose tasks are a gang; no two of them fit on one runner.
func gang(members int64, ms int64) []job.Step {
	step := tasks(members, ms)
	step[0].Gang = true
	step[0].Demand.MilliCores = runnerCapacity.MilliCores * 3 / 5
	return step
}

// tasks returns one step of small tasks.
func tasks(count int64, ms int64) []job.Step {
	return []job.Step{{Name: "s", Tasks: count, Demand: job.Demand{MilliCores: 900, Mem: 100}, ExpectedRun: clock.Millis(ms)}}
}

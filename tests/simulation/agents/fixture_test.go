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
	// readyAt is when the queue is there and every agent is in touch, in ms.
	readyAt = 7000
	// catalogAt is when the catalog is made.
	catalogAt = 4000
	// orderTimeout is how long an order is awaited, orderRetry the pause after a failure.
	orderTimeout = 1000
	orderRetry   = 100
)

// runnerCapacity is that of each runner.
var runnerCapacity = job.Demand{MilliCores: 4000, Mem: 4000}

// agentCluster is a cluster whose runners are all spoken for by agents.
type agentCluster struct {
	*simulation.Cluster
	t *testing.T
	// keys are the jobs that were submitted.
	keys []identifier.JobKey
}

// newAgentCluster makes a cluster with so many agents and lets time pass until it can
// take jobs.
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
			t.Fatalf("seed %d: %s is not in touch at %d ms", seed, agent.Name, c.Now)
		}
	}
	return c
}

// catalogText is a catalog with one queue.
func catalogText() []byte {
	return []byte(fmt.Sprintf(`{"base":0,"version":2,`+
		`"queues":[{"name":%q,"host":"h","prefix":"/p/","pool":%q,"rank":0,"tries":3,"stretch":2000,"setPointMs":1000,"timeoutMs":3000}],`+
		`"pools":[{"name":%q}]}`, queueName, simulation.AgentPool, simulation.AgentPool))
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

// submit submits a job with its own text.
func (c *agentCluster) submit(steps []job.Step, acked func()) identifier.JobKey {
	id := identifier.JobID(fmt.Sprintf("%016x", len(c.keys)+1))
	key := identifier.NewJobKey("q", id)
	c.keys = append(c.keys, key)
	payload := "text of " + string(id)
	c.AgentRuns.Submitted(key, payload, steps)
	c.order(http.MethodPut, endpoint.JobPath(key), jobText(payload, steps), acked)
	return key
}

// jobText is a job as clients submit it.
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

// jobState is the state of a job by the leader's own state, empty without a leader.
func (c *agentCluster) jobState(key identifier.JobKey) string {
	leader := c.Leader()
	if leader == nil || leader.Machine.State().Jobs[key] == nil {
		return ""
	}
	return leader.Machine.State().Jobs[key].State()
}

// succeeded tells whether a job has ended well, by the leader's own state.
func (c *agentCluster) succeeded(key identifier.JobKey) bool {
	return c.jobState(key) == string(state.Succeeded)
}

// runUntilSucceeded lets time pass until some time after a job has ended well, or until
// a moment.
func (c *agentCluster) runUntilSucceeded(key identifier.JobKey, end int64) {
	for c.Now < end && !c.succeeded(key) {
		c.Run(min(end, c.Now+500))
	}
	c.Run(c.Now + 2000)
}

// checkInvariants fails the test for each invariant that was violated.
func (c *agentCluster) checkInvariants(seed int64) {
	c.t.Helper()
	if len(c.Checker.Violations) > 0 {
		c.t.Errorf("seed %d:\n%s", seed, strings.Join(c.Checker.Violations, "\n"))
	}
}

// gang is one step whose tasks are a gang, of which no two fit on one runner.
func gang(members int64, ms int64) []job.Step {
	step := tasks(members, ms)
	step[0].Gang = true
	step[0].Demand.MilliCores = runnerCapacity.MilliCores * 3 / 5
	return step
}

// tasks is one step of small tasks.
func tasks(count int64, ms int64) []job.Step {
	return []job.Step{{Name: "s", Tasks: count, Demand: job.Demand{MilliCores: 900, Mem: 100}, ExpectedRun: clock.Millis(ms)}}
}

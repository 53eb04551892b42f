package controlplane_test

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"testing"

	"orchidward/internal/api/job"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/controlplane"
	"orchidward/internal/state"
	"orchidward/internal/transport/wire"
)

const (
	serverAddr   = "k"
	operatorAddr = "op"
	// wallTimeOffset is the wall-clock time at virtual time 0.
	wallTimeOffset = 1_800_000_000_000
	// electionPeriod is long enough for a lone server to become leader.
	electionPeriod clock.Monotonic = 4000
	requestTimeout clock.Millis    = 2000
	// testCatalog has one queue and one pool.
	testCatalog = `{"base":0,"version":2,"queues":[{"name":"r","host":"h","prefix":"/p/","pool":"x","rank":0,"tries":2,"stretch":2000,"setPointMs":1000,"timeoutMs":3000}],"pools":[{"name":"x"}]}`
)

func wallTime(now clock.Monotonic) clock.WallTime {
	return clock.WallTime(wallTimeOffset + int64(now))
}

// newLoneServer returns a server that is the only member of its group.
func newLoneServer(tb testing.TB) *controlplane.Server {
	tb.Helper()
	server := controlplane.New(controlplane.Config{
		ID:       1,
		Addr:     serverAddr,
		Domain:   "a",
		Timing:   raft.DefaultTiming(),
		Level:    state.SupportedLevel,
		MayFound: true,
	}, 0)
	snapshot := &raft.Snapshot{
		Index:   1,
		Term:    1,
		Members: []raft.Member{{ID: 1, Addr: serverAddr, Domain: "a", Voter: true}},
		Data:    state.New().Encode(),
	}
	if err := server.Resume(raft.HardState{}, snapshot, nil); err != nil {
		tb.Fatal(err)
	}
	return server
}

// testCluster simulates one server that leads alone, and runners with one agent each, in
// virtual time.
type testCluster struct {
	t             *testing.T
	now           clock.Monotonic
	server        *controlplane.Server
	inFlight      []inFlightMessage
	runners       []*fakeRunner
	lastRequestID uint64
	responses     map[uint64]*wire.Response
	random        *rand.Rand
	// succeeded are the tasks whose success has been acknowledged to a runner as
	// committed.
	succeeded map[string]bool
	// lapsedRuns counts the attempts that ended because their lease expired.
	lapsedRuns int
	// events counts the events that the server has logged, by name.
	events map[string]int
}

// inFlightMessage is a message that arrives at a later time.
type inFlightMessage struct {
	arrivesAt clock.Monotonic
	to        string
	from      string
	message   wire.Message
}

// newTestCluster starts a cluster with the given number of runners and a catalogue. The
// seed determines the message delays.
func newTestCluster(t *testing.T, seed int64, runners int) *testCluster {
	t.Helper()
	c := &testCluster{
		t:         t,
		server:    newLoneServer(t),
		random:    rand.New(rand.NewSource(seed)),
		responses: map[uint64]*wire.Response{},
		succeeded: map[string]bool{},
		events:    map[string]int{},
	}
	for i := 0; i < runners; i++ {
		runner := &fakeRunner{name: fmt.Sprintf("m%d", i), capacity: job.Demand{MilliCores: 4000, Mem: 4000}}
		runner.agent = c.newAgent(runner)
		c.runners = append(c.runners, runner)
	}
	c.run(electionPeriod)
	c.mustRequest(http.MethodPut, "/v1/catalog", testCatalog)
	c.run(1000)
	return c
}

// sendToServer sends a request from the operator and returns its id.
func (c *testCluster) sendToServer(request wire.Request) (id uint64) {
	c.lastRequestID++
	request.ID = c.lastRequestID
	c.inFlight = append(c.inFlight, inFlightMessage{c.now, serverAddr, operatorAddr, wire.Message{Request: &request}})
	return request.ID
}

// request sends a request to the server and waits for the response.
func (c *testCluster) request(method, path, body string) *wire.Response {
	c.t.Helper()
	id := c.sendToServer(wire.Request{Method: method, Path: path, Body: []byte(body), Budget: requestTimeout})
	for end := c.now.Add(3000); c.now < end; {
		if response := c.responses[id]; response != nil {
			return response
		}
		c.run(1)
	}
	c.t.Fatalf("%s %s: no response", method, path)
	return nil
}

// mustRequest sends a request and fails the test unless it succeeds.
func (c *testCluster) mustRequest(method, path, body string) {
	c.t.Helper()
	response := c.request(method, path, body)
	if response.Status >= http.StatusMultipleChoices {
		c.t.Fatalf("%s %s: %d %s", method, path, response.Status, response.Body)
	}
}

func jobPath(id string) string { return "/v1/jobs/q/" + id }

// submit submits a job of one step whose tasks take expectedRun milliseconds each.
func (c *testCluster) submit(id string, tasks, expectedRun int) {
	c.t.Helper()
	body := fmt.Sprintf(`{"queue":"r","text":"t-%s","steps":[{"name":"s0","tasks":%d,"milliCores":900,"memMb":100,"spanMs":%d,"saves":true}]}`, id, tasks, expectedRun)
	c.mustRequest(http.MethodPut, jobPath(id), body)
}

func (c *testCluster) cancel(id string) {
	c.t.Helper()
	c.mustRequest(http.MethodDelete, jobPath(id), "")
}

// jobState returns the state of a job, or the HTTP status if the response contains no
// state.
func (c *testCluster) jobState(id string) string {
	c.t.Helper()
	response := c.request(http.MethodGet, "/v1/states/q/"+id, "")
	var doc controlplane.JobStateDoc
	if json.Unmarshal(response.Body, &doc) != nil || response.Status != http.StatusOK {
		return fmt.Sprint(response.Status)
	}
	return doc.State
}

// jobSucceeded reports whether a job state is Succeeded.
func jobSucceeded(jobState string) bool { return jobState == string(state.Succeeded) }

// run advances virtual time by span.
func (c *testCluster) run(span clock.Monotonic) {
	for end := c.now + span; c.now < end; c.now++ {
		c.deliverDue()
		if c.now%clock.Monotonic(controlplane.TickInterval) == 0 {
			c.tick()
		}
		for _, runner := range c.runners {
			c.stepRunner(runner)
		}
	}
}

// deliverDue delivers the messages that arrive now, and any that these trigger at the
// same time.
func (c *testCluster) deliverDue() {
	var notDue []inFlightMessage
	for len(c.inFlight) > 0 {
		list := c.inFlight
		c.inFlight = nil
		for _, m := range list {
			if m.arrivesAt > c.now {
				notDue = append(notDue, m)
				continue
			}
			c.deliver(m)
		}
	}
	c.inFlight = notDue
}

func (c *testCluster) tick() {
	c.server.Tick(c.now, wallTime(c.now))
	c.sendServerOutput()
	c.checkRunNames()
	for _, runner := range c.runners {
		runner.agent.Tick(c.now)
		c.sendAgentOutput(runner)
	}
}

// checkRunNames checks that the name by which agents identify an attempt resolves to its
// lease for as long as the lease is open.
func (c *testCluster) checkRunNames() {
	c.t.Helper()
	store := c.server.State()
	for id, lease := range store.Leases {
		found, task, ok := store.ResolveRun(lease.Runner, lease.Incarnation, store.AgentTaskRef(lease.Task), lease.Attempt)
		if !ok || found != id || task != lease.Task {
			c.t.Errorf("%d: %v, attempt %d, resolves to lease %d, want its open lease %d", c.now, lease.Task, lease.Attempt, found, id)
		}
	}
}

func (c *testCluster) deliver(m inFlightMessage) {
	for _, runner := range c.runners {
		if runner.isolated && (m.to == runner.name || m.from == runner.name) {
			return
		}
	}
	switch m.to {
	case serverAddr:
		c.server.HandleMessage(wire.Peer(m.from), m.message, c.now, wallTime(c.now))
		c.sendServerOutput()
	case operatorAddr:
		if m.message.Response != nil {
			c.responses[m.message.Response.ID] = m.message.Response
		}
	default:
		c.deliverToAgent(m)
	}
}

func (c *testCluster) deliverToAgent(m inFlightMessage) {
	for _, runner := range c.runners {
		if runner.name == m.to {
			runner.agent.HandleMessage(serverAddr, m.message, c.now)
			c.sendAgentOutput(runner)
		}
	}
}

// sendServerOutput sends the server's messages and syncs its writes at once.
func (c *testCluster) sendServerOutput() {
	for more := true; more; {
		output := c.server.TakeOutput()
		more = len(output.Writes) > 0
		c.send(serverAddr, output.Messages)
		for _, event := range output.Events {
			c.events[event.Name]++
		}
		for _, write := range output.Writes {
			c.server.Synced(write.Seq, c.now, wallTime(c.now))
		}
	}
}

func (c *testCluster) sendAgentOutput(runner *fakeRunner) {
	c.send(runner.name, runner.agent.TakeOutput().Messages)
}

// send puts messages in flight for one to three milliseconds.
func (c *testCluster) send(from string, envelopes []wire.Envelope) {
	for _, envelope := range envelopes {
		arrivesAt := c.now + 1 + clock.Monotonic(c.random.Intn(3))
		c.inFlight = append(c.inFlight, inFlightMessage{arrivesAt, string(envelope.To), from, envelope.Message})
	}
}

package agents

import (
	"fmt"
	"testing"

	"orchidward/internal/api/runnerapi"
	"orchidward/internal/invariants"
	"orchidward/internal/state"
	"orchidward/tests/simulation"
)

const (
	gangMembers = 4
	gangRunners = 6
	// gangWork is how long the members of the gang run, in ms.
	gangWork = 9000
	// faultDuration is the duration of a fault, in ms.
	faultDuration = 12000
	// recoveryTime is how long after the fault the job may take to succeed, in ms: the
	// fault itself, the lease and its margin, and a second run of the work.
	recoveryTime = 40000
	// maxMembersAlone is how long after the loss of a member the last of the others may
	// run on while a leader serves, in ms: three polls of silence and a stop, which is
	// less than the rest of the lost member's lease. maxWithLeader is the same where the
	// leader is lost too.
	maxMembersAlone = 3400
	maxWithLeader   = 4500
)

// memberFaults affect one member of a gang, or the leader.
var memberFaults = []struct {
	name string
	// maxRunOn is how long the other members may run on after the fault, 0 where no
	// member is lost for long enough to end the attempt.
	maxRunOn int64
	inject   func(c *agentCluster, member *simulation.AgentRunner)
}{
	{"member is silent", maxMembersAlone, func(c *agentCluster, member *simulation.AgentRunner) {
		c.After(faultDuration, c.Freeze(member.Process))
	}},
	{"member crashes", maxMembersAlone, func(c *agentCluster, member *simulation.AgentRunner) { crash(c, member) }},
	{"member is isolated with its agent", maxMembersAlone, func(c *agentCluster, member *simulation.AgentRunner) {
		c.After(faultDuration, c.Isolate(member.Agent.Process, true, true))
	}},
	{"link between member and agent is blocked", maxMembersAlone, func(c *agentCluster, member *simulation.AgentRunner) {
		c.After(faultDuration, c.BlockLink(member.Process, member.Agent.Process, true))
	}},
	{"links from the agent are blocked", maxMembersAlone, func(c *agentCluster, member *simulation.AgentRunner) {
		c.After(faultDuration, c.Isolate(member.Agent.Process, true, false))
	}},
	{"leader crashes", 0, func(c *agentCluster, _ *simulation.AgentRunner) { c.crashLeader() }},
	{"leader is isolated", 0, func(c *agentCluster, _ *simulation.AgentRunner) {
		c.After(faultDuration, c.Isolate(c.Leader().Process, true, true))
	}},
	{"leader and member crash", maxWithLeader, func(c *agentCluster, member *simulation.AgentRunner) {
		c.crashLeader()
		crash(c, member)
	}},
	{"member is silent, then the leader", maxWithLeader, func(c *agentCluster, member *simulation.AgentRunner) {
		c.After(faultDuration, c.Freeze(member.Process))
		c.After(1500, c.crashLeader)
	}},
}

func (c *agentCluster) crashLeader() {
	if leader := c.Leader(); leader != nil {
		c.After(faultDuration, c.CrashServer(leader))
	}
}

func crash(c *agentCluster, runner *simulation.AgentRunner) {
	runner.Crash()
	c.After(faultDuration, runner.Start)
}

// membersRunning lists the runners on which any attempt runs.
func (c *agentCluster) membersRunning() (list []*simulation.AgentRunner) {
	for _, agent := range c.Agents {
		if len(agent.Runner.Runs()) > 0 {
			list = append(list, agent.Runner)
		}
	}
	return list
}

// whenMembersRun calls inject once, as soon as count members of the gang run, with one of
// their runners.
func (c *agentCluster) whenMembersRun(count int, inject func(member *simulation.AgentRunner)) {
	c.Poll(1, func() (again bool) {
		running := c.membersRunning()
		if len(running) < count {
			return true
		}
		inject(running[c.Random.Intn(len(running))])
		return false
	})
}

// TestGangLosesMemberOrLeader injects a fault when one, two, three or all members of a
// gang have started: between the confirmations of its members, or while they work. The
// gang must be stopped and placed again as a whole, no attempt may run concurrently with a
// later one, and the job must succeed. The remaining members must end soon after the loss.
func TestGangLosesMemberOrLeader(t *testing.T) {
	t.Parallel()
	for _, fault := range memberFaults {
		for begun := 1; begun <= gangMembers; begun++ {
			t.Run(fmt.Sprintf("%s/%d begun", fault.name, begun), func(t *testing.T) {
				t.Parallel()
				for seed := int64(1); seed <= 2; seed++ {
					testGangFault(t, seed, begun, fault.maxRunOn, fault.inject)
				}
			})
		}
	}
}

func testGangFault(t *testing.T, seed int64, begun int, maxRunOn int64, inject func(c *agentCluster, member *simulation.AgentRunner)) {
	t.Helper()
	c := newAgentCluster(t, seed, gangRunners)
	key := c.submit(gang(gangMembers, gangWork), func() {})
	var faultAt int64
	var affected *simulation.AgentRunner
	c.whenMembersRun(begun, func(member *simulation.AgentRunner) {
		faultAt, affected = c.Now, member
		inject(c, member)
	})
	c.runUntilSucceeded(key, readyAt+recoveryTime)
	c.checkInvariants(seed)
	if got := c.jobState(key); got != string(state.Succeeded) {
		t.Errorf("seed %d: %d ms after the fault the job is %s", seed, c.Now-faultAt, got)
	}
	if maxRunOn == 0 {
		return
	}
	lastEnd := int64(0)
	for runner, at := range c.AgentRuns.LastFailure {
		if runner != affected {
			lastEnd = max(lastEnd, at)
		}
	}
	t.Logf("seed %d: fault at %d, the last other member ended %d ms later; ends %v", seed, faultAt, lastEnd-faultAt, c.AgentRuns.Ends)
	if begun == gangMembers && lastEnd == 0 {
		t.Errorf("seed %d: no other member ended", seed)
	}
	if lastEnd-faultAt > maxRunOn {
		t.Errorf("seed %d: a member ran on for %d ms after the loss of another", seed, lastEnd-faultAt)
	}
}

// TestGangUndisturbed submits gangs one after another without any fault: no member may
// time out waiting for the others, and each gang must succeed in its first attempt.
func TestGangUndisturbed(t *testing.T) {
	t.Parallel()
	const gangs = 12
	c := newAgentCluster(t, 1, gangRunners)
	for i := range gangs {
		c.At(readyAt+int64(i)*300, func() { c.submit(gang(1+int64(i%gangMembers), 400), func() {}) })
	}
	c.Run(readyAt + 20000)
	c.checkInvariants(1)
	for outcome, count := range c.AgentRuns.Ends {
		if outcome != runnerapi.OutcomeSuccess {
			t.Errorf("%d members ended as %s without any fault", count, outcome)
		}
	}
	for _, key := range c.keys {
		if got := c.jobState(key); got != string(state.Succeeded) {
			t.Errorf("job %s is %s", key, got)
		}
	}
	if c.Checker.Counts[invariants.ViolationCount(invariants.GangRunsTogether)] > 0 {
		t.Error("a gang did not run together")
	}
}

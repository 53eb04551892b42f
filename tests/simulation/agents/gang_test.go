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
	// faultDuration is how long a fault lasts that ends by itself, in ms.
	faultDuration = 12000
	// recoveryTime is how long after the fault the job has to be done, in ms: the fault
	// itself, the lease and its margin, and the work once more.
	recoveryTime = 40000
	// maxMembersAlone is how long after the loss of a member the last of the others may
	// run on while a leader serves, in ms: three polls of silence and a stop; sooner than
	// the lost member's lease ends. maxWithLeader is the same where a leader is lost
	// beside it.
	maxMembersAlone = 3400
	maxWithLeader   = 4500
)

// memberFaults strike one member of a gang, or the leader.
var memberFaults = []struct {
	name string
	// most is how long the other members may run on, 0 where none is lost for so long
	// that the gang cannot go on.
	most   int64
	strike func(c *agentCluster, member *simulation.AgentRunner)
}{
	{"member is silent", maxMembersAlone, func(c *agentCluster, member *simulation.AgentRunner) {
		c.After(faultDuration, c.Freeze(member.Process))
	}},
	{"member crashes", maxMembersAlone, func(c *agentCluster, member *simulation.AgentRunner) { crash(c, member) }},
	{"member is cut off with its agent", maxMembersAlone, func(c *agentCluster, member *simulation.AgentRunner) {
		c.After(faultDuration, c.Isolate(member.Agent.Process, true, true))
	}},
	{"member is cut off from its agent", maxMembersAlone, func(c *agentCluster, member *simulation.AgentRunner) {
		c.After(faultDuration, c.BlockLink(member.Process, member.Agent.Process, true))
	}},
	{"agent is not heard", maxMembersAlone, func(c *agentCluster, member *simulation.AgentRunner) {
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

// membersRunning lists the runners on which members of any gang run.
func (c *agentCluster) membersRunning() (list []*simulation.AgentRunner) {
	for _, agent := range c.Agents {
		if len(agent.Runner.Runs()) > 0 {
			list = append(list, agent.Runner)
		}
	}
	return list
}

// whenMembersRun calls strike once as many members of the gang run, and never again.
func (c *agentCluster) whenMembersRun(count int, strike func(member *simulation.AgentRunner)) {
	c.Poll(1, func() (again bool) {
		running := c.membersRunning()
		if len(running) < count {
			return true
		}
		strike(running[c.Random.Intn(len(running))])
		return false
	})
}

// TestGangLosesMemberOrLeader strikes a gang when one, two, three or all of its members
// have begun: between the confirmations of its members, or during its work. The gang is
// stopped and placed again as one, no attempt of it runs beside a later one, and the job
// succeeds. The members that are left end soon after the loss.
func TestGangLosesMemberOrLeader(t *testing.T) {
	t.Parallel()
	for _, fault := range memberFaults {
		for begun := 1; begun <= gangMembers; begun++ {
			t.Run(fmt.Sprintf("%s/%d begun", fault.name, begun), func(t *testing.T) {
				t.Parallel()
				for seed := int64(1); seed <= 2; seed++ {
					playGangFault(t, seed, begun, fault.most, fault.strike)
				}
			})
		}
	}
}

func playGangFault(t *testing.T, seed int64, begun int, most int64, strike func(c *agentCluster, member *simulation.AgentRunner)) {
	t.Helper()
	c := newAgentCluster(t, seed, gangRunners)
	key := c.submit(gang(gangMembers, gangWork), func() {})
	var struckAt int64
	var struck *simulation.AgentRunner
	c.whenMembersRun(begun, func(member *simulation.AgentRunner) {
		struckAt, struck = c.Now, member
		strike(c, member)
	})
	c.runUntilSucceeded(key, readyAt+recoveryTime)
	c.checkInvariants(seed)
	if got := c.jobState(key); got != string(state.Succeeded) {
		t.Errorf("seed %d: %d ms after the fault the job is %s", seed, c.Now-struckAt, got)
	}
	if most == 0 {
		return
	}
	lastEnd := int64(0)
	for runner, at := range c.AgentRuns.LastFailure {
		if runner != struck {
			lastEnd = max(lastEnd, at)
		}
	}
	t.Logf("seed %d: struck at %d, the last other member ended %d ms later; ends %v", seed, struckAt, lastEnd-struckAt, c.AgentRuns.Ends)
	if begun == gangMembers && lastEnd == 0 {
		t.Errorf("seed %d: no other member ended", seed)
	}
	if lastEnd-struckAt > most {
		t.Errorf("seed %d: a member ran on for %d ms after the loss of another", seed, lastEnd-struckAt)
	}
}

// TestGangUndisturbed has gangs submitted one after another with nothing wrong: none
// waits in vain, and each is done by its first attempt.
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
			t.Errorf("%d members ended as %s with nothing wrong", count, outcome)
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

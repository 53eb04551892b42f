package scenarios

import (
	"fmt"
	"net/http"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/state"
	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

// taskStates counts the tasks of each row in each state.
func taskStates(cluster *simulation.Cluster) map[identifier.Row]map[state.TaskState]int {
	out := map[identifier.Row]map[state.TaskState]int{}
	for _, j := range cluster.Leader().Machine.State().Jobs {
		row := j.Spec.Row
		if out[row] == nil {
			out[row] = map[state.TaskState]int{}
		}
		for _, tasks := range j.Steps {
			for _, t := range tasks {
				out[row][t.State]++
			}
		}
	}
	return out
}

// TestDrainWithoutCapacity drains a domain of a full cluster, so that preflight finds too
// little capacity, and loses the leader just then or not. Tasks do as their row says:
// row check preempts the cheaper row push, push waits, stock is suspended, and gangs
// of each likewise. After the reopening all jobs end.
func TestDrainWithoutCapacity(t *testing.T) {
	for _, loss := range []simulation.FaultKind{"", simulation.LeaderCrash, simulation.LeaderFreeze} {
		for _, seed := range []int64{61, 64, 65} {
			t.Run(fmt.Sprintf("leader %s/%d", loss, seed), func(t *testing.T) { drainWithoutCapacity(t, loss, seed) })
		}
	}
}

func drainWithoutCapacity(t *testing.T, loss simulation.FaultKind, seed int64) {
	t.Parallel()
	spec := simulation.FastNetwork()
	spec.Cores, spec.DefectPercent = 4, 0
	var during map[identifier.Row]map[state.TaskState]int
	var c *state.Drain
	away, left := 0, 0
	cluster := simulation.Run(simulation.Scenario{Seed: seed, Spec: spec, Window: 30000, Recovery: 70000, Setup: func(cluster *simulation.Cluster) {
		cluster.At(6600, func() { cluster.Clients.StopAt = 0 })
		cluster.At(7500, func() {
			cluster.Clients.ReadLimits(func(epoch int64) {
				cluster.Clients.PatchLimits(epoch, map[string]any{"push.weight": 1, "stock.weight": 2, "check.weight": 4}, func(status int, _ int64) {
					if status != http.StatusOK {
						t.Errorf("the weights got %d", status)
					}
				})
			})
		})
		cluster.At(8000, func() {
			fill := func(row identifier.Row, tasks int64, gang bool) {
				cluster.Clients.Submit(row, job.Step{Name: "long", Tasks: tasks, Gang: gang, Demand: job.Demand{Cores: 1, Mem: 64}, ExpectedRun: 20000})
			}
			for i := 0; i < 6; i++ {
				fill("check", 1, false)
				fill("push", 3, false)
				fill("stock", 1, false)
			}
			fill("check", 3, true)
			fill("stock", 4, true)
			fill("push", 4, true)
		})
		cluster.At(13000, func() { cluster.Clients.SetDrained("north", true, func() bool { return true }) })
		if loss != "" {
			cluster.At(13020, func() { cluster.Inject(simulation.Fault{Duration: 8000, Kind: loss}) })
		}
		cluster.At(19000, func() {
			during = taskStates(cluster)
			for _, one := range cluster.Leader().Machine.State().Drains {
				c = one
			}
			if c.Stage != state.Closed {
				t.Errorf("6 s after the order the drain is at %s", c.Stage)
			}
			for _, ref := range c.Displaced {
				j := cluster.Leader().Machine.State().Jobs[ref.Job]
				if j.Spec.Row != "check" {
					continue
				}
				away++
				if s := j.Task(ref).State; s != state.Placed && !s.Ended() {
					left++
				}
			}
		})
		cluster.At(22000, func() { cluster.Clients.SetDrained("north", false, func() bool { return true }) })
	}})
	simulationtest.CheckInvariants(t, seed, cluster)
	if c == nil || c.Fits || !c.PreflightDone || len(c.Displaced) < 10 || c.Shortage.Cores == 0 {
		t.Fatalf("the drain: %+v", c)
	}
	if n := during["stock"]; n[state.Suspended] == 0 {
		t.Errorf("row stock is suspended: %v", n)
	}
	if away == 0 || left > 0 {
		t.Errorf("row check preempts: of %d displaced, %d are not placed", away, left)
	}
	if n := during["push"]; n[state.Waiting] == 0 || n[state.Suspended] > 0 {
		t.Errorf("row push waits: %v", n)
	}
	for row, n := range taskStates(cluster) {
		if n[state.Waiting]+n[state.Suspended]+n[state.Placed] > 0 {
			t.Errorf("in the end %s: %v", row, n)
		}
	}
}

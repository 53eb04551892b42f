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

// tasksByState is the number of tasks in each state.
type tasksByState map[state.TaskState]int

// taskStates counts the tasks of each row by state.
func taskStates(cluster *simulation.Cluster) map[identifier.Row]tasksByState {
	counts := map[identifier.Row]tasksByState{}
	for _, j := range cluster.Leader().Machine.State().Jobs {
		row := j.Spec.Row
		if counts[row] == nil {
			counts[row] = tasksByState{}
		}
		for _, tasks := range j.Steps {
			for _, task := range tasks {
				counts[row][task.State]++
			}
		}
	}
	return counts
}

// always reports that an order is still wanted.
func always() bool { return true }

// TestDrainWithoutCapacity drains a domain of a full cluster, so that preflight finds too
// little capacity, with and without a failure of the leader during preflight. Displaced
// tasks must follow the setting of their row: row check preempts row push, which has a lower
// weight, row push waits, row stock is suspended; the same holds for their gangs. After the
// reopening all jobs must end.
func TestDrainWithoutCapacity(t *testing.T) {
	for _, loss := range []simulation.FaultKind{"", simulation.LeaderCrash, simulation.LeaderFreeze} {
		for _, seed := range []int64{61, 64, 65} {
			t.Run(fmt.Sprintf("leader %s/%d", loss, seed), func(t *testing.T) { drainWithoutCapacity(t, loss, seed) })
		}
	}
}

// observedDrain is what was observed of the drain while its domain was drained.
type observedDrain struct {
	drain  *state.Drain
	states map[identifier.Row]tasksByState
	// displaced counts the displaced tasks of row check, unplaced those of them that
	// neither are placed again nor have ended.
	displaced, unplaced int
}

func drainWithoutCapacity(t *testing.T, loss simulation.FaultKind, seed int64) {
	t.Parallel()
	spec := simulation.FastNetwork()
	spec.Cores = 4
	spec.DefectPercent = 0
	var observed observedDrain
	cluster := simulation.Run(simulation.Scenario{Seed: seed, Spec: spec, Window: 30000, Recovery: 70000, Setup: func(cluster *simulation.Cluster) {
		cluster.At(6600, func() { cluster.Clients.StopAt = 0 })
		cluster.At(7500, func() { setWeights(t, cluster) })
		cluster.At(8000, func() { fillCluster(cluster) })
		cluster.At(13000, func() { cluster.Clients.SetDrained("north", true, always) })
		if loss != "" {
			cluster.At(13020, func() { cluster.Inject(simulation.Fault{Duration: 8000, Kind: loss}) })
		}
		cluster.At(19000, func() { observed = observeDrain(t, cluster) })
		cluster.At(22000, func() { cluster.Clients.SetDrained("north", false, always) })
	}})
	simulationtest.CheckInvariants(t, seed, cluster)
	observed.check(t)
	for row, states := range taskStates(cluster) {
		if states[state.Waiting]+states[state.Suspended]+states[state.Placed] > 0 {
			t.Errorf("at the end, row %s: %v", row, states)
		}
	}
}

// setWeights gives row check the highest weight and row push the lowest.
func setWeights(t *testing.T, cluster *simulation.Cluster) {
	weights := map[string]any{"push.weight": 1, "stock.weight": 2, "check.weight": 4}
	cluster.Clients.ReadLimits(func(epoch int64) {
		cluster.Clients.PatchLimits(epoch, weights, func(status int, _ int64) {
			if status != http.StatusOK {
				t.Errorf("setting the weights: status %d", status)
			}
		})
	})
}

// fillCluster submits long tasks of each row, some of them as gangs.
func fillCluster(cluster *simulation.Cluster) {
	submit := func(row identifier.Row, tasks int64, gang bool) {
		cluster.Clients.Submit(row, job.Step{Name: "long", Tasks: tasks, Gang: gang, Demand: job.Demand{Cores: 1, Mem: 64}, ExpectedRun: 20000})
	}
	for range 6 {
		submit(simulation.RowCheck, 1, false)
		submit(simulation.RowPush, 3, false)
		submit(simulation.RowStock, 1, false)
	}
	submit(simulation.RowCheck, 3, true)
	submit(simulation.RowStock, 4, true)
	submit(simulation.RowPush, 4, true)
}

func observeDrain(t *testing.T, cluster *simulation.Cluster) observedDrain {
	observed := observedDrain{states: taskStates(cluster)}
	store := cluster.Leader().Machine.State()
	for _, drain := range store.Drains {
		observed.drain = drain
	}
	if observed.drain.Stage != state.Closed {
		t.Errorf("6 s after the order the drain is in stage %s", observed.drain.Stage)
	}
	for _, ref := range observed.drain.Displaced {
		displaced := store.Jobs[ref.Job]
		if displaced.Spec.Row != simulation.RowCheck {
			continue
		}
		observed.displaced++
		if taskState := displaced.Task(ref).State; taskState != state.Placed && !taskState.Ended() {
			observed.unplaced++
		}
	}
	return observed
}

func (d observedDrain) check(t *testing.T) {
	t.Helper()
	drain := d.drain
	if drain == nil || drain.Fits || !drain.PreflightDone || len(drain.Displaced) < 10 || drain.Shortage.Cores == 0 {
		t.Fatalf("unexpected drain: %+v", drain)
	}
	if states := d.states[simulation.RowStock]; states[state.Suspended] == 0 {
		t.Errorf("row stock is not suspended: %v", states)
	}
	if d.displaced == 0 || d.unplaced > 0 {
		t.Errorf("row check does not preempt: of %d displaced tasks, %d are not placed", d.displaced, d.unplaced)
	}
	if states := d.states[simulation.RowPush]; states[state.Waiting] == 0 || states[state.Suspended] > 0 {
		t.Errorf("row push does not wait: %v", states)
	}
}

package scheduler

import (
	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
	"orchidward/internal/scheduler/policy"
	"orchidward/internal/state"
)

// Bounds of one cycle, so that it does not keep the leader from its other work.
const (
	// maxPlacedTasks is the number of placed tasks after which a cycle ends.
	maxPlacedTasks = 128
	// maxMisses is the number of jobs of one row, or of all queues, that were found
	// not to fit after which the cycle turns to the next.
	maxMisses = 64
	// maxJobsSeen is the number of jobs after which it does so in any case.
	maxJobsSeen = 600
)

// Plan is the result of a cycle.
type Plan struct {
	Placements []state.Placement
	// Preemptions are the leases to revoke in favour of displaced work.
	Preemptions []identifier.LeaseID
	// Reasons tells why the steps that the cycle looked at still wait.
	Reasons Reasons
	// Deferred are the tasks that could be placed, and wait for a better node.
	Deferred []identifier.TaskRef
	// Policies tells how the placement policies of the rows did.
	Policies PolicyResults
	// AtQuota are the tenants of which work waits for their quota.
	AtQuota map[string]bool
}

func newPlan() Plan {
	return Plan{Reasons: Reasons{}, Policies: PolicyResults{}, AtQuota: map[string]bool{}}
}

// PredictedRun is how long a task is expected to run, and by which deviation, in logarithms,
// that is usually wrong.
type PredictedRun struct {
	Run       clock.Millis
	Deviation float64
}

// RunPredictor predicts how long a task of a queue runs near its data on a runner of the
// nominal rate, by its estimate in milliseconds.
type RunPredictor func(queue string, estimate clock.Millis) PredictedRun

// RunnerView is what a leader knows of runners beyond the state.
type RunnerView struct {
	// Schedulable tells whether the runner may be given tasks now.
	Schedulable func(r identifier.Runner) bool
	// WorkRate is how fast tasks run there, in thousandths of the nominal rate.
	WorkRate func(r identifier.Runner) int64
	// SuccessStreak is how many attempts there have succeeded since the last defect.
	SuccessStreak func(r identifier.Runner) int
	// DistantFactor is how many times as long tasks run away from their data, in
	// thousandths.
	DistantFactor int64
	// Predict is how long a task of a queue runs near its data on a runner of the nominal
	// rate, by its estimate.
	Predict RunPredictor
	// Remaining is how long the run of a lease is expected to go on; it is not ok where
	// that is not known.
	Remaining func(lease *state.Lease) (remaining clock.Millis, ok bool)
	// DeferredFor is how long a task has been deferred.
	DeferredFor func(ref identifier.TaskRef) clock.Millis
	// Usage is what each pool lately had in use.
	Usage *UsageHistory
}

// cycle is one scheduling cycle.
type cycle struct {
	store    *state.Store
	view     RunnerView
	capacity job.Demand
	// nodes are the runners that belong to no pool, pools those of each pool of the
	// catalogue.
	nodes []*node
	pools map[string][]*node
	// queues are those of the catalogue that were looked up.
	queues map[string]*catalog.Queue
	// resourcesByPool has the resources of each pool in all.
	resourcesByPool map[string]*poolResources
	// rowUse is the demand of each row's open leases and placements so far.
	rowUse map[identifier.Row]job.Demand
	// tenants has the quota and the use of each tenant that was looked up.
	tenants map[string]*tenantBudget
	// rowReserved and poolReserved tell where resources are reserved already.
	rowReserved  bool
	poolReserved map[string]bool
	// placed has the first task of each unit of a row's job that was placed.
	placed map[identifier.TaskRef]bool
	// unplaceable has the shapes that were found not to fit, with the reason.
	unplaceable map[unitShape]string
	placedTasks int

	policies     *policy.Cache
	policyScores int

	plan Plan
}

// Schedule plans placements and preemptions from the state as it is and does not change
// it. The plan is a proposal: the state machine checks every placement again.
func Schedule(store *state.Store, view RunnerView, policies *policy.Cache) Plan {
	if !store.HasPending() {
		return newPlan()
	}
	c := newCycle(store, view, policies)
	c.scheduleQueues()
	c.scheduleDisplaced()
	c.scheduleRows()
	return c.plan
}

func newCycle(store *state.Store, view RunnerView, policies *policy.Cache) *cycle {
	nodes, pools := splitByPool(usableNodes(store, view))
	for _, pool := range pools {
		for _, n := range pool {
			n.workRate = view.WorkRate(n.runner.Name)
		}
	}
	c := &cycle{
		store:           store,
		view:            view,
		capacity:        store.TotalCapacity(),
		nodes:           nodes,
		pools:           pools,
		queues:          map[string]*catalog.Queue{},
		resourcesByPool: newPoolResources(store, pools, view.Usage),
		rowUse:          map[identifier.Row]job.Demand{},
		tenants:         map[string]*tenantBudget{},
		poolReserved:    map[string]bool{},
		placed:          map[identifier.TaskRef]bool{},
		unplaceable:     map[unitShape]string{},
		policies:        policies,
		plan:            newPlan(),
	}
	for _, row := range store.Limits.RowNames() {
		c.rowUse[row] = store.InUse(row)
	}
	return c
}

func (c *cycle) full() bool { return c.placedTasks >= maxPlacedTasks }

package scheduler

import (
	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
	"orchidward/internal/scheduler/policy"
	"orchidward/internal/state"
)

// Bounds on the work of one cycle, so that a cycle does not delay the leader's other work.
const (
	// maxPlacedTasks is the number of placed tasks after which a cycle ends.
	maxPlacedTasks = 128
	// maxMisses is how many jobs of one row, or of one timeliness class of queue jobs,
	// may fail to fit before the cycle skips the rest of that row or class.
	maxMisses = 64
	// maxJobsSeen is how many jobs of one row or class a cycle tries, whether or not
	// they fit.
	maxJobsSeen = 600
)

// Plan is the result of a cycle.
type Plan struct {
	Placements []state.Placement
	// Preemptions are the leases to revoke in favour of displaced work.
	Preemptions []identifier.LeaseID
	// Reasons holds why the steps that the cycle considered are still pending.
	Reasons Reasons
	// Deferred are the tasks that could be placed now but wait for a better node.
	Deferred []identifier.TaskRef
	// Policies holds the results of the rows' placement policies.
	Policies PolicyResults
	// AtQuota are the tenants whose work is held back by their quota.
	AtQuota map[string]bool
}

func newPlan() Plan {
	return Plan{Reasons: Reasons{}, Policies: PolicyResults{}, AtQuota: map[string]bool{}}
}

// PredictedRun is the predicted run time of a task, with the standard deviation of its
// logarithm.
type PredictedRun struct {
	Run       clock.Millis
	Deviation float64
}

// RunPredictor predicts, from the client's estimate, how long a task of a queue runs near
// its data on a runner of the nominal rate.
type RunPredictor func(queue string, estimate clock.Millis) PredictedRun

// RunnerView is the leader's knowledge of the runners that is not part of the replicated
// state.
type RunnerView struct {
	// Schedulable reports whether the runner may be given tasks now.
	Schedulable func(r identifier.Runner) bool
	// WorkRate returns how fast tasks run on the runner, in thousandths of the nominal
	// rate.
	WorkRate func(r identifier.Runner) int64
	// SuccessStreak returns how many attempts on the runner have succeeded since its last
	// defect.
	SuccessStreak func(r identifier.Runner) int
	// DistantFactor is the ratio of a task's run time away from its data to that near its
	// data, in thousandths.
	DistantFactor int64
	// Predict predicts the run time of a task near its data on a runner of the nominal
	// rate.
	Predict RunPredictor
	// Remaining returns how much longer the run of a lease is expected to take; ok is
	// false if that is unknown.
	Remaining func(lease *state.Lease) (remaining clock.Millis, ok bool)
	// DeferredFor returns how long a task has been deferred.
	DeferredFor func(ref identifier.TaskRef) clock.Millis
	// Usage holds the recent usage of each pool.
	Usage *UsageHistory
}

// cycle holds the working state of one scheduling cycle.
type cycle struct {
	store    *state.Store
	view     RunnerView
	capacity job.Demand
	// nodes are the runners that belong to no pool; pools holds the runners of each pool
	// of the catalogue.
	nodes []*node
	pools map[string][]*node
	// queues caches the catalogue's queues that this cycle has looked up.
	queues map[string]*catalog.Queue
	// resourcesByPool holds the aggregate resources of each pool.
	resourcesByPool map[string]*poolResources
	// rowUse is the demand of each row's open leases and of its placements in this cycle.
	rowUse map[identifier.Row]job.Demand
	// tenants caches the quota and usage of the tenants that this cycle has looked up.
	tenants map[string]*tenantBudget
	// rowReserved and poolReserved record whether resources are already reserved for a
	// unit of a row or, by pool, for a unit of a queue.
	rowReserved  bool
	poolReserved map[string]bool
	// placed holds the first task of each placed unit of a row's job.
	placed map[identifier.TaskRef]bool
	// unplaceable maps the shapes that do not fit to the reason.
	unplaceable map[unitShape]string
	placedTasks int

	policies     *policy.Cache
	policyScores int

	plan Plan
}

// Schedule plans placements and preemptions from the current state, which it does not
// modify. The plan is a proposal: the state machine checks every placement again.
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

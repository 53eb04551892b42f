package scheduler

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/prediction"
	"orchidward/internal/scheduler/feasibility"
	"orchidward/internal/state"
)

// node models a runner within one cycle.
type node struct {
	runner *state.Runner
	// free is the capacity that is neither leased nor placed in this cycle.
	free job.Demand
	// reserved is the part of free that is reserved for a pending unit.
	reserved job.Demand
	// onTrial is set if the runner has so many defects that its concurrent tasks are
	// limited.
	onTrial bool
	// rackLeaving is set if a runner of the same rack has announced its departure.
	rackLeaving bool
	// workRate is how fast tasks run on the runner, in thousandths of the nominal rate. It
	// is set only for nodes that belong to a pool.
	workRate int64
	// releases holds the resources that will be released, nil until first computed.
	releases *expectedReleases
}

// unreserved returns the free resources that units without a reservation may use.
func (n *node) unreserved() job.Demand { return n.free.Minus(n.reserved) }

// maxRunnerTasks is the number of open leases from which on a runner gets no further tasks: a
// poll lists at most runnerapi.MaxItems attempts, and a cycle adds up to maxPlacedTasks.
const maxRunnerTasks = runnerapi.MaxItems - 2*maxPlacedTasks

// usableNodes returns the runners that may be given tasks, sorted by name.
func usableNodes(store *state.Store, view RunnerView) []*node {
	leavingRacks := map[identifier.Rack]bool{}
	for _, name := range store.RunnerNames() {
		if runner := store.Runners[name]; runner.Draining {
			leavingRacks[runner.Rack] = true
		}
	}
	mean := meanDefectRate(store)
	// A cycle iterates over its nodes many times, so they are allocated contiguously.
	list := make([]node, 0, len(store.RunnerNames()))
	nodes := make([]*node, 0, len(store.RunnerNames()))
	for _, name := range store.RunnerNames() {
		runner := store.Runners[name]
		if runner.Gone || runner.CordonedBy() != "" || runner.OpenLeases() >= maxRunnerTasks || !view.Schedulable(name) {
			continue
		}
		onTrial := needsTrial(runner, mean)
		if onTrial && runner.OpenLeases() >= trialTasks(view.SuccessStreak(name)) {
			continue
		}
		list = append(list, node{
			runner:      runner,
			free:        runner.Free(),
			onTrial:     onTrial,
			rackLeaving: leavingRacks[runner.Rack],
		})
		nodes = append(nodes, &list[len(list)-1])
	}
	return nodes
}

// splitByPool separates the nodes that belong to no pool from those of each pool.
func splitByPool(all []*node) (nodes []*node, pools map[string][]*node) {
	pools = map[string][]*node{}
	for _, n := range all {
		pool := n.runner.Pool
		if pool == "" {
			nodes = append(nodes, n)
			continue
		}
		pools[pool] = append(pools[pool], n)
	}
	return nodes, pools
}

// Defect rates are in thousandths of all ended runs.
const (
	// priorDefects and priorEnds are added to a runner's counts, so that a runner with
	// few ended runs is rated neither reliable nor defective.
	priorDefects = 20
	priorEnds    = 2
	// A runner is on trial if it has at least minTrialDefects defects and its rate exceeds
	// trialRateFactor times the mean rate plus trialRateMargin.
	minTrialDefects = 3
	trialRateFactor = 3
	trialRateMargin = 50
)

// defectRate returns the runner's recent defect rate.
func defectRate(r *state.Runner) int64 {
	return (r.Defects*1000 + priorDefects) / (r.Successes + r.Defects + priorEnds)
}

// meanDefectRate returns the recent defect rate over all runners.
func meanDefectRate(store *state.Store) int64 {
	var successes, defects int64
	for _, runner := range store.Runners {
		successes += runner.Successes
		defects += runner.Defects
	}
	return (defects * 1000) / (successes + defects + 1)
}

func needsTrial(r *state.Runner, mean int64) bool {
	return r.Defects >= minTrialDefects && defectRate(r) > trialRateFactor*mean+trialRateMargin
}

// successesPerDoubling is how many consecutive successes double the task limit of a runner
// on trial.
const successesPerDoubling = 2

// trialTasks returns how many concurrent tasks a runner on trial may have. The limit starts
// at one and grows exponentially with consecutive successes, so that a recovered runner is
// soon fully used again (like TCP slow start: RFC 5681, section 3.1).
func trialTasks(streak int) int { return 1 << min(streak/successesPerDoubling, maxTrialDoublings) }

// maxTrialDoublings bounds the task limit of a runner on trial.
const maxTrialDoublings = 8

// eligible reports whether the node may be given a task of the step, free resources aside.
// A node on trial is given at most one task per cycle.
func (n *node) eligible(step *job.Step) bool {
	if !feasibility.HasLabels(n.runner.Labels, step.Labels) {
		return false
	}
	return !n.onTrial || n.free == n.runner.Free()
}

// fits reports whether a task of the step can be placed on the node now.
func (n *node) fits(step *job.Step) bool {
	return step.Demand.Fits(n.unreserved()) && n.eligible(step)
}

// Penalties added to a node's score. The tight-fit part of the score ranges from 0 to 1000
// and is divided by one of the divisors below.
const (
	rackLeavingPenalty = 2_000
	trialPenalty       = 10_000
	avoidPenalty       = 100_000
)

const (
	// rowTightFitDivisor gives the tight fit its full weight for jobs of rows.
	// queueTightFitDivisor reduces it to a tie-breaker between nodes on which a task of a
	// queue is expected to run about equally long.
	rowTightFitDivisor   = 1
	queueTightFitDivisor = 10
	// runQuantum is the granularity of expected run times, in thousandths; smaller
	// differences between nodes are ignored because work rates are not known more
	// precisely.
	runQuantum = 250
	// minWorkRate bounds the penalty of a slow node.
	minWorkRate = 50
	// oneInThousandths is the fixed-point representation of 1.
	oneInThousandths = 1000
)

// score rates the node for a task; lower is better. It prefers a tight fit, a low defect
// rate, and a rack from which no runner is departing. The runner that the task avoids is
// ranked last.
func (n *node) score(demand job.Demand, avoid identifier.Runner, tightFitDivisor int64) int64 {
	left := n.free.Minus(demand)
	score := left.Share(n.runner.Capacity)/1000/tightFitDivisor + 2*defectRate(n.runner)
	if n.rackLeaving {
		score += rackLeavingPenalty
	}
	if n.onTrial {
		score += trialPenalty
	}
	if n.runner.Name == avoid {
		score += avoidPenalty
	}
	return score
}

// expectedRun returns the expected run time of a task of the step on the node, in
// thousandths of its run time near its data on a node of the nominal rate.
func (c *cycle) expectedRun(step *job.Step, n *node) int64 {
	run := int64(oneInThousandths*prediction.NominalRate) / max(n.workRate, minWorkRate)
	if step.PreferredRack != "" && step.PreferredRack != n.runner.Rack {
		run = run * c.view.DistantFactor / oneInThousandths
	}
	return (run + runQuantum/2) / runQuantum * runQuantum
}

// bestNode returns the node with the best score for one task, or nil if none fits.
func bestNode(nodes []*node, step *job.Step, avoid identifier.Runner) *node {
	var best *node
	var bestScore int64
	for _, n := range nodes {
		if !n.fits(step) {
			continue
		}
		if score := n.score(step.Demand, avoid, rowTightFitDivisor); best == nil || score < bestScore {
			best = n
			bestScore = score
		}
	}
	return best
}

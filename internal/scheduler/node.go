package scheduler

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/prediction"
	"orchidward/internal/scheduler/feasibility"
	"orchidward/internal/state"
)

// node is a runner as one cycle sees it.
type node struct {
	runner *state.Runner
	// free is what is neither leased nor placed in this cycle.
	free job.Demand
	// reserved is what of free is reserved for a unit that waits.
	reserved job.Demand
	// onTrial says that the runner has so many defects that it gets few tasks at a time.
	onTrial bool
	// rackLeaving says that another runner of its rack has announced its departure.
	rackLeaving bool
	// workRate is how fast tasks run there, in thousandths of the nominal rate. It is known for the nodes of pools only.
	workRate int64
	// releases is what will become free, nil until it is looked up.
	releases *expectedReleases
}

// unreserved is what units without a reservation may use.
func (n *node) unreserved() job.Demand { return n.free.Minus(n.reserved) }

// usableNodes lists, in order of name, the runners that may be given tasks.
func usableNodes(store *state.Store, view RunnerView) []*node {
	leavingRacks := map[identifier.Rack]bool{}
	for _, name := range store.RunnerNames() {
		if runner := store.Runners[name]; runner.Draining {
			leavingRacks[runner.Rack] = true
		}
	}
	mean := meanDefectRate(store)
	// A cycle goes through its nodes again and again, so they lie side by side.
	list := make([]node, 0, len(store.RunnerNames()))
	nodes := make([]*node, 0, len(store.RunnerNames()))
	for _, name := range store.RunnerNames() {
		runner := store.Runners[name]
		if runner.Gone || runner.CordonedBy() != "" || !view.Schedulable(name) {
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

// splitByPool returns the nodes that belong to no pool and those of each pool.
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

// Rates of defects are in thousandths of all ends.
const (
	// priorDefects and priorEnds are added to what is known of a runner, so that one
	// of which little is known is neither trusted nor blamed.
	priorDefects = 20
	priorEnds    = 2
	// A runner is on trial with at least minTrialDefects, at a rate above
	// trialRateFactor times the mean and trialRateMargin.
	minTrialDefects = 3
	trialRateFactor = 3
	trialRateMargin = 50
)

// defectRate is the runner's recent rate of defects.
func defectRate(r *state.Runner) int64 {
	return (r.Defects*1000 + priorDefects) / (r.Successes + r.Defects + priorEnds)
}

// meanDefectRate is the recent rate of defects of all runners.
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

// successesPerDoubling is how many successes in a row double the tasks that a runner on
// trial may have.
const successesPerDoubling = 2

// trialTasks is how many tasks a runner on trial may have: one, and more as it succeeds, so
// that one that has recovered is soon in use again (the slow start of TCP: RFC 5681, 3.1).
func trialTasks(streak int) int { return 1 << min(streak/successesPerDoubling, maxTrialDoublings) }

// maxTrialDoublings bounds the tasks of a runner on trial.
const maxTrialDoublings = 8

// eligible tells whether the node may get a task of the step, were there free
// resources. A node on trial gets one in a cycle.
func (n *node) eligible(step *job.Step) bool {
	if !feasibility.HasLabels(n.runner.Labels, step.Labels) {
		return false
	}
	return !n.onTrial || n.free == n.runner.Free()
}

// fits tells whether a task of the step can be placed on the node now.
func (n *node) fits(step *job.Step) bool {
	return step.Demand.Fits(n.unreserved()) && n.eligible(step)
}

// What is added to a node's score. The score of the tightest fit is from 0 to 1000, divided
// by a number that depends on who asks.
const (
	rackLeavingPenalty = 2_000
	trialPenalty       = 10_000
	avoidPenalty       = 100_000
)

const (
	// rowTightFitDivisor leaves the tightest fit its weight for jobs of rows;
	// queueTightFitDivisor makes it decide among nodes on which a task of a queue runs
	// about as long.
	rowTightFitDivisor   = 1
	queueTightFitDivisor = 10
	// runQuantum is the difference of expected runs, in thousandths, below which nodes count
	// as alike: rates are not known more exactly.
	runQuantum = 250
	// minWorkRate bounds what a slow node can cost.
	minWorkRate = 50
	// oneInThousandths is a whole in thousandths.
	oneInThousandths = 1000
)

// score is lower for the better node: the tightest fit, few defects, and a rack that
// nobody leaves. The runner that the task avoids comes last.
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

// expectedRun is how long a task of the step runs on the node, in thousandths of its run near
// its data on a node of the nominal rate.
func (c *cycle) expectedRun(step *job.Step, n *node) int64 {
	run := int64(oneInThousandths*prediction.NominalRate) / max(n.workRate, minWorkRate)
	if step.PreferredRack != "" && step.PreferredRack != n.runner.Rack {
		run = run * c.view.DistantFactor / oneInThousandths
	}
	return (run + runQuantum/2) / runQuantum * runQuantum
}

// bestNode finds the node with the best score for one task, nil when none fits.
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

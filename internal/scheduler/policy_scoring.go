package scheduler

import (
	"github.com/go-faster/errors"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/limits"
	"orchidward/internal/scheduler/policy"
	"orchidward/internal/state"
)

// maxPolicyScores bounds the scores that policies compute in one cycle; beyond it the
// built-in scoring is used, so that policies cannot delay the leader's other work.
const maxPolicyScores = 5000

// Errors that prevent a policy from choosing a node, besides those of its evaluation.
var (
	errPolicyNotCompiled   = errors.New("the policy does not compile")
	errTooManyPolicyScores = errors.New("too many scorings in one round")
)

// PolicyResult counts the decisions of a row's policy in one cycle.
type PolicyResult struct {
	// Used counts the decisions made by the policy, Failed those that fell back to the
	// built-in scoring.
	Used, Failed int
	// LastFailure is the error of the last failed decision, empty if none failed.
	LastFailure string
}

// PolicyResults holds the policy result of each row.
type PolicyResults map[identifier.Row]PolicyResult

// pickNode returns the node for one task of a row's job, chosen by the row's policy if it
// has one, or nil if the task fits on no node. A policy chooses only among the nodes that
// fit.
func (c *cycle) pickNode(u unit, task *state.Task) *node {
	row := u.job.Spec.Row
	source := c.store.Limits.Cell(row, limits.ColumnPolicy)
	if source == "" {
		return bestNode(c.nodes, u.spec(), task.AvoidRunner)
	}
	result := c.plan.Policies[row]
	picked, err := c.pickByPolicy(c.policies.Get(source), u, task)
	if err != nil {
		result.Failed++
		result.LastFailure = err.Error()
		picked = bestNode(c.nodes, u.spec(), task.AvoidRunner)
	} else {
		result.Used++
	}
	c.plan.Policies[row] = result
	return picked
}

// scoredNode is a node with its policy score, where higher is better, and its built-in
// score, where lower is better.
type scoredNode struct {
	node    *node
	score   float64
	builtin int64
	avoided bool
}

// betterThan compares by policy score and then by built-in score; the runner that the task
// avoids is ranked last.
func (a *scoredNode) betterThan(b *scoredNode) bool {
	switch {
	case a.avoided != b.avoided:
		return b.avoided
	case a.score > b.score:
		return true
	}
	return a.score == b.score && a.builtin < b.builtin
}

// pickByPolicy returns the fitting node with the highest policy score, or nil if none fits.
func (c *cycle) pickByPolicy(p *policy.Policy, u unit, task *state.Task) (*node, error) {
	if p == nil {
		return nil, errPolicyNotCompiled
	}
	step := u.spec()
	var best *scoredNode
	for _, n := range c.nodes {
		if !n.fits(step) {
			continue
		}
		c.policyScores++
		if c.policyScores > maxPolicyScores {
			return nil, errTooManyPolicyScores
		}
		score, err := p.Score(policyInputs(n, u, task))
		if err != nil {
			return nil, err
		}
		scored := &scoredNode{
			node:    n,
			score:   score,
			builtin: n.score(step.Demand, task.AvoidRunner, rowTightFitDivisor),
			avoided: n.runner.Name == task.AvoidRunner,
		}
		if best == nil || scored.betterThan(best) {
			best = scored
		}
	}
	if best == nil {
		return nil, nil
	}
	return best.node, nil
}

func policyInputs(n *node, u unit, task *state.Task) policy.Inputs {
	step := u.spec()
	inputs := policy.Inputs{
		FreeCores:       n.free.Cores,
		FreeMem:         n.free.Mem,
		Cores:           n.runner.Capacity.Cores,
		Mem:             n.runner.Capacity.Mem,
		Running:         int64(n.runner.OpenLeases()),
		RunnerSuccesses: n.runner.Successes,
		RunnerDefects:   n.runner.Defects,
		Labels:          map[string]bool{},
		Zone:            string(n.runner.Domain),
		Rack:            string(n.runner.Rack),
		NeedCores:       step.Demand.Cores,
		NeedMem:         step.Demand.Mem,
		Urgency:         u.job.Spec.Urgency,
		Defects:         task.Defects,
		Members:         int64(len(u.taskNumbers)),
	}
	for _, label := range n.runner.Labels {
		inputs.Labels[string(label)] = true
	}
	return inputs
}

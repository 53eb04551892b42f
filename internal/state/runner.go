package state

import (
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
)

// Runner is what the state keeps of one runner: its last report, the incarnations
// before the current one, and how its recent attempts ended.
type Runner struct {
	Name        identifier.Runner      `json:"name"`
	Incarnation identifier.Incarnation `json:"inc"`
	Capacity    job.Demand             `json:"cap"`
	Labels      []identifier.Label     `json:"labels,omitempty"`
	Domain      identifier.Domain      `json:"domain"`
	Rack        identifier.Rack        `json:"rack"`
	// Draining runners have announced that they leave at DepartsAt.
	Draining  bool              `json:"draining,omitempty"`
	DepartsAt clock.ClusterTime `json:"departsAt,omitempty"`
	// Gone runners were counted lost and have not reported since.
	Gone             bool                     `json:"gone,omitempty"`
	PastIncarnations []identifier.Incarnation `json:"past,omitempty"`
	// Successes and Defects count recent ends, see recordOutcome.
	Successes int64 `json:"good"`
	Defects   int64 `json:"bad"`
	// Pool is the pool of the catalogue that the runner serves, empty for none.
	Pool string `json:"pool,omitempty"`
	// AgentAddr is the address of the agent that speaks for the runner, if one does.
	AgentAddr string `json:"addr,omitempty"`

	used       job.Demand
	leases     map[identifier.LeaseID]*Lease
	cordonedBy string
}

const (
	// maxPastIncarnations is the number of earlier incarnations that are rejected.
	maxPastIncarnations = 16
	// maxOutcomes is the number of ends above which the counts are halved.
	maxOutcomes = 64
)

// Used is the demand of the runner's open leases, revoked ones included.
func (r *Runner) Used() job.Demand { return r.used }

// Free is the capacity less what open leases take. It is negative when the runner
// has reported a smaller capacity since.
func (r *Runner) Free() job.Demand { return r.Capacity.Minus(r.used) }

// CordonedBy is the id of the drain that cordons the runner, empty when none does.
func (r *Runner) CordonedBy() string { return r.cordonedBy }

// OpenLeases is the number of open leases, revoked ones included.
func (r *Runner) OpenLeases() int { return len(r.leases) }

// WasIncarnation tells whether the incarnation is an earlier one of this runner.
func (r *Runner) WasIncarnation(incarnation identifier.Incarnation) bool {
	return slices.Contains(r.PastIncarnations, incarnation)
}

// EachLease visits the runner's open leases, in no order.
func (r *Runner) EachLease(visit func(lease *Lease)) {
	for _, lease := range r.leases {
		visit(lease)
	}
}

// LeaseIDs lists the runner's open leases in ascending order.
func (r *Runner) LeaseIDs() []identifier.LeaseID {
	ids := make([]identifier.LeaseID, 0, len(r.leases))
	for id := range r.leases {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// resetDerived clears what rebuildIndexes derives.
func (r *Runner) resetDerived() {
	r.used = job.Demand{}
	r.leases = map[identifier.LeaseID]*Lease{}
	r.cordonedBy = ""
}

// update takes over a report of the current incarnation.
func (r *Runner) update(report *ReportRunner) {
	r.Capacity = report.Capacity
	r.Labels = report.Labels
	r.Domain = report.Domain
	r.Rack = report.Rack
	r.Draining = report.Draining
	r.DepartsAt = report.DepartsAt
	r.Pool = report.Pool
	r.AgentAddr = report.AgentAddr
	r.Gone = false
}

func (r *Runner) startIncarnation(incarnation identifier.Incarnation) {
	r.PastIncarnations = keepLast(append(r.PastIncarnations, r.Incarnation), maxPastIncarnations)
	r.Incarnation = incarnation
}

// recordOutcome counts the end of an attempt. Recent ends weigh more, since both
// counts are halved whenever their sum grows past maxOutcomes.
func (r *Runner) recordOutcome(success bool) {
	if success {
		r.Successes++
	} else {
		r.Defects++
	}
	if r.Successes+r.Defects > maxOutcomes {
		r.Successes /= 2
		r.Defects /= 2
	}
}

// keepLast returns the last elements of the list, at most limit of them.
func keepLast[T any](list []T, limit int) []T {
	return list[max(0, len(list)-limit):]
}

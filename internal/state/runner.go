package state

import (
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
)

// Runner is the state of one runner: its last report, its previous incarnations, and the
// outcomes of its recent attempts.
type Runner struct {
	Name        identifier.Runner      `json:"name"`
	Incarnation identifier.Incarnation `json:"inc"`
	Capacity    job.Demand             `json:"cap"`
	Labels      []identifier.Label     `json:"labels,omitempty"`
	Domain      identifier.Domain      `json:"domain"`
	Rack        identifier.Rack        `json:"rack"`
	// Draining is set once the runner has announced its departure at DepartsAt.
	Draining  bool              `json:"draining,omitempty"`
	DepartsAt clock.ClusterTime `json:"departsAt,omitempty"`
	// Gone is set once the runner was counted lost, until it reports again.
	Gone             bool                     `json:"gone,omitempty"`
	PastIncarnations []identifier.Incarnation `json:"past,omitempty"`
	// Successes and Defects count the outcomes of recent attempts, see recordOutcome.
	Successes int64 `json:"good"`
	Defects   int64 `json:"bad"`
	// Pool is the pool of the catalogue that the runner serves, or empty.
	Pool string `json:"pool,omitempty"`
	// AgentAddr is the address of the agent that acts for the runner, or empty.
	AgentAddr string `json:"addr,omitempty"`

	used       job.Demand
	leases     map[identifier.LeaseID]*Lease
	cordonedBy string
}

const (
	// maxPastIncarnations is the number of previous incarnations that are remembered and
	// rejected.
	maxPastIncarnations = 16
	// maxOutcomes is the total number of outcomes above which both counts are halved.
	maxOutcomes = 64
)

// Used returns the demand of the runner's open leases, including revoked ones.
func (r *Runner) Used() job.Demand { return r.used }

// Free returns the capacity minus the demand of the open leases. It is negative if the
// runner has since reported a smaller capacity.
func (r *Runner) Free() job.Demand { return r.Capacity.Minus(r.used) }

// CordonedBy returns the id of the drain that cordons the runner, or an empty string.
func (r *Runner) CordonedBy() string { return r.cordonedBy }

// OpenLeases returns the number of open leases, including revoked ones.
func (r *Runner) OpenLeases() int { return len(r.leases) }

// WasIncarnation reports whether the incarnation is a previous one of this runner.
func (r *Runner) WasIncarnation(incarnation identifier.Incarnation) bool {
	return slices.Contains(r.PastIncarnations, incarnation)
}

// EachLease visits the runner's open leases, in no particular order.
func (r *Runner) EachLease(visit func(lease *Lease)) {
	for _, lease := range r.leases {
		visit(lease)
	}
}

// LeaseIDs returns the ids of the runner's open leases in ascending order.
func (r *Runner) LeaseIDs() []identifier.LeaseID {
	ids := make([]identifier.LeaseID, 0, len(r.leases))
	for id := range r.leases {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// resetDerived clears the fields that rebuildIndexes derives.
func (r *Runner) resetDerived() {
	r.used = job.Demand{}
	r.leases = map[identifier.LeaseID]*Lease{}
	r.cordonedBy = ""
}

// update copies the properties from a report of the current incarnation.
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

// recordOutcome counts the outcome of an attempt. Recent outcomes weigh more, since both
// counts are halved whenever their sum exceeds maxOutcomes.
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

// A Runner is what the book knows of one back end: its last reported facts,
// the incarnations it has left behind, and its standing by defects.

package state

import (
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
)

// Runner is what the state holds of one runner: its last report, the
// incarnations it has left behind, and its recent successes and defects. Gone
// runners were counted lost and have not reported since. Depart is when the
// runner means to leave, in cluster time.
type Runner struct {
	Name             identifier.Runner        `json:"name"`
	Incarnation      identifier.Incarnation   `json:"inc"`
	Capacity         job.Demand               `json:"cap"`
	Labels           []identifier.Label       `json:"labels,omitempty"`
	Domain           identifier.Domain        `json:"domain"`
	Rack             identifier.Rack          `json:"rack"`
	Draining         bool                     `json:"draining,omitempty"`
	DepartsAt        clock.ClusterTime        `json:"departsAt,omitempty"`
	Gone             bool                     `json:"gone,omitempty"`
	PastIncarnations []identifier.Incarnation `json:"past,omitempty"`
	Successes        int64                    `json:"good"`
	Defects          int64                    `json:"bad"`
	Pool             string                   `json:"pool,omitempty"`
	// AgentAddr is where the agent that speaks for it listens, if one does.
	AgentAddr string `json:"addr,omitempty"`

	used       job.Demand
	leases     map[identifier.LeaseID]*Lease
	cordonedBy string
}

// Used is the room taken by the runner's open leases, revoked ones included.
func (r *Runner) Used() job.Demand { return r.used }

// Free is the capacity less what open leases take. It can be negative when the
// runner has reported a smaller capacity since.
func (r *Runner) Free() job.Demand { return r.Capacity.Minus(r.used) }

// CordonedBy is the id of the drain that cordons the runner, empty when none does.
func (r *Runner) CordonedBy() string { return r.cordonedBy }

// OpenLeases is the number of open leases, revoked ones included.
func (r *Runner) OpenLeases() int { return len(r.leases) }

// WasIncarnation tells whether inc is one this runner has left behind.
func (r *Runner) WasIncarnation(incarnation identifier.Incarnation) bool {
	for _, p := range r.PastIncarnations {
		if p == incarnation {
			return true
		}
	}
	return false
}

// resetDerived clears what rebuildIndexes derives.
func (r *Runner) resetDerived() {
	r.used = job.Demand{}
	r.leases = map[identifier.LeaseID]*Lease{}
	r.cordonedBy = ""
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

const maxPastIncarnations = 16

func (r *Runner) startIncarnation(incarnation identifier.Incarnation) {
	r.PastIncarnations = append(r.PastIncarnations, r.Incarnation)
	if len(r.PastIncarnations) > maxPastIncarnations {
		r.PastIncarnations = r.PastIncarnations[len(r.PastIncarnations)-maxPastIncarnations:]
	}
	r.Incarnation = incarnation
}

// mark keeps the standing: recent outcomes weigh more, since both tallies are
// halved whenever they grow past a bound.
func (r *Runner) recordOutcome(success bool) {
	if success {
		r.Successes++
	} else {
		r.Defects++
	}
	if r.Successes+r.Defects > 64 {
		r.Successes, r.Defects = r.Successes/2, r.Defects/2
	}
}

// A Runner is what the book knows of one back end: its last reported facts,
// the incarnations it has left behind, and its standing by defects.

package state

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
)

// Runner is what the state holds of one runner: its last report, the
// incarnations it has left behind, and its recent successes and defects. Gone
// runners were counted lost and have not reported since. Depart is when the
// runner means to leave, in cluster time.
type Runner struct {
	Name   identifier.Runner        `json:"name"`
	Inc    identifier.Incarnation   `json:"inc"`
	Cap    job.Demand               `json:"cap"`
	Labels []identifier.Label       `json:"labels,omitempty"`
	Domain identifier.Domain        `json:"domain"`
	Rack   identifier.Rack          `json:"rack"`
	Drain  bool                     `json:"draining,omitempty"`
	Depart clock.ClusterTime        `json:"departsAt,omitempty"`
	Gone   bool                     `json:"gone,omitempty"`
	Past   []identifier.Incarnation `json:"past,omitempty"`
	Good   int64                    `json:"good"`
	Bad    int64                    `json:"bad"`
	Pool   string                   `json:"pool,omitempty"`
	// Addr is where the agent that speaks for it listens, if one does.
	Addr string `json:"addr,omitempty"`

	used   job.Demand
	grants map[identifier.LeaseID]*Grant
	fence  string
}

// Used is the room taken by the runner's open leases, revoked ones included.
func (r *Runner) Used() job.Demand { return r.used }

// Free is the capacity less what open leases take. It can be negative when the
// runner has reported a smaller capacity since.
func (r *Runner) Free() job.Demand { return r.Cap.Minus(r.used) }

// Fence is the id of the drain that cordons the runner, empty when none does.
func (r *Runner) Fence() string { return r.fence }

// Open is the number of open leases, revoked ones included.
func (r *Runner) Open() int { return len(r.grants) }

// Was tells whether inc is one this runner has left behind.
func (r *Runner) Was(inc identifier.Incarnation) bool {
	for _, p := range r.Past {
		if p == inc {
			return true
		}
	}
	return false
}

const incKept = 16

func (r *Runner) renew(inc identifier.Incarnation) {
	r.Past = append(r.Past, r.Inc)
	if len(r.Past) > incKept {
		r.Past = r.Past[len(r.Past)-incKept:]
	}
	r.Inc = inc
}

// mark keeps the standing: recent outcomes weigh more, since both tallies are
// halved whenever they grow past a bound.
func (r *Runner) mark(good bool) {
	if good {
		r.Good++
	} else {
		r.Bad++
	}
	if r.Good+r.Bad > 64 {
		r.Good, r.Bad = r.Good/2, r.Bad/2
	}
}

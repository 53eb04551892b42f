package state

import (
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
)

// Stage is a stage of the drain of a domain or rack. The stages up to Closed are those of
// "Making Facebook Self-Healing: Automating Proactive Rack Maintenance" (Facebook
// Engineering, 2016); the later ones undo them.
type Stage string

const (
	// Preflight records which tasks the drain displaces and whether they fit elsewhere.
	// The scope is already cordoned.
	Preflight Stage = "preflight"
	// Predrain follows the preflight check; the scope is cordoned, and no lease is
	// revoked yet.
	Predrain Stage = "predrain"
	// Cordon revokes the leases in scope, those of each runner once they are due (see
	// StopDue).
	Cordon Stage = "cordon"
	// Postdrain waits for runners to confirm the stops, up to a bounded time.
	Postdrain Stage = "postdrain"
	// Closed is the final stage of draining; the scope stays cordoned.
	Closed Stage = "closed"
	// Preopen is the first stage of reopening; the scope is still cordoned.
	Preopen Stage = "preopen"
	// Opening lifts the cordon and releases the tasks that were suspended until the end
	// of the drain.
	Opening Stage = "opening"
	// Postopen follows once the cordon is lifted and the tasks are released.
	Postopen Stage = "postopen"
	// Open is the final stage of reopening.
	Open Stage = "open"
)

// Cordons reports whether the scope is cordoned in this stage.
func (s Stage) Cordons() bool {
	switch s {
	case Preflight, Predrain, Cordon, Postdrain, Closed, Preopen:
		return true
	}
	return false
}

// Reopening reports whether the drain is being undone or has been undone.
func (s Stage) Reopening() bool {
	switch s {
	case Preopen, Opening, Postopen, Open:
		return true
	}
	return false
}

// StageEntry records when a stage was entered.
type StageEntry struct {
	Stage Stage             `json:"stage"`
	At    clock.ClusterTime `json:"at"`
}

// Kinds of drain.
const (
	// KindDomain is a drain of a failure domain, requested by an operator.
	KindDomain = "domain"
	// KindRack is a drain that starts when runners of a rack announce their departure.
	KindRack = "rack"
)

// Drain is one drain of a failure domain or a rack, from its start until the scope is
// open again.
type Drain struct {
	ID        string            `json:"id"`
	Kind      string            `json:"kind"`
	Domain    identifier.Domain `json:"domain"`
	Rack      identifier.Rack   `json:"rack,omitempty"`
	Stage     Stage             `json:"stage"`
	StartedAt clock.ClusterTime `json:"at"`
	// Scope lists the affected runners in ascending order.
	Scope []identifier.Runner `json:"scope"`
	// PreflightDone is set once Fits, Shortage, Displaced and DisplacedGangs are known.
	PreflightDone bool `json:"judged"`
	// Fits reports whether the displaced tasks fit on runners that are not cordoned;
	// Shortage is the demand of those that do not fit.
	Fits           bool                 `json:"fits"`
	Shortage       job.Demand           `json:"short"`
	Displaced      []identifier.TaskRef `json:"displaced,omitempty"`
	DisplacedGangs int                  `json:"gangs"`
	// Verdict is the outcome of the post-drain check, for operators.
	Verdict string `json:"verdict,omitempty"`
	// UnconfirmedStops is the number of revoked leases whose end had not been confirmed
	// by the time of the post-drain check.
	UnconfirmedStops int `json:"loose"`
	// History lists the stages entered most recently, at most maxStageHistory.
	History []StageEntry `json:"marks"`
}

const maxStageHistory = 64

func (d *Drain) enterStage(stage Stage, now clock.ClusterTime) {
	d.Stage = stage
	d.History = keepLast(append(d.History, StageEntry{Stage: stage, At: now}), maxStageHistory)
}

func (d *Drain) inScope(name identifier.Runner) bool { return slices.Contains(d.Scope, name) }

package state

import (
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
)

// Stage is how far a drain of a domain or rack has come. The stages up to Closed are
// those of "Making Facebook Self-Healing: Automating Proactive Rack Maintenance"
// (Facebook Engineering, 2016); the ones after it undo them.
type Stage string

const (
	// Preflight records what the drain displaces and whether it fits elsewhere. The
	// scope is cordoned already.
	Preflight Stage = "preflight"
	// Predrain follows the preflight check; the scope is cordoned, and nothing is
	// revoked yet.
	Predrain Stage = "predrain"
	// Cordon revokes the leases in scope, each runner's when its time has come.
	Cordon Stage = "cordon"
	// Postdrain waits for runners to confirm the stops, up to a bounded time.
	Postdrain Stage = "postdrain"
	// Closed is the end of the drain; the scope stays cordoned.
	Closed Stage = "closed"
	// Preopen is the first stage of reopening; the scope is still cordoned.
	Preopen Stage = "preopen"
	// Opening lifts the cordon and releases tasks that waited for the end of the
	// drain.
	Opening Stage = "opening"
	// Postopen follows once the cordon is lifted and the tasks are released.
	Postopen Stage = "postopen"
	// Open is the end of the operation.
	Open Stage = "open"
)

// Cordons tells whether the scope is cordoned in this stage.
func (s Stage) Cordons() bool {
	switch s {
	case Preflight, Predrain, Cordon, Postdrain, Closed, Preopen:
		return true
	}
	return false
}

// Reopening tells whether the drain is on its way to being undone, or undone.
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

// The kinds of drain.
const (
	// KindDomain is a drain that an operator ordered for a failure domain.
	KindDomain = "domain"
	// KindRack is a drain that follows from runners of a rack announcing that they
	// leave.
	KindRack = "rack"
)

// Drain is one drain of a failure domain or a rack, from its start until it is open
// again.
type Drain struct {
	ID        string            `json:"id"`
	Kind      string            `json:"kind"`
	Domain    identifier.Domain `json:"domain"`
	Rack      identifier.Rack   `json:"rack,omitempty"`
	Stage     Stage             `json:"stage"`
	StartedAt clock.ClusterTime `json:"at"`
	// Scope is the runners concerned, in ascending order.
	Scope []identifier.Runner `json:"scope"`
	// PreflightDone says that Fits, Shortage, Displaced and DisplacedGangs are known.
	PreflightDone bool `json:"judged"`
	// Fits tells whether the displaced tasks fit on runners that are not cordoned;
	// Shortage is the demand of those that don't.
	Fits           bool                 `json:"fits"`
	Shortage       job.Demand           `json:"short"`
	Displaced      []identifier.TaskRef `json:"displaced,omitempty"`
	DisplacedGangs int                  `json:"gangs"`
	// Verdict is the outcome of the post-drain check, for operators.
	Verdict string `json:"verdict,omitempty"`
	// UnconfirmedStops is the number of revoked leases whose end no runner had
	// confirmed at the post-drain check.
	UnconfirmedStops int `json:"loose"`
	// History has the last stages entered, at most maxStageHistory of them.
	History []StageEntry `json:"marks"`
}

const maxStageHistory = 64

func (d *Drain) enterStage(stage Stage, now clock.ClusterTime) {
	d.Stage = stage
	d.History = keepLast(append(d.History, StageEntry{Stage: stage, At: now}), maxStageHistory)
}

func (d *Drain) inScope(name identifier.Runner) bool { return slices.Contains(d.Scope, name) }

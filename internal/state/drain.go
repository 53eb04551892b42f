// A Closing is one maintenance operation, the paper's handler: preflight,
// pre-drain, cordon, post-drain, and their mirror. Each stage is committed, so
// whoever holds the duty next goes on from where the last owner stopped.

package state

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
)

// Stage is how far a drain of a zone or rack has come.
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

// Cordons tells whether the stage keeps the fence up.
func (s Stage) Cordons() bool {
	switch s {
	case Preflight, Predrain, Cordon, Postdrain, Closed, Preopen:
		return true
	}
	return false
}

// Reopening tells whether the stage is part of the mirror.
func (s Stage) Reopening() bool {
	switch s {
	case Preopen, Opening, Postopen, Open:
		return true
	}
	return false
}

// StageEntry notes when a stage was entered.
type StageEntry struct {
	Stage Stage             `json:"stage"`
	At    clock.ClusterTime `json:"at"`
}

// Drain is one drain of a zone or a rack, from its start until it is open
// again. Scope is the set of runners it concerns. Judged says that Fits, Short
// and Displaced are known: Fits tells whether the displaced work has room
// elsewhere, and Short what is missing. Loose counts the stops that no runner
// has confirmed, and Verdict is the outcome for operators.
type Drain struct {
	ID               string               `json:"id"`
	Kind             string               `json:"kind"`
	Domain           identifier.Domain    `json:"domain"`
	Rack             identifier.Rack      `json:"rack,omitempty"`
	Stage            Stage                `json:"stage"`
	StartedAt        clock.ClusterTime    `json:"at"`
	Scope            []identifier.Runner  `json:"scope"`
	PreflightDone    bool                 `json:"judged"`
	Fits             bool                 `json:"fits"`
	Shortage         job.Demand           `json:"short"`
	Displaced        []identifier.TaskRef `json:"displaced,omitempty"`
	DisplacedGangs   int                  `json:"gangs"`
	Verdict          string               `json:"verdict,omitempty"`
	UnconfirmedStops int                  `json:"loose"`
	History          []StageEntry         `json:"marks"`
}

const (
	// KindDomain is a drain that an operator ordered for a zone.
	KindDomain = "domain"
	// KindRack is a drain that follows from runners of a rack reporting that
	// they leave.
	KindRack        = "rack"
	maxStageHistory = 64
)

func (d *Drain) enterStage(stage Stage, now clock.ClusterTime) {
	d.Stage = stage
	d.History = append(d.History, StageEntry{stage, now})
	if len(d.History) > maxStageHistory {
		d.History = d.History[len(d.History)-maxStageHistory:]
	}
}

func (d *Drain) inScope(name identifier.Runner) bool {
	for _, member := range d.Scope {
		if member == name {
			return true
		}
	}
	return false
}

package scheduler

import (
	"fmt"

	"orchidward/internal/api/identifier"
)

// Reasons holds, by job and step, user-facing explanations of why tasks are pending.
type Reasons map[identifier.JobKey]map[int]string

// maxReasons bounds the number of jobs for which a plan holds reasons.
const maxReasons = 500

// The reasons why a unit of work is pending.
const (
	reasonNoEligibleRunner = "no runner in reach has what it needs"
	reasonTooLarge         = "larger than the runners in reach could hold"
	reasonWaits            = "waits for room"
	reasonWaitsReserved    = "waits for room, which is being kept for it"
	reasonHeadroom         = "waits for room beyond what more urgent work has lately needed"
	reasonQuota            = "waits for its tenant to use less than its quota"
	reasonDeferred         = "will be done sooner by waiting for a better runner"
)

func reasonNoLabels(labels []identifier.Label) string {
	return fmt.Sprintf("no runner in reach has labels %v", labels)
}

func reasonRowLimit(row identifier.Row) string {
	return "row " + string(row) + " is at its limit of room in use"
}

// add records why a step is pending, unless there are already too many reasons.
func (r Reasons) add(u unit, reason string) {
	if len(r) >= maxReasons {
		return
	}
	steps := r[u.job.Key]
	if steps == nil {
		steps = map[int]string{}
		r[u.job.Key] = steps
	}
	steps[u.step] = reason
}

package main

import (
	"fmt"
	"slices"
	"strings"

	"orchidward/internal/api/runnerapi"
	"orchidward/internal/invariants"
	"orchidward/internal/runner"
)

// Verdicts. Too little evidence is a separate verdict, and it does not count as success.
const (
	kept                 = "kept"
	broken               = "BROKEN"
	insufficientEvidence = "too little evidence"
)

// The least evidence that a verdict needs, and the longest gap in service that is allowed.
const (
	minStarts   = 20
	minAccepted = 20
	minReads    = 20
	minRequests = 50
	minDrainMs  = 5000
	maxGapMs    = 12000
)

// verdict is the outcome for one promise, with the figures that it is based on.
type verdict struct {
	Promise string `json:"promise"`
	Verdict string `json:"verdict"`
	What    string `json:"what"`
	Figures string `json:"figures"`
}

func allKept(verdicts []verdict) bool {
	for _, v := range verdicts {
		if v.Verdict != kept {
			return false
		}
	}
	return true
}

// verdicts returns the verdict of every promise, in the order of their numbers.
func (d *drill) verdicts() []verdict {
	if d.service.longestGap > maxGapMs {
		d.checker.Violate(invariants.ServiceAvailable, "no answer for %d ms", d.service.longestGap)
	}
	if d.responses.broken > 0 {
		d.checker.Violate(invariants.AnswersComplete, "%d answers broke off", d.responses.broken)
	}
	verdicts := append(d.startVerdicts(), d.jobVerdicts()...)
	return append(verdicts, d.serviceVerdicts()...)
}

// startVerdicts returns the verdicts on when and where tasks start.
func (d *drill) startVerdicts() []verdict {
	counts := d.checker.Counts
	starts := counts[invariants.EventCount(runner.EventStart)]
	calledBack := counts[invariants.EventCount(runnerapi.OutcomeStopped)] + counts[invariants.EventCount(runnerapi.OutcomeLeaseLapsed)]
	enough := starts > minStarts
	drained := d.flags.kills() || d.outage.duration() > minDrainMs
	return []verdict{
		d.verdictOf(invariants.NoStartInDrainedDomain, "no start in a closed zone 5 s after the acknowledgement", drained && enough,
			"starts %d, zone out for %d ms", starts, d.outage.duration()),
		d.verdictOf(invariants.RunsOnce, "no task runs twice at once, or again after its end was told", enough,
			"starts %d, called back %d, reruns no scheduler can decide %d", starts, calledBack, counts[invariants.CountUndecidedRerun]),
		d.verdictOf(invariants.StartsInOrder, "no start before the steps it depends on", enough,
			"starts %d, ends unread on lost runners %d", starts, counts[invariants.CountUnseenEnds]),
		d.verdictOf(invariants.DefectsBounded, "no start after the allowed defects", enough,
			"defects %d", counts[invariants.EventCount(runnerapi.OutcomeDefect)]),
		d.verdictOf(invariants.CancelStopsWork, "no start 3 s after a cancel, running work gone at once", d.ended(invariants.JobCancelled) > 0,
			"cancelled %d", d.ended(invariants.JobCancelled)),
		d.verdictOf(invariants.PlacementFits, "no start without the label or past the room", enough,
			"starts %d", starts),
		d.verdictOf(invariants.GangRunsTogether, "no gang runs in part", enough,
			"gang parts over the limit: %d", counts[invariants.ViolationCount(invariants.GangRunsTogether)]),
	}
}

func (d *drill) jobVerdicts() []verdict {
	accepted := d.checker.Counts[invariants.CountAcked]
	stuck := d.checker.Counts[invariants.CountStuck]
	return []verdict{
		d.verdictOf(invariants.JobStateIsTrue, "accepted jobs are known everywhere and end truly", accepted > minAccepted && stuck == 0,
			"accepted %d, well %d, failed %d, cancelled %d, not ended %d",
			accepted, d.ended(invariants.JobSucceeded), d.ended(invariants.JobFailed), d.ended(invariants.JobCancelled), stuck),
	}
}

func (d *drill) serviceVerdicts() []verdict {
	return []verdict{
		d.verdictOf(invariants.LimitsTableNeverGoesBack, "the table's epoch never goes back", d.service.reads > minReads,
			"reads %d", d.service.reads),
		d.verdictOf(invariants.ServiceAvailable, "service is back within 12 s", d.service.reads > minReads,
			"longest time without an answer %d ms", d.service.longestGap),
		d.verdictOf(invariants.AnswersComplete, "no answer breaks off half-way", d.responses.sent > minRequests,
			"requests %d, to be asked again %d, half answers %d", d.responses.sent, d.responses.retried, d.responses.broken),
	}
}

// ended returns the number of jobs that ended in the given state.
func (d *drill) ended(state string) int { return d.checker.Counts[invariants.EndedCount(state)] }

// verdictOf returns the verdict of one promise. A violation counts regardless of the evidence.
func (d *drill) verdictOf(promise, what string, enough bool, figures string, args ...any) verdict {
	v := verdict{Promise: promise, Verdict: kept, What: what, Figures: fmt.Sprintf(figures, args...)}
	if !enough {
		v.Verdict = insufficientEvidence
	}
	violation := slices.IndexFunc(d.checker.Violations, func(line string) bool {
		return strings.HasPrefix(line, promise+" ")
	})
	if violation >= 0 {
		v.Verdict = broken
		v.Figures += "; " + d.checker.Violations[violation]
	}
	return v
}

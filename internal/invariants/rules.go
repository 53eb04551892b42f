package invariants

// Invariants, named after the rows of docs/promises.md.
const (
	// NoStartOnLeavingRunner: no task starts on a runner whose announced departure the
	// control plane knows of.
	NoStartOnLeavingRunner = "P1"
	// NoStartInDrainedDomain: no task starts in a failure domain once its drain is
	// acknowledged.
	NoStartInDrainedDomain = "P2"
	// RunsOnce: no task runs more than once at the same time, or again after it
	// succeeded.
	RunsOnce = "P3"
	// StartsInOrder: no task starts before the steps it depends on have succeeded,
	// or before its start time.
	StartsInOrder = "P4"
	// DefectsBounded: no task starts once its allowed defects are used up.
	DefectsBounded = "P5"
	// CancelStopsWork: no task of a cancelled job starts or keeps running.
	CancelStopsWork = "P6"
	// PlacementFits: no task runs on a runner that lacks a label or has too little
	// capacity.
	PlacementFits = "P7"
	// GangRunsTogether: the members of a gang run together or not at all.
	GangRunsTogether = "P8"
	// JobStateIsTrue: an accepted job is known, and its reported state is accurate.
	JobStateIsTrue = "P9"
	// LimitsTableNeverGoesBack: an acknowledged change of the limits table stays in
	// effect, and a rejected one never takes effect.
	LimitsTableNeverGoesBack = "P10"
	// ServiceAvailable: the cluster serves requests whenever a majority of its servers
	// can.
	ServiceAvailable = "P11"
	// AnswersComplete: no response is truncated.
	AnswersComplete = "P12"

	// knownJob: no task starts that belongs to a job no client submitted.
	knownJob = "unknown"
	// everyJobEnds: every accepted job ends.
	everyJobEnds = "stuck"
	// everyJobAccepted: every submitted job is eventually accepted.
	everyJobAccepted = "silent"
)

// Tolerances in milliseconds: how long a state that an invariant rules out may last
// before it counts as a violation.
const (
	// MaxCancelledRun is how long a cancelled task may keep running under any faults: an
	// unreachable runner stops it by its own clock when its lease of 10 s lapses, with 2%
	// of clock drift, plus the time between two sweeps.
	MaxCancelledRun = 10300
	// MaxIncompleteGang is how long a gang may run incomplete under any faults: seven
	// tenths of a lease after a member last received confirmation that the others run,
	// plus one and a half poll intervals by which that confirmation may have been late,
	// plus the time between two sweeps.
	MaxIncompleteGang = 8700

	// startInFlight is how long a start ordered earlier may still be in flight.
	startInFlight = 1600
	// startTimeTolerance is the error that the servers' clocks may have in common.
	startTimeTolerance = 1000
	// runnerReachableFor is how long a runner counts as reachable after its last answered
	// poll: its lease cannot have lapsed within that time.
	runnerReachableFor = 10000

	maxStartAfterCancel  = 3000
	maxStartAfterLeaving = 2000
	maxStartAfterDrain   = 5000

	// While the cluster is quiet, a cancelled task must have stopped after
	// quietCancelledRun. A task cancelled more than quietCancelledRunEnd ago may have
	// been cancelled before the cluster was quiet.
	quietCancelledRun    = 1000
	quietCancelledRunEnd = 1500
	// maxIncompleteGangUndisturbed is MaxIncompleteGang in a run without faults.
	maxIncompleteGangUndisturbed = 4500
	// endedJobSweepPeriod is how long after its cancel an ended job is still checked by
	// Sweep.
	endedJobSweepPeriod = 2000
)

// Keys of Checker.Counts.
const (
	// CountAcked counts jobs that were accepted.
	CountAcked = "acked"
	// CountDrained counts drains that were acknowledged.
	CountDrained = "closed"
	// CountLeaving counts runners whose announced departure became known to the control
	// plane.
	CountLeaving = "leaving"
	// CountStuck counts accepted jobs that did not end.
	CountStuck = "stuck"
	// CountUndecidedRerun counts reruns that no scheduler can avoid: those of tasks that
	// succeeded on a runner which was lost before it could report the success.
	CountUndecidedRerun = "undecided rerun"
	// CountUnseenEnds counts the checks that were skipped because the event log of a
	// runner was lost.
	CountUnseenEnds = "unseen ends"

	eventPrefix     = "event "
	endedPrefix     = "ended "
	violationPrefix = "breach "
)

// EventCount returns the key in Checker.Counts for a kind of runner event.
func EventCount(kind string) string { return eventPrefix + kind }

// EndedCount returns the key in Checker.Counts for the jobs that ended in a state.
func EndedCount(state string) string { return endedPrefix + state }

// ViolationCount returns the key in Checker.Counts for the violations of an invariant.
func ViolationCount(invariant string) string { return violationPrefix + invariant }

// Keys of Checker.Spans.
const (
	// SpanAdmissionToStart is the time from the acceptance of a job to its first start.
	SpanAdmissionToStart = "admission to start"
	// SpanCancelToStop is the time from the acknowledgement of a cancel to the stop of a
	// task, while the cluster is quiet.
	SpanCancelToStop = "cancel to gone"
	// SpanIncompleteGang is how long a gang ran incomplete.
	SpanIncompleteGang = "gang in part"
	// SpanStartAfterCancel, SpanStartAfterLeaving and SpanStartAfterDrain are the times
	// from the acknowledgement of a cancel, departure or drain to a start that happened
	// nevertheless.
	SpanStartAfterCancel  = "start after cancel"
	SpanStartAfterLeaving = "start after leaving"
	SpanStartAfterDrain   = "start after closing"

	spanCancelledRun = "cancelled lives on"
)

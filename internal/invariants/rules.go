package invariants

// Invariants, by the names of the rows of docs/promises.md.
const (
	// NoStartOnLeavingRunner: no task starts on a runner that is known to leave.
	NoStartOnLeavingRunner = "P1"
	// NoStartInDrainedDomain: no task starts in a failure domain once its drain is
	// acknowledged.
	NoStartInDrainedDomain = "P2"
	// RunsOnce: no task runs twice at once, or again after it succeeded.
	RunsOnce = "P3"
	// StartsInOrder: no task starts before the steps it depends on have succeeded,
	// or before its start time.
	StartsInOrder = "P4"
	// DefectsBounded: no task starts once its allowed defects are used up.
	DefectsBounded = "P5"
	// CancelStopsWork: no task of a cancelled job starts, or runs on.
	CancelStopsWork = "P6"
	// PlacementFits: no task runs on a runner that lacks a label or the capacity.
	PlacementFits = "P7"
	// GangRunsTogether: the members of a gang run together or not at all.
	GangRunsTogether = "P8"
	// JobStateIsTrue: an accepted job is known, and its reported state is true.
	JobStateIsTrue = "P9"
	// LimitsTableNeverGoesBack: an acknowledged change of the limits table stays in
	// effect, a rejected one never takes effect.
	LimitsTableNeverGoesBack = "P10"
	// ServiceAvailable: whenever a majority of servers can serve, the cluster does.
	ServiceAvailable = "P11"
	// AnswersComplete: no answer breaks off half-way.
	AnswersComplete = "P12"

	// knownJob: no task of a job starts that no client submitted.
	knownJob = "unknown"
	// everyJobEnds: an accepted job ends.
	everyJobEnds = "stuck"
	// everyJobAccepted: a submitted job is accepted in the end.
	everyJobAccepted = "silent"
)

// Limits in milliseconds: what may still happen, and for how long.
const (
	// MaxCancelledRun is how long a cancelled task may run on whatever else fails: a
	// runner out of reach ends it by its own clock when its lease of 10 s lapses, at 2%
	// of drift and within the time between two sweeps.
	MaxCancelledRun = 10300
	// MaxIncompleteGang is how long a gang may run incomplete whatever else fails:
	// seven tenths of a lease since a member last heard that the others run, a poll
	// and a half by which that may have been late, and the time between two sweeps.
	MaxIncompleteGang = 8700

	// startInFlight is how long a start that was ordered before may still arrive.
	startInFlight = 1600
	// startTimeTolerance is how far the servers' clocks may agree to be wrong.
	startTimeTolerance = 1000
	// runnerReachableFor is how long after its last answered poll a runner is in
	// touch: its lease cannot have lapsed.
	runnerReachableFor = 10000

	maxStartAfterCancel  = 3000
	maxStartAfterLeaving = 2000
	maxStartAfterDrain   = 5000

	// While all has been well a cancelled task must have stopped after
	// quietCancelledRun. A task cancelled longer ago than quietCancelledRunEnd may
	// have been cancelled when all was not well.
	quietCancelledRun    = 1000
	quietCancelledRunEnd = 1500
	// maxIncompleteGangUndisturbed is MaxIncompleteGang in a run without faults.
	maxIncompleteGangUndisturbed = 4500
	// endedJobSweepPeriod is how long after its cancel an ended job is still swept.
	endedJobSweepPeriod = 2000
)

// Keys of Checker.Counts.
const (
	// CountAcked counts jobs that were accepted.
	CountAcked = "acked"
	// CountDrained counts drains that were acknowledged.
	CountDrained = "closed"
	// CountLeaving counts runners that were known to leave.
	CountLeaving = "leaving"
	// CountStuck counts accepted jobs that did not end.
	CountStuck = "stuck"
	// CountUndecidedRerun counts reruns that no scheduler can avoid: of tasks that
	// succeeded on a runner which was lost before it could report it.
	CountUndecidedRerun = "undecided rerun"
	// CountUnseenEnds counts what could not be judged, since the event log of a
	// runner was lost.
	CountUnseenEnds = "unseen ends"

	eventPrefix     = "event "
	endedPrefix     = "ended "
	violationPrefix = "breach "
)

// EventCount is the key in Checker.Counts of a kind of runner event.
func EventCount(kind string) string { return eventPrefix + kind }

// EndedCount is the key in Checker.Counts of the jobs that ended in a state.
func EndedCount(state string) string { return endedPrefix + state }

// ViolationCount is the key in Checker.Counts of the violations of an invariant.
func ViolationCount(invariant string) string { return violationPrefix + invariant }

// Keys of Checker.Spans.
const (
	// SpanAdmissionToStart is from the acceptance of a job to its first start.
	SpanAdmissionToStart = "admission to start"
	// SpanCancelToStop is from the acknowledgement of a cancel to the stop of a task,
	// while all has been well.
	SpanCancelToStop = "cancel to gone"
	// SpanIncompleteGang is how long a gang ran incomplete.
	SpanIncompleteGang = "gang in part"
	// SpanStartAfterCancel, SpanStartAfterLeaving and SpanStartAfterDrain are from the
	// acknowledgement of each to a start that came nevertheless.
	SpanStartAfterCancel  = "start after cancel"
	SpanStartAfterLeaving = "start after leaving"
	SpanStartAfterDrain   = "start after closing"

	spanCancelledRun = "cancelled lives on"
)

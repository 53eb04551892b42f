package state

// TaskState is the state of a task, and of a job that has ended.
type TaskState string

const (
	// Waiting tasks have no lease and may be placed once their step is ready.
	Waiting TaskState = "waiting"
	// Placed tasks have an open lease on a runner.
	Placed TaskState = "placed"
	// AwaitingRunner tasks lost their runner and wait for it to answer again, as
	// configured by their row's onLoss cell.
	AwaitingRunner TaskState = "held"
	// Suspended tasks wait until the drain that displaced them is over, as configured by
	// their row's onOutage cell.
	Suspended TaskState = "riding"
	// Succeeded tasks have ended with success.
	Succeeded TaskState = "well"
	// Failed tasks have used up their allowed defects.
	Failed TaskState = "failed"
	// Cancelled tasks belong to a job that was cancelled or has failed.
	Cancelled TaskState = "cancelled"
)

// Ended reports whether the state is final.
func (s TaskState) Ended() bool { return s == Succeeded || s == Failed || s == Cancelled }

// Unplaced reports whether a task in this state counts as waiting against its row's
// limit.
func (s TaskState) Unplaced() bool { return s == Waiting || s == AwaitingRunner || s == Suspended }

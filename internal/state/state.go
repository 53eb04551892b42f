// The states of a task.

package state

// State is where a task stands.
type State string

const (
	// Waiting tasks have no lease and may be placed once their step is ready.
	Waiting State = "waiting"
	// Placed tasks have an open lease on a runner.
	Placed State = "placed"
	// Held tasks lost their runner and wait for it to answer again, as their
	// row's onLoss cell says.
	Held State = "held"
	// Riding tasks wait until the drain that displaced them is over, as their
	// row's onOutage cell says.
	Riding State = "riding"
	// Well tasks have ended with success.
	Well State = "well"
	// Failed tasks have used up their allowed defects.
	Failed State = "failed"
	// Cancelled tasks belong to a job that was cancelled or has failed.
	Cancelled State = "cancelled"
)

// Ended tells whether the state is final.
func (s State) Ended() bool { return s == Well || s == Failed || s == Cancelled }

// Unplaced are the states that count as waiting in the row's limit.
func (s State) Unplaced() bool { return s == Waiting || s == Held || s == Riding }

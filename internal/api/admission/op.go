// Package admission compiles the table into short programs and runs them: the way
// of a job through a gate, and again through the leader where counts decide.
package admission

import "orchidward/internal/api/identifier"

// Op says what an instruction checks.
type Op uint8

const (
	// Cap fails unless the field is at most the limit.
	Cap Op = iota
	// Only fails unless every label asked for is in the set.
	Only
	// Room fails unless row use and the new tasks stay within the limit; it
	// needs the leader's counts and is passed over at a gate.
	Room
	// Pass ends the program well.
	Pass
)

// Field is the number of a job that Cap compares with its limit.
type Field uint8

const (
	// Tasks is the number of tasks in the job.
	Tasks Field = iota
	// Cores is the most whole cores that one task asks for.
	Cores
	// Mem is the most memory that one task asks for, in mebibytes.
	Mem
	// Urgency is the urgency of the job.
	Urgency
)

// Line is one instruction.
type Line struct {
	Op    Op
	Field Field
	Limit int64
	Set   map[identifier.Label]bool
	Path  string
	Why   string
}

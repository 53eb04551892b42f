package state

import (
	"net/http"

	"orchidward/internal/clock"
)

// Result is the outcome of a command, for its sender. Commands that the leader issues
// itself have the zero Result.
type Result struct {
	// Status is an HTTP status.
	Status int
	// Code is the machine-readable reason for a rejection.
	Code string
	// Message is the human-readable reason for a rejection.
	Message string
	// Body is a document to be encoded as JSON, or nil.
	Body any
	// RetryAfter is the time to wait before sending a rejected command again, in
	// milliseconds; 0 if a retry would not succeed.
	RetryAfter clock.Millis
}

// OK reports whether the command was accepted.
func (r Result) OK() bool { return r.Status < http.StatusMultipleChoices }

// Codes of rejections.
const (
	codeBusy            = "busy"
	codeDrainIDTaken    = "id-taken"
	codeIDsFull         = "ids-full"
	codeInvalid         = "invalid"
	codeInvalidID       = "bad-id"
	codeJustCancelled   = "just-cancelled"
	codeNoCatalog       = "no-catalog"
	codeNoDomain        = "no-domain"
	codeNoDrain         = "no-closing"
	codeNoJob           = "no-job"
	codeNoQueue         = "no-queue"
	codeUnauthenticated = "unauthenticated"
	codeNoRow           = "no-row"
	codeOldIncarnation  = "old-incarnation"
	codeOtherContent    = "other-content"
	codeOutcomeUnknown  = "outcome-unknown"
	codeOverLimit       = "over-limit"
	codeQueueFull       = "queue-full"
	codeRowFull         = "row-full"
	codeRowInUse        = "row-in-use"
	codeRunnersDraining = "runners-leaving"
	codeRunnersFull     = "runners-full"
	codeStaleBase       = "stale-base"
	codeTooManyRows     = "too-many-rows"
)

// Times to wait after a rejection, by the event that must happen first.
const (
	retryAfterShortly clock.Millis = 1_000
	retryAfterPlacing clock.Millis = 2_000
	retryAfterExpiry  clock.Millis = 60_000
)

func rejected(status int, code, message string) Result {
	return Result{Status: status, Code: code, Message: message}
}

func rejectedWithBody(status int, code, message string, body any) Result {
	return Result{Status: status, Code: code, Message: message, Body: body}
}

func retryLater(status int, code, message string, after clock.Millis) Result {
	return Result{Status: status, Code: code, Message: message, RetryAfter: after}
}

func accepted(status int, body any) Result {
	return Result{Status: status, Body: body}
}

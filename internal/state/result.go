package state

import (
	"net/http"

	"orchidward/internal/clock"
)

// Result is the outcome of a command, for whoever sent it. Commands of the leader
// itself have the zero Result.
type Result struct {
	// Status is an HTTP status.
	Status int
	// Code names the reason of a rejection in one word, for programs.
	Code string
	// Message names the reason of a rejection, for people.
	Message string
	// Body is a document to be encoded as JSON, nil for none.
	Body any
	// RetryAfter is how long to wait before sending a rejected command again, in
	// milliseconds; 0 when that is of no use.
	RetryAfter clock.Millis
}

// OK tells whether the command was accepted.
func (r Result) OK() bool { return r.Status < http.StatusMultipleChoices }

// The codes of rejections.
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

// How long to wait after a rejection, by what has to happen first.
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

package inflight

import (
	"net/http"

	"orchidward/internal/clock"
	"orchidward/internal/gateway"
)

// The codes of responses that no leader gave.
const (
	codeOverloaded     = "busy"
	codeStalled        = "woken"
	codeNoLeader       = "no-leader"
	codeOutcomeUnknown = "no-answer"
)

// After how many milliseconds a caller should try again.
const (
	overloadedRetryAfter     clock.Millis = 1000
	noLeaderRetryAfter       clock.Millis = 500
	outcomeUnknownRetryAfter clock.Millis = 500
)

// Overloaded is the response of a server that can take no more requests.
func Overloaded() gateway.Response {
	return gateway.ErrorResponse(http.StatusServiceUnavailable, codeOverloaded, "this server is full", overloadedRetryAfter)
}

func stalled() gateway.Response {
	return gateway.ErrorResponse(http.StatusServiceUnavailable, codeStalled, "this server stood still and can't tell how old the request is", retryInterval)
}

func waitedTooLong() gateway.Response {
	return gateway.ErrorResponse(http.StatusServiceUnavailable, codeOverloaded, "the request waited here for longer than its caller does", overloadedRetryAfter)
}

func noLeader() gateway.Response {
	return gateway.ErrorResponse(http.StatusServiceUnavailable, codeNoLeader, "no leader is known here", noLeaderRetryAfter)
}

func outcomeUnknown() gateway.Response {
	return gateway.ErrorResponse(http.StatusGatewayTimeout, codeOutcomeUnknown,
		"the leader did not answer in time; the outcome is not known", outcomeUnknownRetryAfter)
}

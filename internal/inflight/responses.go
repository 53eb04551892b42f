package inflight

import (
	"net/http"

	"orchidward/internal/clock"
	"orchidward/internal/gateway"
)

// Error codes of the responses that the server gives without a leader.
const (
	codeOverloaded     = "busy"
	codeStalled        = "woken"
	codeNoLeader       = "no-leader"
	codeOutcomeUnknown = "no-answer"
)

// How long a caller should wait before it retries.
const (
	overloadedRetryAfter     clock.Millis = 1000
	noLeaderRetryAfter       clock.Millis = 500
	outcomeUnknownRetryAfter clock.Millis = 500
)

// Overloaded returns the response of a server that can't accept more requests.
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

package inflight

import (
	"net/http"

	"orchidward/internal/api/jsondoc"
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

// Refusal is a response with an error body. RetryAfter is in milliseconds, 0 for none.
func Refusal(status int, code, message string, retryAfter clock.Millis) gateway.Response {
	body := jsondoc.ErrorBody{Code: code, Message: message, RetryAfter: retryAfter}
	return gateway.Response{Status: status, RetryAfter: retryAfter, Body: body.JSON()}
}

// Overloaded is the response of a server that can take no more requests.
func Overloaded() gateway.Response {
	return Refusal(http.StatusServiceUnavailable, codeOverloaded, "this server is full", overloadedRetryAfter)
}

func stalled() gateway.Response {
	return Refusal(http.StatusServiceUnavailable, codeStalled, "this server stood still and can't tell how old the request is", retryInterval)
}

func noLeader() gateway.Response {
	return Refusal(http.StatusServiceUnavailable, codeNoLeader, "no leader is known here", noLeaderRetryAfter)
}

func outcomeUnknown() gateway.Response {
	return Refusal(http.StatusGatewayTimeout, codeOutcomeUnknown,
		"the leader did not answer in time; the outcome is not known", outcomeUnknownRetryAfter)
}

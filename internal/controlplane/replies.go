package controlplane

import (
	"encoding/json"
	"net/http"

	"orchidward/internal/api/jsondoc"
	"orchidward/internal/clock"
	"orchidward/internal/state"
	"orchidward/internal/transport/wire"
)

// apiError is an error response: an HTTP status, a code for programs, a message for
// people and, if the request may be retried, when.
type apiError struct {
	status     int
	code       string
	message    string
	retryAfter clock.Millis
}

// The error responses of a control-plane server; docs/api.md lists them.
var (
	errBusy           = apiError{http.StatusServiceUnavailable, "busy", "too many requests under way", 1000}
	errLeaderChanged  = apiError{http.StatusGatewayTimeout, "leader-changed", "the outcome is not known here; ask again", leaderChangedRetryAfter}
	errTimeUnsure     = apiError{http.StatusServiceUnavailable, "time-unsure", "the servers' clocks have yet to agree; no start can be appointed", 1000}
	errQueuesTooNew   = apiError{http.StatusServiceUnavailable, codeLevel, "queues wait until every server has been upgraded", 500}
	errAgentsTooNew   = apiError{http.StatusServiceUnavailable, codeLevel, "agents wait until every server has been upgraded", 500}
	errPoliciesTooNew = apiError{http.StatusConflict, codeLevel, "policies wait until every server has been upgraded", 5000}
	errTenantsTooNew  = apiError{http.StatusServiceUnavailable, codeLevel, "tenants wait until every server has been upgraded", 500}
	errCatalogBusy    = apiError{http.StatusTooManyRequests, "catalog-busy", "too many changes under way", 500}
	errLimitsBusy     = apiError{http.StatusTooManyRequests, "table-busy", "too many table changes under way", 500}
	errRunnersFull    = apiError{http.StatusServiceUnavailable, "runners-full", "no room for another runner", 60000}
	errLearnersFull   = apiError{http.StatusServiceUnavailable, "seats-full", "enough learners are waiting to become voters", 5000}
	errTooOldToJoin   = apiError{http.StatusConflict, "too-old", "the group's level is above this program's", 0}
	errJoinMalformed  = apiError{http.StatusBadRequest, codeBadRequest, "join does not parse", 0}
	errJoinIncomplete = apiError{http.StatusUnprocessableEntity, "unprocessable", "join lacks an identity or an address", 0}
	errQueryMalformed = apiError{http.StatusBadRequest, codeBadRequest, "query does not parse", 0}
	errPageSize       = apiError{http.StatusBadRequest, codeBadRequest, "limit wants a number from 1 to 1000", 0}
	errNoKey          = apiError{http.StatusUnauthorized, "unauthenticated", "the request needs the API key of a tenant", 0}
	errNoJob          = apiError{http.StatusNotFound, "no-job", "no such job", 0}
	errNoQueue        = apiError{http.StatusNotFound, "no-queue", "no such queue", 0}
	errNoCatalog      = apiError{http.StatusNotFound, "no-catalog", "there is no catalogue yet", 0}
	errNoDrain        = apiError{http.StatusNotFound, "no-closing", "no such drain", 0}
)

// Codes shared by several error responses.
const (
	codeBadRequest = "bad-request"
	codeBadMethod  = "bad-method"
	codeLevel      = "level"
	codeNoSuchPath = "no-such-path"
)

func (s *Server) reply(peer wire.Peer, id uint64, status int, body []byte, retryAfter clock.Millis) {
	s.send(peer, wire.Message{Response: &wire.Response{ID: id, Status: status, Body: body, RetryAfter: retryAfter}})
}

// replyJSON answers a request with a JSON document.
func (s *Server) replyJSON(peer wire.Peer, id uint64, status int, document any) {
	text, err := json.Marshal(document)
	if err != nil {
		panic("controlplane: encode a response: " + err.Error())
	}
	s.reply(peer, id, status, text, 0)
}

func (s *Server) replyError(peer wire.Peer, id uint64, e apiError) {
	body := jsondoc.ErrorBody{Code: e.code, Message: e.message, RetryAfter: e.retryAfter}
	s.reply(peer, id, e.status, body.JSON(), e.retryAfter)
}

// replyFieldErrors answers a request whose body has faults.
func (s *Server) replyFieldErrors(peer wire.Peer, id uint64, f *jsondoc.FieldErrors) {
	s.reply(peer, id, f.Status(), f.ErrorBody(), 0)
}

// replyResult answers a request with the result of its applied command.
func (s *Server) replyResult(peer wire.Peer, id uint64, r state.Result) {
	if r.OK() {
		s.replyJSON(peer, id, r.Status, r.Body)
		return
	}
	body := jsondoc.ErrorBody{Code: r.Code, Message: r.Message, Faults: r.Body, RetryAfter: r.RetryAfter}
	s.reply(peer, id, r.Status, body.JSON(), r.RetryAfter)
}

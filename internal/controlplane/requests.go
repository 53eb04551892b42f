package controlplane

import (
	"errors"
	"net/http"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/jsondoc"
	"orchidward/internal/api/limits"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/state"
	"orchidward/internal/transport/wire"
)

// apiRequest is a request as the leader serves it.
type apiRequest struct {
	*wire.Request
	peer     wire.Peer
	endpoint endpoint.Endpoint
}

// handleRequest serves a request, or forwards it to the leader.
func (s *Server) handleRequest(from wire.Peer, r *wire.Request) {
	if id, withdraws := r.Withdraws(); withdraws {
		s.handleWithdrawal(from, id)
		return
	}
	if !s.isActiveLeader() {
		s.forward(from, r)
		return
	}
	s.leader.requests.all++
	if !from.Local() {
		s.leader.requests.remote++
	}
	if s.orderExpired(r) {
		s.leader.requests.expired++
		s.replyExpired(from, r.ID)
		return
	}
	s.routeRequest(from, r)
}

// routeRequest dispatches a request on the leader. A request that a gateway checked
// against a stale routing table is returned, so that the gateway checks it again;
// requests that servers and gateways make themselves do not depend on a routing table.
func (s *Server) routeRequest(from wire.Peer, r *wire.Request) {
	target, err := endpoint.Parse(r.Method, r.Path)
	request := &apiRequest{Request: r, peer: from, endpoint: target}
	switch {
	case target.Kind == endpoint.JoinGroup:
		s.handleJoin(request)
	case target.Kind == endpoint.SyncGateway:
		s.handleSync(request)
	case r.Epoch != 0 && r.Epoch != s.state.Limits.Epoch:
		s.leader.requests.stale++
		s.replyStale(from, r)
	case err != nil:
		s.replyError(from, r.ID, endpointError(err))
	case s.delayOrder(request):
	default:
		s.serve(request)
	}
}

// endpointError returns the error response for an unknown path or method.
func endpointError(err error) apiError {
	var wrongMethod *endpoint.MethodError
	if errors.As(err, &wrongMethod) {
		return apiError{http.StatusMethodNotAllowed, codeBadMethod, err.Error(), 0}
	}
	return apiError{http.StatusNotFound, codeNoSuchPath, err.Error(), 0}
}

// serve serves a request according to its endpoint.
func (s *Server) serve(r *apiRequest) {
	if unhandled := s.serveTenant(r); !unhandled {
		return
	}
	switch r.endpoint.Kind {
	case endpoint.ListJobs:
		s.replyJobList(r)
	case endpoint.GetCatalog:
		s.replyCatalog(r)
	case endpoint.ReplaceCatalog:
		changeCatalog(s, r, catalog.ReadWhole)
	case endpoint.PatchCatalog:
		changeCatalog(s, r, catalog.ReadPatch)
	case endpoint.ListTenants:
		s.replyJSON(r.peer, r.ID, http.StatusOK, s.tenantDocs())
	case endpoint.GetLimits:
		s.reply(r.peer, r.ID, http.StatusOK, s.state.Limits.JSON(), 0)
	case endpoint.ReplaceLimits:
		changeLimits(s, r, limits.ReadWhole)
	case endpoint.PatchLimits:
		changeLimits(s, r, limits.ReadPatch)
	case endpoint.ListRunners:
		s.replyJSON(r.peer, r.ID, http.StatusOK, s.runnerDocs())
	case endpoint.PollRunner:
		s.handlePoll(r.peer, r.ID, identifier.Runner(r.endpoint.Name), r.Body)
	case endpoint.GetFencingToken:
		s.replyJSON(r.peer, r.ID, http.StatusOK, runnerapi.PollResponse{FencingToken: uint64(s.term)})
	case endpoint.ListDrains:
		s.replyJSON(r.peer, r.ID, http.StatusOK, s.drainDocs())
	case endpoint.GetDrain:
		s.replyDrain(r, r.endpoint.Name)
	case endpoint.StartDrain:
		s.startDrain(r, r.endpoint.Name)
	case endpoint.EndDrain:
		s.proposeFor(r, &state.Command{EndDrain: &state.EndDrain{Name: r.endpoint.Name}})
	case endpoint.ListServers:
		s.replyJSON(r.peer, r.ID, http.StatusOK, s.serverDocs())
	}
}

// submitJob proposes a job on behalf of its caller.
func (s *Server) submitJob(r *apiRequest, key identifier.JobKey, by caller) {
	var faults jsondoc.FieldErrors
	spec := job.Read(r.Body, &faults)
	if faults.Any() {
		s.replyFieldErrors(r.peer, r.ID, &faults)
		return
	}
	if spec.Queue != "" && s.state.Level < state.CatalogLevel {
		s.replyError(r.peer, r.ID, errQueuesTooNew)
		return
	}
	if spec.HasStartTime() && !s.leader.clock.canAppoint && s.state.Jobs[key] == nil {
		s.replyError(r.peer, r.ID, errTimeUnsure)
		return
	}
	if spec.Queue != "" {
		spec.Tenant = by.tenant
		spec.KeyDigest = string(by.digest)
	}
	s.proposeFor(r, &state.Command{SubmitJob: &state.SubmitJob{Key: key, Spec: *spec}})
}

// CancelledJobDoc is the response to the cancellation of a job that has already ended.
type CancelledJobDoc struct {
	Job   identifier.JobKey `json:"job"`
	State string            `json:"state"`
}

func (s *Server) cancelJob(r *apiRequest, key identifier.JobKey) {
	if j := s.state.Jobs[key]; j != nil && j.EndState != "" {
		s.replyJSON(r.peer, r.ID, http.StatusOK, CancelledJobDoc{key, j.State()})
		return
	}
	s.proposeFor(r, &state.Command{CancelJob: &state.CancelJob{Key: key}})
}

// readChange decodes the body of a change. If the body has faults, it answers the request
// and returns false.
func readChange[T any](s *Server, r *apiRequest, read func(text []byte, f *jsondoc.FieldErrors) *T) (change *T, ok bool) {
	var faults jsondoc.FieldErrors
	change = read(r.Body, &faults)
	if faults.Any() {
		s.replyFieldErrors(r.peer, r.ID, &faults)
		return nil, false
	}
	return change, true
}

func changeCatalog(s *Server, r *apiRequest, read func(text []byte, f *jsondoc.FieldErrors) *catalog.Change) {
	change, ok := readChange(s, r, read)
	if ok && s.state.Level < state.TenantLevel {
		change = change.ForServersWithoutTenants()
	}
	switch {
	case !ok:
	case s.state.Level < state.CatalogLevel:
		s.replyError(r.peer, r.ID, errQueuesTooNew)
	case s.tenantsTooNew(change):
		s.replyError(r.peer, r.ID, errTenantsTooNew)
	case s.proposals.configChanges >= maxConfigChanges:
		s.replyError(r.peer, r.ID, errCatalogBusy)
	default:
		s.proposeFor(r, &state.Command{ChangeCatalog: change})
	}
}

func changeLimits(s *Server, r *apiRequest, read func(text []byte, f *jsondoc.FieldErrors) *limits.Change) {
	change, ok := readChange(s, r, read)
	switch {
	case !ok:
	case change.TouchesPolicies() && s.state.Level < state.PolicyLevel:
		s.replyError(r.peer, r.ID, errPoliciesTooNew)
	case s.proposals.configChanges >= maxConfigChanges:
		s.replyError(r.peer, r.ID, errLimitsBusy)
	default:
		s.proposeFor(r, &state.Command{ChangeLimits: change})
	}
}

// startDrain starts to drain a zone. The body may contain an operation id, which makes
// the request idempotent.
func (s *Server) startDrain(r *apiRequest, domain string) {
	var faults jsondoc.FieldErrors
	command := &state.StartDrain{Domain: identifier.Domain(domain)}
	if len(r.Body) > 0 {
		if o := jsondoc.Parse(r.Body, &faults); o != nil {
			command.ID = o.Name("id", false)
			command.AllowUnknown = o.Bool("unseen", false) && s.state.Level >= state.CatalogLevel
			o.Done()
		}
	}
	if !identifier.ValidName(domain) {
		faults.Invalid("domain", "not a name")
	}
	if faults.Any() {
		s.replyFieldErrors(r.peer, r.ID, &faults)
		return
	}
	s.proposeFor(r, &state.Command{StartDrain: command})
}

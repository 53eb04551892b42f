package controlplane

import (
	"net/url"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
)

// caller identifies the tenant that makes a request by the digest of its API key.
// Requests without a key come from operators, or were admitted by a gateway because the
// queue requires no key.
type caller struct {
	tenant string
	digest catalog.KeyDigest
}

// authenticate finds the tenant that owns the API key of a request, according to the
// catalogue in force here: the gateway that admitted the request may have an older one.
// ok is false if no tenant owns the key.
func (s *Server) authenticate(r *apiRequest) (by caller, ok bool) {
	query, err := url.ParseQuery(r.Query)
	if err != nil {
		return caller{}, false
	}
	by.digest = catalog.KeyDigest(query.Get(endpoint.CredentialParam))
	if by.digest == "" {
		return by, true
	}
	s.trackRouting()
	by.tenant, ok = s.routing.keys.Owner(by.digest)
	return by, ok
}

// mayAccess reports whether a caller may read and cancel a job. Operators, the job's
// tenant and the bearer of the key that the job was submitted with may; any tenant may if
// the job's tenant no longer exists.
func (s *Server) mayAccess(by caller, key identifier.JobKey) bool {
	j := s.state.Jobs[key]
	if by.digest == "" || j == nil || j.Spec.Tenant == by.tenant || j.Spec.KeyDigest == string(by.digest) {
		return true
	}
	return s.state.Catalog.Tenant(j.Spec.Tenant) == nil
}

// serveTenant serves the requests that tenants make about their jobs and queues. It
// returns true, without answering, for any other request.
func (s *Server) serveTenant(r *apiRequest) (unhandled bool) {
	switch r.endpoint.Kind {
	case endpoint.SubmitJob, endpoint.CancelJob, endpoint.GetJob, endpoint.GetJobState, endpoint.GetQueue:
	default:
		return true
	}
	by, ok := s.authenticate(r)
	key := r.endpoint.JobKey()
	switch {
	case !ok:
		s.leader.requests.unauthenticated++
		s.UnauthenticatedRequests++
		s.replyError(r.peer, r.ID, errNoKey)
	case r.endpoint.Kind == endpoint.GetQueue:
		s.replyQueue(r, r.endpoint.Name)
	case r.endpoint.Kind == endpoint.SubmitJob:
		s.submitJob(r, key, by)
	case !s.mayAccess(by, key):
		s.replyError(r.peer, r.ID, errNoJob)
	case r.endpoint.Kind == endpoint.GetJob:
		s.replyJob(r, key)
	case r.endpoint.Kind == endpoint.GetJobState:
		s.replyJobState(r, key)
	default:
		s.cancelJob(r, key)
	}
	return false
}

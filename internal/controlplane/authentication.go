package controlplane

import (
	"net/url"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
)

// caller is who makes a request: a tenant, by the digest of its API key. Requests without a
// key are those of operators, or were let through by a gateway because the queue asks for
// none.
type caller struct {
	tenant string
	digest catalog.KeyDigest
}

// authenticate finds the tenant whose API key came with a request, by the catalogue in force
// here: the gateway that took the request may have an older one. It is not ok when the key
// belongs to nobody.
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

// mayAccess reports whether a caller may see and cancel a job: an operator, the job's tenant,
// who bears the key that the job was handed in with, or any tenant where the job's is no more.
func (s *Server) mayAccess(by caller, key identifier.JobKey) bool {
	j := s.state.Jobs[key]
	if by.digest == "" || j == nil || j.Spec.Tenant == by.tenant || j.Spec.KeyDigest == string(by.digest) {
		return true
	}
	return s.state.Catalog.Tenant(j.Spec.Tenant) == nil
}

// serveTenant serves the requests that tenants make of their jobs and queues. It reports
// whether the request is none of these.
func (s *Server) serveTenant(r *apiRequest) (other bool) {
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

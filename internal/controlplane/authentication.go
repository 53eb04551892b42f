package controlplane

import (
	"net/url"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
)

// authenticate finds the tenant whose API key came with a request, by the catalogue in force
// here: the gateway that took the request may have an older one. tenant is empty for a
// request without a key; ok is false when the key belongs to nobody.
func (s *Server) authenticate(r *apiRequest) (tenant string, ok bool) {
	query, err := url.ParseQuery(r.Query)
	if err != nil {
		return "", false
	}
	digest := query.Get(endpoint.CredentialParam)
	if digest == "" {
		return "", true
	}
	s.trackRouting()
	return s.routing.keys.Owner(catalog.KeyDigest(digest))
}

// mayAccess reports whether a request of a tenant may see and cancel a job: one of its own,
// of nobody, or of a tenant that is no more. Requests without a key are those of operators, or were let through by a
// gateway because the queue asks for none.
func (s *Server) mayAccess(tenant string, key identifier.JobKey) bool {
	j := s.state.Jobs[key]
	if tenant == "" || j == nil || j.Spec.Tenant == tenant {
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
	tenant, ok := s.authenticate(r)
	key := r.endpoint.JobKey()
	switch {
	case !ok:
		s.replyError(r.peer, r.ID, errNoKey)
	case r.endpoint.Kind == endpoint.GetQueue:
		s.replyQueue(r, r.endpoint.Name)
	case r.endpoint.Kind == endpoint.SubmitJob:
		s.submitJob(r, key, tenant)
	case !s.mayAccess(tenant, key):
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

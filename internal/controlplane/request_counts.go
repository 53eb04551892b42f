package controlplane

import "orchidward/internal/clock"

// requestCountInterval is how often a leader logs the requests that it received.
const requestCountInterval clock.Millis = 10000

// requestCounts counts the requests that a leader received since a time: all of them and
// those from other processes, and how many were returned because the sender's routing
// table was stale or the order had expired, or refused because no tenant owns their key.
type requestCounts struct {
	since   clock.Monotonic
	all     int
	remote  int
	stale   int
	expired int

	unauthenticated int
}

// logRequestCounts logs the request counts every requestCountInterval. It logs nothing if
// there were no requests.
func (s *Server) logRequestCounts() {
	counts := &s.leader.requests
	if s.now.Since(counts.since) < requestCountInterval {
		return
	}
	if counts.all > 0 {
		s.logEvent("leader-requests", "requests", counts.all, "remote", counts.remote,
			"stale", counts.stale, "expired", counts.expired, "unauthenticated", counts.unauthenticated)
	}
	*counts = requestCounts{since: s.now}
}

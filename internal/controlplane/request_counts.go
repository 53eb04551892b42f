package controlplane

import "orchidward/internal/clock"

// requestCountInterval is how often a leader logs what it was asked.
const requestCountInterval clock.Millis = 10000

// requestCounts is what a leader was asked since a time: all requests, those of other
// processes among them, and how many of all were returned because the sender's routing
// table was stale or the order too old, or refused because their key is nobody's.
type requestCounts struct {
	since   clock.Monotonic
	all     int
	remote  int
	stale   int
	expired int

	unauthenticated int
}

// logRequestCounts logs, every requestCountInterval, what this leader was asked. No line
// is written while nobody asks anything.
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

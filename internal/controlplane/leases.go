package controlplane

import (
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/limits"
	"orchidward/internal/clock"
	"orchidward/internal/state"
)

// sweepInterval is how often the confirmations of closed leases are removed.
const sweepInterval clock.Millis = 1000

// leaseConfirmations tracks which open leases have a confirmed start.
type leaseConfirmations struct {
	// unconfirmedSince is when each lease without a confirmed start was opened, by this
	// leader's clock.
	unconfirmedSince map[identifier.LeaseID]clock.Monotonic
	// confirmed are the leases whose runner has reported the attempt as running or ended.
	confirmed map[identifier.LeaseID]bool
	lastSweep clock.Monotonic
}

func newLeaseConfirmations() leaseConfirmations {
	return leaseConfirmations{
		unconfirmedSince: map[identifier.LeaseID]clock.Monotonic{},
		confirmed:        map[identifier.LeaseID]bool{},
	}
}

func (c *leaseConfirmations) opened(id identifier.LeaseID, now clock.Monotonic) {
	c.unconfirmedSince[id] = now
}

// revokeUnconfirmedStarts revokes leases whose start was not confirmed within the
// timeout.
func (s *Server) revokeUnconfirmedStarts() {
	confirmations := &s.leader.leases
	limit := s.state.Limits.SiteMillis(limits.SiteConfirmTimeout)
	var late []identifier.LeaseID
	for id, openedAt := range confirmations.unconfirmedSince {
		lease := s.state.Leases[id]
		switch {
		case lease == nil || lease.RevokeReason != "" || confirmations.confirmed[id]:
			delete(confirmations.unconfirmedSince, id)
			if lease == nil {
				delete(confirmations.confirmed, id)
			}
		case s.now.Since(openedAt) > limit:
			late = append(late, id)
			delete(confirmations.unconfirmedSince, id)
		}
	}
	s.forgetClosedLeases()
	if len(late) > 0 {
		slices.Sort(late)
		s.propose(&state.Command{RevokeLeases: &state.RevokeLeases{Leases: late, Reason: state.RevokeStartUnconfirmed}})
	}
}

// forgetClosedLeases periodically removes the confirmations of closed leases. They are no
// longer needed, as lease ids are never reused.
func (s *Server) forgetClosedLeases() {
	confirmations := &s.leader.leases
	if s.now.Since(confirmations.lastSweep) < sweepInterval {
		return
	}
	confirmations.lastSweep = s.now
	for id := range confirmations.confirmed {
		if s.state.Leases[id] == nil {
			delete(confirmations.confirmed, id)
		}
	}
}

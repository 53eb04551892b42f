package controlplane

import (
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
)

const (
	// transferStalledAfter is how long a snapshot transfer may make no progress before it
	// is logged as stalled, and transferStalledInterval how often that is logged again.
	transferStalledAfter    clock.Millis = 2000
	transferStalledInterval clock.Millis = 10000
)

// observedTransfer is a snapshot transfer to one member, as last logged.
type observedTransfer struct {
	index       identifier.Index
	since       clock.Monotonic
	stalledAt   clock.Monotonic
	wasReported bool
}

// logTransfers logs when a snapshot transfer to a member begins, stalls and ends: one
// line for each, and one every transferStalledInterval while it remains stalled.
func (s *Server) logTransfers(statuses []raft.MemberStatus) {
	present := 0
	for _, status := range statuses {
		transfer := s.logTransfer(status)
		if transfer.index == 0 {
			delete(s.leader.transfers, status.ID)
			continue
		}
		s.leader.transfers[status.ID] = transfer
		present++
	}
	if present < len(s.leader.transfers) {
		s.forgetTransfers(statuses)
	}
}

// forgetTransfers removes the transfers to servers that are no longer members.
func (s *Server) forgetTransfers(statuses []raft.MemberStatus) {
	for id := range s.leader.transfers {
		isMember := func(status raft.MemberStatus) bool { return status.ID == id }
		if !slices.ContainsFunc(statuses, isMember) {
			delete(s.leader.transfers, id)
		}
	}
}

// logTransfer logs changes of the transfer to one member, and returns the transfer in
// progress, whose index is 0 if there is none.
func (s *Server) logTransfer(status raft.MemberStatus) observedTransfer {
	transfer := status.Transfer
	last, known := s.leader.transfers[status.ID]
	if known && last.index != transfer.Index {
		s.logEvent("snapshot-transfer-ended", "node", status.ID, "index", last.index,
			"tookMs", s.now.Since(last.since), "superseded", transfer.Index != 0, "match", status.Match)
		known = false
	}
	if transfer.Index == 0 {
		return observedTransfer{}
	}
	if !known {
		last = observedTransfer{index: transfer.Index, since: s.now}
		s.logEvent("snapshot-transfer", "node", status.ID, "index", transfer.Index, "bytes", transfer.Total)
	}
	due := !last.wasReported || s.now.Since(last.stalledAt) >= transferStalledInterval
	if transfer.UnchangedFor >= transferStalledAfter && due {
		last.stalledAt = s.now
		last.wasReported = true
		s.logEvent("snapshot-transfer-stalled", "node", status.ID, "index", transfer.Index,
			"acknowledged", transfer.Acknowledged, "bytes", transfer.Total,
			"unchangedMs", transfer.UnchangedFor, "silentMs", status.SilentFor)
	}
	return last
}

// logIncomingSnapshot logs, once per snapshot, that its chunks are arriving here.
func (s *Server) logIncomingSnapshot() {
	index, received, ok := s.raft.IncomingSnapshot()
	if !ok || index == s.incomingIndex {
		return
	}
	s.incomingIndex = index
	s.logEvent("snapshot-receiving", "index", index, "received", received)
}

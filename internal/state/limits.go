package state

import (
	"fmt"
	"net/http"

	"orchidward/internal/api/admission"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/limits"
)

// limitsAck is the response to an accepted change of the limits table.
type limitsAck struct {
	Epoch identifier.Epoch `json:"epoch"`
}

// limitsConflict is the response to a change of cells that were modified after its base
// epoch.
type limitsConflict struct {
	Cells []string         `json:"cells"`
	Epoch identifier.Epoch `json:"epoch"`
}

func (s *Store) changeLimits(change *limits.Change) Result {
	if cells := s.Limits.Conflicts(change); len(cells) > 0 {
		message := fmt.Sprintf("changed since epoch %d", change.Base)
		return rejectedWithBody(http.StatusConflict, codeStaleBase, message, limitsConflict{Cells: cells, Epoch: s.Limits.Epoch})
	}
	for _, row := range s.Limits.Dropped(change) {
		if jobs := s.jobIndex.unfinishedByRow[row]; jobs > 0 {
			return rejected(http.StatusConflict, codeRowInUse, fmt.Sprintf("row %s still has %d jobs", row, jobs))
		}
	}
	for row := range change.Drop {
		if !s.Limits.HasRow(row) {
			return rejected(http.StatusNotFound, codeNoRow, "no such row to drop")
		}
	}
	previousSpan := s.LeaseSpan()
	if err := s.Limits.Apply(change); err != nil {
		return rejected(http.StatusUnprocessableEntity, codeTooManyRows, "the table would have too many rows")
	}
	if s.Limits.SiteMillis(limits.SiteLeaseSpan) < previousSpan {
		s.PreviousLeaseSpan = previousSpan
		s.LeaseSpanChangedAt = s.Now
	}
	s.rules = admission.Compile(s.Limits)
	return accepted(http.StatusOK, limitsAck{Epoch: s.Limits.Epoch})
}

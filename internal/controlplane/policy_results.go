package controlplane

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/limits"
	"orchidward/internal/scheduler"
)

// PolicyDoc is the record of a row's placement policy as the API returns it: how often it
// was used and how often it failed since this server began to lead, and the last reason
// for a failure.
type PolicyDoc struct {
	Row         identifier.Row `json:"row"`
	Used        int            `json:"used"`
	Failed      int            `json:"failed"`
	LastFailure string         `json:"lastFailure,omitempty"`
}

// recordPolicyResults adds the results of the rows' policies in one scheduling cycle to
// the totals, and logs a failure whose reason differs from the last one.
func (s *Server) recordPolicyResults(cycle scheduler.PolicyResults) {
	for row := range s.policyResults {
		if s.state.Limits.Cell(row, limits.ColumnPolicy) == "" {
			delete(s.policyResults, row)
		}
	}
	if len(cycle) == 0 {
		return
	}
	for _, row := range s.state.Limits.RowNames() {
		result, ok := cycle[row]
		if !ok {
			continue
		}
		total := s.policyResults[row]
		total.Used += result.Used
		total.Failed += result.Failed
		if result.Failed > 0 {
			if total.LastFailure != result.LastFailure {
				s.logEvent("policy-failed", "row", row, "why", result.LastFailure)
			}
			total.LastFailure = result.LastFailure
		}
		s.policyResults[row] = total
	}
}

func (s *Server) policyDocs() []PolicyDoc {
	list := []PolicyDoc{}
	for _, row := range s.state.Limits.RowNames() {
		if s.state.Limits.Cell(row, limits.ColumnPolicy) == "" {
			continue
		}
		result := s.policyResults[row]
		list = append(list, PolicyDoc{row, result.Used, result.Failed, result.LastFailure})
	}
	return list
}

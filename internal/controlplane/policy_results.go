// How the rows' policies fare: counted, shown, and logged whenever one fails
// for another reason than before.

package controlplane

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/scheduler"
)

// PolicyDoc is a row's policy as operators see it.
type PolicyDoc struct {
	Row    identifier.Row `json:"row"`
	Used   int            `json:"used"`
	Failed int            `json:"failed"`
	Last   string         `json:"lastFailure,omitempty"`
}

func (s *Server) recordPolicyResults(list scheduler.PolicyResults) {
	for row := range s.policyResults {
		if s.state.Limits.Cell(row, "policy") == "" {
			delete(s.policyResults, row)
		}
	}
	if len(list) == 0 {
		return
	}
	for _, row := range s.state.Limits.RowNames() {
		one, ok := list[row]
		if !ok {
			continue
		}
		was := s.policyResults[row]
		if one.Failed > 0 && was.LastFailure != one.LastFailure {
			s.logEvent("policy-failed", "row", row, "why", one.LastFailure)
		}
		was.Used, was.Failed = was.Used+one.Used, was.Failed+one.Failed
		if one.Failed > 0 {
			was.LastFailure = one.LastFailure
		}
		s.policyResults[row] = was
	}
}

func (s *Server) policyDocs() []PolicyDoc {
	list := []PolicyDoc{}
	for _, row := range s.state.Limits.RowNames() {
		if s.state.Limits.Cell(row, "policy") == "" {
			continue
		}
		one := s.policyResults[row]
		list = append(list, PolicyDoc{row, one.Used, one.Failed, one.LastFailure})
	}
	return list
}

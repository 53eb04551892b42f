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

func (m *Server) fare(list scheduler.PolicyResults) {
	for row := range m.fared {
		if m.state.Limits.Cell(row, "policy") == "" {
			delete(m.fared, row)
		}
	}
	if len(list) == 0 {
		return
	}
	for _, row := range m.state.Limits.RowNames() {
		one, ok := list[row]
		if !ok {
			continue
		}
		was := m.fared[row]
		if one.Failed > 0 && was.LastFailure != one.LastFailure {
			m.event("policy-failed", "row", row, "why", one.LastFailure)
		}
		was.Used, was.Failed = was.Used+one.Used, was.Failed+one.Failed
		if one.Failed > 0 {
			was.LastFailure = one.LastFailure
		}
		m.fared[row] = was
	}
}

func (m *Server) showPolicies() []PolicyDoc {
	list := []PolicyDoc{}
	for _, row := range m.state.Limits.RowNames() {
		if m.state.Limits.Cell(row, "policy") == "" {
			continue
		}
		one := m.fared[row]
		list = append(list, PolicyDoc{row, one.Used, one.Failed, one.LastFailure})
	}
	return list
}

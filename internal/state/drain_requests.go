package state

import (
	"encoding/json"
	"fmt"
	"net/http"

	"orchidward/internal/api/identifier"
)

// startDrain starts the drain of a domain, or returns the drain in force. If the command
// carries an id that is already in use, no new drain is started.
func (s *Store) startDrain(command *StartDrain) Result {
	if command.ID != "" && s.Drains[command.ID] != nil {
		named := s.Drains[command.ID]
		if named.Kind != KindDomain || named.Domain != command.Domain {
			return rejected(http.StatusConflict, codeDrainIDTaken, "this id names another drain")
		}
		return drainResult(named)
	}
	if !command.AllowUnknown && !s.domainKnown(command.Domain) {
		return rejected(http.StatusNotFound, codeNoDomain, "no runner of this domain is known")
	}
	for _, id := range s.DrainIDs() {
		drain := s.Drains[id]
		if drain.Kind == KindDomain && drain.Domain == command.Domain && !drain.Stage.Reopening() {
			return drainResult(drain)
		}
	}
	drain := s.createDrain(command.ID, KindDomain, command.Domain, "")
	s.updateCordons()
	return drainResult(drain)
}

// domainKnown reports whether any runner of the domain has reported.
func (s *Store) domainKnown(domain identifier.Domain) bool {
	for _, runner := range s.Runners {
		if runner.Domain == domain {
			return true
		}
	}
	return false
}

// endDrain starts reopening the scope of a drain, which is identified by its id or its
// domain.
func (s *Store) endDrain(command *EndDrain) Result {
	drain := s.Drains[command.Name]
	if drain == nil {
		drain = s.domainDrain(identifier.Domain(command.Name))
	}
	if drain == nil {
		return rejected(http.StatusNotFound, codeNoDrain, "no such drain")
	}
	if drain.Stage.Reopening() {
		return drainResult(drain)
	}
	if drain.Kind == KindRack {
		return rejected(http.StatusConflict, codeRunnersDraining, "a rack reopens when its runners report active again")
	}
	drain.enterStage(Preopen, s.Now)
	return drainResult(drain)
}

// domainDrain returns the domain's drain in force, or else its latest drain, or nil if it
// has none. The order of ids does not show which of several drains that started in the
// same millisecond is the latest, so below ResendLevel the result may not be the drain in
// force.
func (s *Store) domainDrain(domain identifier.Domain) *Drain {
	var found *Drain
	for _, id := range s.DrainIDs() {
		candidate := s.Drains[id]
		if candidate.Kind != KindDomain || candidate.Domain != domain {
			continue
		}
		if s.Level >= ResendLevel && found != nil && !found.Stage.Reopening() && candidate.Stage.Reopening() {
			continue
		}
		found = candidate
	}
	return found
}

// generatedDrainID is the format of the ids that createDrain generates.
const generatedDrainID = "c-%d"

// createDrain adds a drain in its first stage. It generates an id if none is given or the
// given one is already in use.
func (s *Store) createDrain(id, kind string, domain identifier.Domain, rack identifier.Rack) *Drain {
	for id == "" || s.Drains[id] != nil {
		id = fmt.Sprintf(generatedDrainID, s.NextDrain)
		s.NextDrain++
	}
	drain := &Drain{ID: id, Kind: kind, Domain: domain, Rack: rack, StartedAt: s.Now}
	s.Drains[id] = drain
	drain.enterStage(Preflight, s.Now)
	return drain
}

// drainResult returns the drain in its current state. The document is encoded
// immediately, since later commands change the drain.
func drainResult(drain *Drain) Result {
	document, err := json.Marshal(drain)
	if err != nil {
		panic(fmt.Sprintf("state: a drain must always encode: %v", err))
	}
	return accepted(http.StatusOK, json.RawMessage(document))
}

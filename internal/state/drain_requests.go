package state

import (
	"encoding/json"
	"fmt"
	"net/http"

	"orchidward/internal/api/identifier"
)

// startDrain starts the drain of a domain, or returns the one that is in force. A
// drain that the command names by its id is never started again.
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

// domainKnown tells whether any runner has reported from the domain.
func (s *Store) domainKnown(domain identifier.Domain) bool {
	for _, runner := range s.Runners {
		if runner.Domain == domain {
			return true
		}
	}
	return false
}

// endDrain begins to reopen the scope of a drain, named by its id or by its domain.
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

// domainDrain is the domain's drain in force, or else its latest, nil for none.
// Among drains that started in the same millisecond the order of their ids does not
// tell the latest, so below ResendLevel the one found may not be the one in force.
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

// generatedDrainID is the form of the ids that createDrain makes up.
const generatedDrainID = "c-%d"

// createDrain adds a drain in its first stage. It makes up an id when none is given
// or the given one is taken.
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

// drainResult answers with the drain as it is now: the document is encoded at once,
// since later commands change the drain.
func drainResult(drain *Drain) Result {
	document, err := json.Marshal(drain)
	if err != nil {
		panic(fmt.Sprintf("state: a drain must always encode: %v", err))
	}
	return accepted(http.StatusOK, json.RawMessage(document))
}

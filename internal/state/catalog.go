package state

import (
	"net/http"

	"orchidward/internal/api/catalog"
)

// catalogAck is the response to a catalogue change: the resulting version, or the version
// in force if the change is rejected.
type catalogAck struct {
	Version uint64 `json:"version"`
}

// changeCatalog applies a catalogue change that is based on the version in force. A
// resend of an accepted change is acknowledged as long as the change is remembered.
func (s *Store) changeCatalog(change *catalog.Change) Result {
	current := s.currentCatalog()
	if current.Has(change) {
		return accepted(http.StatusOK, catalogAck{Version: change.Version})
	}
	if current.MayHaveForgotten(change) {
		return rejected(http.StatusGatewayTimeout, codeOutcomeUnknown, "this change may have been taken, longer ago than is remembered")
	}
	if current.Version != change.Base {
		return rejectedWithBody(http.StatusPreconditionFailed, codeStaleBase, "another version is in force", catalogAck{Version: current.Version})
	}
	next, err := current.With(change)
	if err != nil {
		return rejected(http.StatusUnprocessableEntity, codeInvalid, err.Error())
	}
	s.Catalog = next
	s.dropTenantRates()
	s.Limits.Epoch++
	s.rules.Epoch = s.Limits.Epoch
	s.foldChecksum(next.Version, hashText(change.Checksum))
	return accepted(http.StatusOK, catalogAck{Version: change.Version})
}

// currentCatalog returns the catalogue in force, or an empty one if there is none.
func (s *Store) currentCatalog() *catalog.Catalog {
	if s.Catalog != nil {
		return s.Catalog
	}
	empty := &catalog.Catalog{}
	if s.Level >= ResendLevel {
		return empty.Deduplicated()
	}
	return empty
}

package state

import (
	"net/http"
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// Tombstone is left by a cancel that finds no job: until it expires, no job of that id is
// accepted. Without it, a cancel that overtakes the submission it refers to would let the
// job run although its sender has given up on it. A tombstone outlives every request that
// may still be in flight, but not longer, since the id may legitimately be used again
// afterwards.
type Tombstone struct {
	Job   identifier.JobKey `json:"job"`
	Until clock.ClusterTime `json:"until"`
}

const (
	// tombstoneLifetime is the maximum time that a request may be in flight, plus one
	// second.
	tombstoneLifetime clock.Millis = 31_000
	// maxTombstones bounds the tombstones kept at once.
	maxTombstones = 4096
	// maxTombstonesExpired bounds the tombstones that one command drops.
	maxTombstonesExpired = 64
)

// findTombstone returns the index of the job's tombstone, expired or not, or -1.
func (s *Store) findTombstone(key identifier.JobKey) int {
	return slices.IndexFunc(s.Tombstones, func(t Tombstone) bool { return t.Job == key })
}

// tombstoneRemaining returns for how long jobs of the id are still rejected, 0 if they
// are not.
func (s *Store) tombstoneRemaining(key identifier.JobKey) clock.Millis {
	i := s.findTombstone(key)
	if i < 0 {
		return 0
	}
	return max(0, clock.Millis(s.Tombstones[i].Until-s.Now))
}

// rejectUnknownCancel responds to a cancel that found no job.
func (s *Store) rejectUnknownCancel(key identifier.JobKey) Result {
	if s.Level >= ResendLevel && !s.addTombstone(key) {
		return retryLater(http.StatusServiceUnavailable, codeBusy, "too many ids are held back after cancels", retryAfterShortly)
	}
	return rejected(http.StatusNotFound, codeNoJob, "no such job")
}

// addTombstone adds or renews the job's tombstone; it returns false if there are too
// many.
func (s *Store) addTombstone(key identifier.JobKey) bool {
	s.expireTombstones()
	if i := s.findTombstone(key); i >= 0 {
		s.Tombstones = slices.Delete(s.Tombstones, i, i+1)
	}
	if len(s.Tombstones) >= maxTombstones {
		return false
	}
	until := s.Now.Add(tombstoneLifetime)
	s.Tombstones = append(s.Tombstones, Tombstone{Job: key, Until: until})
	s.foldChecksum(hashText(string(key)), uint64(until))
	return true
}

// expireTombstones drops expired tombstones, at most maxTombstonesExpired per call.
func (s *Store) expireTombstones() {
	expired := 0
	limit := min(len(s.Tombstones), maxTombstonesExpired)
	for expired < limit && s.Tombstones[expired].Until <= s.Now {
		expired++
	}
	s.Tombstones = s.Tombstones[expired:]
}

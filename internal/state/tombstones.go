// A cancel can overtake the submission that it is meant for. It then finds no
// job, and the submission, arriving after it, would run a job that its sender
// has long given up. So a cancel that finds no job holds the id back for a
// while: for longer than a gate lets a request be under way, and no longer, as
// the id may be used in earnest afterwards. Whoever does so sooner is told when.

package state

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// Tombstone is an id under which no job is accepted before its time is up.
type Tombstone struct {
	Job   identifier.JobKey `json:"job"`
	Until clock.ClusterTime `json:"until"`
}

const (
	// tombstoneLifetime is the longest budget of a request, and a second.
	tombstoneLifetime clock.Millis = 31_000
	// maxTombstones bounds the ids that are held back at once.
	maxTombstones int = 4096
	// maxTombstonesExpired bounds the holds that one command drops.
	maxTombstonesExpired int = 64
)

// findTombstone finds the id's hold, whether its time is up or not.
func (s *Store) findTombstone(key identifier.JobKey) (at int, ok bool) {
	for i := range s.Tombstones {
		if s.Tombstones[i].Job == key {
			return i, true
		}
	}
	return 0, false
}

// tombstoneRemaining is how long the id is yet held back, 0 where it is not.
func (s *Store) tombstoneRemaining(key identifier.JobKey) clock.Millis {
	i, ok := s.findTombstone(key)
	if !ok {
		return 0
	}
	return max(0, clock.Millis(s.Tombstones[i].Until-s.Now))
}

// rejectUnknownCancel answers a cancel that found no job.
func (s *Store) rejectUnknownCancel(key identifier.JobKey) Result {
	if s.Level >= ResendLevel && !s.addTombstone(key) {
		return Result{Status: 503, Code: "busy", Message: "too many ids are held back after cancels", RetryAfter: 1000}
	}
	return rejected(404, "no-job", "no such job")
}

// addTombstone keeps the id from now on; it fails when too many are held.
func (s *Store) addTombstone(key identifier.JobKey) bool {
	s.expireTombstones()
	if i, had := s.findTombstone(key); had {
		s.Tombstones = append(s.Tombstones[:i], s.Tombstones[i+1:]...)
	}
	if len(s.Tombstones) >= maxTombstones {
		return false
	}
	until := s.Now.Add(tombstoneLifetime)
	s.Tombstones = append(s.Tombstones, Tombstone{key, until})
	s.foldChecksum(hashText(string(key)), uint64(until))
	return true
}

// expireTombstones forgets holds whose time is up, a few with every command.
func (s *Store) expireTombstones() {
	n := 0
	for n < min(len(s.Tombstones), maxTombstonesExpired) && s.Tombstones[n].Until <= s.Now {
		n++
	}
	s.Tombstones = s.Tombstones[n:]
}

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
	// idHoldSpan is the longest budget of a request, and a second.
	idHoldSpan clock.Millis = 31_000
	// idHoldsMost bounds the ids that are held back at once.
	idHoldsMost int = 4096
	// idHoldsDropped bounds the holds that one command drops.
	idHoldsDropped int = 64
)

// held finds the id's hold, whether its time is up or not.
func (b *Store) held(key identifier.JobKey) (at int, ok bool) {
	for i := range b.Tombstones {
		if b.Tombstones[i].Job == key {
			return i, true
		}
	}
	return 0, false
}

// heldFor is how long the id is yet held back, 0 where it is not.
func (b *Store) heldFor(key identifier.JobKey) clock.Millis {
	i, ok := b.held(key)
	if !ok {
		return 0
	}
	return max(0, clock.Millis(b.Tombstones[i].Until-b.Now))
}

// holdBack answers a cancel that found no job.
func (b *Store) holdBack(key identifier.JobKey) Result {
	if b.Level >= ResendLevel && !b.hold(key) {
		return Result{Status: 503, Code: "busy", Message: "too many ids are held back after cancels", RetryAfter: 1000}
	}
	return refuse(404, "no-job", "no such job")
}

// hold keeps the id from now on; it fails when too many are held.
func (b *Store) hold(key identifier.JobKey) bool {
	b.dropHolds()
	if i, had := b.held(key); had {
		b.Tombstones = append(b.Tombstones[:i], b.Tombstones[i+1:]...)
	}
	if len(b.Tombstones) >= idHoldsMost {
		return false
	}
	until := b.Now.Add(idHoldSpan)
	b.Tombstones = append(b.Tombstones, Tombstone{key, until})
	b.fold(text(string(key)), uint64(until))
	return true
}

// dropHolds forgets holds whose time is up, a few with every command.
func (b *Store) dropHolds() {
	n := 0
	for n < min(len(b.Tombstones), idHoldsDropped) && b.Tombstones[n].Until <= b.Now {
		n++
	}
	b.Tombstones = b.Tombstones[n:]
}

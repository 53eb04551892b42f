// The sum runs along with the book: whatever an entry does to tasks, grants,
// closings, the table and the counters is folded into it, from level 1 on. Two
// books that were given the same entries and did not do the same part in it.

package state

import "hash/fnv"

// SupportedLevel is the level of commands and rules that this program knows.
const SupportedLevel uint16 = 4

// PolicyLevel is the level from which on a table may hold policies.
const PolicyLevel uint16 = 2

// CatalogLevel is the level from which on there are a catalogue, jobs for its
// queues, and agents.
const CatalogLevel uint16 = 3

// ResendLevel is the level from which on accepted changes of the catalogue are
// remembered by the thousand, a cancel holds back the id of a job that it does
// not find, and reopening a domain finds the closing in force.
const ResendLevel uint16 = 4

const fnvPrime = 1099511628211

func (s *Store) foldChecksum(list ...uint64) {
	if s.Level < 1 {
		return
	}
	for _, n := range list {
		s.Checksum = (s.Checksum ^ n) * fnvPrime
		s.Checksum ^= s.Checksum >> 29
	}
}

func hashText(word string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(word))
	return h.Sum64()
}

package state

import "hash/fnv"

// fnvPrime is the 64-bit prime of the FNV hash.
const fnvPrime = 1099511628211

// foldChecksum folds values into the running checksum. From ChecksumLevel on, every
// change that a command makes to tasks, leases, drains, the limits table, the catalogue
// and the counters is folded in, so that two stores that applied the same commands with
// different effects have different checksums.
func (s *Store) foldChecksum(values ...uint64) {
	if s.Level < ChecksumLevel {
		return
	}
	for _, value := range values {
		s.Checksum = (s.Checksum ^ value) * fnvPrime
		s.Checksum ^= s.Checksum >> 29
	}
}

// hashText returns the 64-bit FNV-1a hash of a text.
func hashText(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

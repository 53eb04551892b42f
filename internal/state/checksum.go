package state

import "hash/fnv"

// fnvPrime is the 64-bit prime of the FNV hash.
const fnvPrime = 1099511628211

// foldChecksum folds values into the running checksum. Whatever a command does to
// tasks, leases, drains, the limits table, the catalogue and the counters is folded,
// from ChecksumLevel on, so that two stores which were given the same commands and
// differ in what they made of them differ in their checksum.
func (s *Store) foldChecksum(values ...uint64) {
	if s.Level < ChecksumLevel {
		return
	}
	for _, value := range values {
		s.Checksum = (s.Checksum ^ value) * fnvPrime
		s.Checksum ^= s.Checksum >> 29
	}
}

// hashText is the 64-bit FNV-1a hash of a text.
func hashText(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

// Deduplication of changes. A change that was accepted and is sent again,
// because its answer was lost, must be recognised however many others were
// accepted since. The memory is bounded: what it had to forget is known by a
// horizon, so that a change which may have been accepted and forgotten can be
// told from one that certainly was not.

package catalog

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

const (
	// dedupMost bounds the remembered changes: more than three days of 1,200.
	dedupMost = 4096
	// formerMost is how many changes programs without Dedup remembered.
	formerMost = 64

	digestSize = 12
	recordSize = 8 + digestSize
)

// Dedup remembers the latest accepted changes. Versions only ever rise, so the
// records are in the order of their versions, and every forgotten version is at
// most the horizon.
type Dedup struct {
	// Records holds for each change its version and the digest of its content,
	// packed, oldest first.
	Records []byte `json:"records,omitempty"`
	// Horizon is the newest version that was forgotten, 0 for none.
	Horizon uint64 `json:"horizon,omitempty"`
}

// LegacyRecord is an accepted change as it was remembered before Dedup.
type LegacyRecord struct {
	Version  uint64 `json:"version"`
	Checksum string `json:"sum"`
}

type digest [digestSize]byte

// The kinds of change that a digest tells apart. Records taken over from former
// programs do not say which kind they were of.
const (
	kindFormer  = "former"
	kindReplace = "replace"
	kindPatch   = "patch"
)

func (ch *Change) kind() string {
	if ch.Whole {
		return kindReplace
	}
	return kindPatch
}

func makeDigest(kind, sum string) digest {
	var d digest
	full := sha256.Sum256([]byte(kind + " " + sum))
	copy(d[:], full[:])
	return d
}

// newDedup takes over what a former program remembered.
func newDedup(former []LegacyRecord) *Dedup {
	d := &Dedup{}
	for _, record := range former {
		d.add(record.Version, makeDigest(kindFormer, record.Checksum))
	}
	if len(former) >= formerMost {
		d.Horizon = former[0].Version - 1
	}
	return d
}

// Len is the number of remembered changes.
func (d *Dedup) Len() int { return len(d.Records) / recordSize }

func (d *Dedup) version(i int) uint64 {
	return binary.BigEndian.Uint64(d.Records[i*recordSize:])
}

func (d *Dedup) digest(i int) digest {
	var sum digest
	copy(sum[:], d.Records[i*recordSize+8:])
	return sum
}

// find looks the record of a version up.
func (d *Dedup) find(version uint64) (i int, ok bool) {
	low, high := 0, d.Len()
	for low < high {
		middle := (low + high) / 2
		if d.version(middle) < version {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low, low < d.Len() && d.version(low) == version
}

// has tells whether the change is remembered as accepted.
func (d *Dedup) has(ch *Change) bool {
	i, ok := d.find(ch.Version)
	if !ok {
		return false
	}
	known := d.digest(i)
	return known == makeDigest(ch.kind(), ch.Checksum) || known == makeDigest(kindFormer, ch.Checksum)
}

// mayHaveForgotten tells whether the change can have been accepted and
// forgotten since. A version at or below its own base was never accepted.
func (d *Dedup) mayHaveForgotten(ch *Change) bool {
	return ch.Base < ch.Version && ch.Version <= d.Horizon
}

// with is the memory after a change was accepted; the one it is called on
// stays as it is.
func (d *Dedup) with(ch *Change) *Dedup {
	out := &Dedup{Records: slices.Clone(d.Records), Horizon: d.Horizon}
	out.add(ch.Version, makeDigest(ch.kind(), ch.Checksum))
	return out
}

func (d *Dedup) add(version uint64, sum digest) {
	d.Records = binary.BigEndian.AppendUint64(d.Records, version)
	d.Records = append(d.Records, sum[:]...)
	for d.Len() > dedupMost {
		d.Horizon = d.version(0)
		d.Records = d.Records[recordSize:]
	}
}

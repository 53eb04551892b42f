package catalog

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"sort"
)

const (
	// maxRecords bounds the remembered changes: more than three days of 1,200.
	maxRecords = 4096
	// maxLegacyRecords is how many changes are remembered without a Dedup.
	maxLegacyRecords = 64

	versionSize = 8
	digestSize  = 12
	recordSize  = versionSize + digestSize
)

// Dedup remembers the latest accepted changes, so that one that is sent again because its
// answer was lost is recognised, however many others were accepted since. The memory is
// bounded: a change that may have been accepted and forgotten can be told from one that
// certainly was not accepted by the horizon. Versions only ever rise, so the records are
// in the order of their versions, and every forgotten version is at most the horizon.
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

// The kinds of change that a digest tells apart. Legacy records do not say which kind they
// are of. The texts are part of the digests in snapshots.
const (
	kindLegacy  = "former"
	kindReplace = "replace"
	kindPatch   = "patch"
)

func (c *Change) kind() string {
	if c.Whole {
		return kindReplace
	}
	return kindPatch
}

func newDigest(kind, checksum string) digest {
	hash := sha256.Sum256([]byte(kind + " " + checksum))
	return digest(hash[:digestSize])
}

// newDedup takes over legacy records. When there are as many as are kept, others may have
// been forgotten.
func newDedup(legacy []LegacyRecord) *Dedup {
	d := &Dedup{}
	for _, record := range legacy {
		d.add(record.Version, newDigest(kindLegacy, record.Checksum))
	}
	if len(legacy) >= maxLegacyRecords {
		d.Horizon = legacy[0].Version - 1
	}
	return d
}

// Len is the number of remembered changes.
func (d *Dedup) Len() int { return len(d.Records) / recordSize }

func (d *Dedup) version(i int) uint64 {
	return binary.BigEndian.Uint64(d.Records[i*recordSize:])
}

func (d *Dedup) digest(i int) digest {
	record := d.Records[i*recordSize : (i+1)*recordSize]
	return digest(record[versionSize:])
}

// find returns the position of a version's record.
func (d *Dedup) find(version uint64) (i int, ok bool) {
	i = sort.Search(d.Len(), func(i int) bool { return d.version(i) >= version })
	return i, i < d.Len() && d.version(i) == version
}

// has tells whether the change is remembered as accepted.
func (d *Dedup) has(change *Change) bool {
	i, ok := d.find(change.Version)
	if !ok {
		return false
	}
	known := d.digest(i)
	return known == newDigest(change.kind(), change.Checksum) || known == newDigest(kindLegacy, change.Checksum)
}

// mayHaveForgotten tells whether the change can have been accepted and forgotten since. A
// version at or below its own base was never accepted.
func (d *Dedup) mayHaveForgotten(change *Change) bool {
	return change.Base < change.Version && change.Version <= d.Horizon
}

// with is the memory after a change was accepted; the one it is called on stays as it is.
func (d *Dedup) with(change *Change) *Dedup {
	next := &Dedup{Records: slices.Clone(d.Records), Horizon: d.Horizon}
	next.add(change.Version, newDigest(change.kind(), change.Checksum))
	return next
}

// add adds a record and forgets the oldest ones above the bound.
func (d *Dedup) add(version uint64, content digest) {
	d.Records = binary.BigEndian.AppendUint64(d.Records, version)
	d.Records = append(d.Records, content[:]...)
	for d.Len() > maxRecords {
		d.Horizon = d.version(0)
		d.Records = d.Records[recordSize:]
	}
}

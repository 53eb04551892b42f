package catalog

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"sort"
)

const (
	// maxRecords bounds the recorded changes: more than three days at 1,200 changes a day.
	maxRecords = 4096
	// maxLegacyRecords bounds the recorded changes of a catalogue without a Dedup.
	maxLegacyRecords = 64

	versionSize = 8
	digestSize  = 12
	recordSize  = versionSize + digestSize
)

// Dedup records the latest accepted changes, so that a retry after a lost response is
// recognised, however many other changes were accepted in the meantime. The records are
// bounded; the horizon distinguishes a change that may have been accepted and discarded from
// one that was certainly not accepted. Versions only increase, so the records are ordered by
// version, and every discarded version is at most the horizon.
type Dedup struct {
	// Records holds the version and the content digest of each change, packed, oldest
	// first.
	Records []byte `json:"records,omitempty"`
	// Horizon is the newest version whose record was discarded, 0 for none.
	Horizon uint64 `json:"horizon,omitempty"`
}

// LegacyRecord is the record of an accepted change in the format used before Dedup.
type LegacyRecord struct {
	Version  uint64 `json:"version"`
	Checksum string `json:"sum"`
}

type digest [digestSize]byte

// The kinds of change that a digest distinguishes. Legacy records do not have the kind. The
// texts are part of the digests in snapshots, and so must not change.
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

// newDedup returns a Dedup with the legacy records. If their number has reached its bound,
// older ones may have been discarded.
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

// Len returns the number of recorded changes.
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

// has reports whether the change is recorded as accepted.
func (d *Dedup) has(change *Change) bool {
	i, ok := d.find(change.Version)
	if !ok {
		return false
	}
	known := d.digest(i)
	return known == newDigest(change.kind(), change.Checksum) || known == newDigest(kindLegacy, change.Checksum)
}

// mayHaveForgotten reports whether the change may have been accepted and its record
// discarded. A change whose version is not above its base was never accepted.
func (d *Dedup) mayHaveForgotten(change *Change) bool {
	return change.Base < change.Version && change.Version <= d.Horizon
}

// with returns a copy of the records with an accepted change added. It does not modify d.
func (d *Dedup) with(change *Change) *Dedup {
	next := &Dedup{Records: slices.Clone(d.Records), Horizon: d.Horizon}
	next.add(change.Version, newDigest(change.kind(), change.Checksum))
	return next
}

// add adds a record and discards the oldest ones above the bound.
func (d *Dedup) add(version uint64, content digest) {
	d.Records = binary.BigEndian.AppendUint64(d.Records, version)
	d.Records = append(d.Records, content[:]...)
	for d.Len() > maxRecords {
		d.Horizon = d.version(0)
		d.Records = d.Records[recordSize:]
	}
}

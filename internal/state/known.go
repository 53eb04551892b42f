// Known remembers the ids of jobs whose details are forgotten, so that a late
// resend never runs a job again. Records stay packed as they stand in the
// view, so that a day's ids cost a view no more than a copy, and leave in the
// order they came.

package state

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

type mark struct {
	key  [12]byte
	sum  [12]byte
	at   clock.ClusterTime
	gone clock.ClusterTime
	end  byte
}

const markSize = 12 + 12 + 8 + 8 + 1

// DedupCache is the cache that deduplicates requests: for every job whose details
// were dropped it keeps the hash of the key, the checksum of the content, when
// it was accepted and how it ended.
type DedupCache struct {
	blob []byte
	by   map[[12]byte]int
	off  int
}

func newKnown() *DedupCache { return &DedupCache{by: map[[12]byte]int{}} }

func short(text string) [12]byte {
	var h [12]byte
	full := sha256.Sum256([]byte(text))
	copy(h[:], full[:12])
	return h
}

var endCode = map[TaskState]byte{Succeeded: 1, Failed: 2, Cancelled: 3}
var endState = map[byte]TaskState{1: Succeeded, 2: Failed, 3: Cancelled}

func (k *DedupCache) add(j *Job, now clock.ClusterTime) {
	key, sum := short(string(j.Key)), short(j.Checksum)
	k.by[key] = k.off + k.Len()
	k.blob = append(append(k.blob, key[:]...), sum[:]...)
	k.blob = binary.LittleEndian.AppendUint64(k.blob, uint64(j.AcceptedAt))
	k.blob = binary.LittleEndian.AppendUint64(k.blob, uint64(now))
	k.blob = append(k.blob, endCode[j.EndState])
}

// at unpacks the i-th record.
func (k *DedupCache) at(i int) mark {
	var m mark
	b := k.blob[i*markSize:]
	copy(m.key[:], b)
	copy(m.sum[:], b[12:])
	m.at = clock.ClusterTime(binary.LittleEndian.Uint64(b[24:]))
	m.gone = clock.ClusterTime(binary.LittleEndian.Uint64(b[32:]))
	m.end = b[40]
	return m
}

func (k *DedupCache) get(key identifier.JobKey) (m mark, ok bool) {
	i, ok := k.by[short(string(key))]
	if !ok {
		return m, false
	}
	return k.at(i - k.off), true
}

// Len is the number of remembered jobs.
func (k *DedupCache) Len() int { return len(k.blob) / markSize }

func (k *DedupCache) drop(before clock.ClusterTime) {
	for n := 0; n < 16 && k.Len() > 0; n++ {
		m := k.at(0)
		if m.gone >= before {
			return
		}
		delete(k.by, m.key)
		k.blob = k.blob[markSize:]
		k.off++
	}
}

func (k *DedupCache) load(blob []byte) {
	*k = DedupCache{blob: append([]byte(nil), blob[:len(blob)/markSize*markSize]...), by: make(map[[12]byte]int, len(blob)/markSize)}
	for i := 0; i < k.Len(); i++ {
		var key [12]byte
		copy(key[:], k.blob[i*markSize:])
		k.by[key] = i
	}
}

// UnmarshalJSON reads the first version's views, which had the records inside
// the document.
func (k *DedupCache) UnmarshalJSON(text []byte) error {
	var blob []byte
	if err := json.Unmarshal(text, &blob); err != nil {
		return err
	}
	k.load(blob)
	return nil
}

// RememberedJob tells of a job that is only remembered by its id.
func (b *Store) RememberedJob(key identifier.JobKey) (at clock.ClusterTime, end TaskState, ok bool) {
	m, ok := b.Dedup.get(key)
	return m.at, endState[m.end], ok
}

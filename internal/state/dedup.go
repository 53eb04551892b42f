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

type dedupRecord struct {
	key        [12]byte
	checksum   [12]byte
	acceptedAt clock.ClusterTime
	droppedAt  clock.ClusterTime
	endCode    byte
}

const dedupRecordSize = 12 + 12 + 8 + 8 + 1

// DedupCache is the cache that deduplicates requests: for every job whose details
// were dropped it keeps the hash of the key, the checksum of the content, when
// it was accepted and how it ended.
type DedupCache struct {
	records   []byte
	positions map[[12]byte]int
	dropped   int
}

func newDedupCache() *DedupCache { return &DedupCache{positions: map[[12]byte]int{}} }

func shortHash(text string) [12]byte {
	var h [12]byte
	full := sha256.Sum256([]byte(text))
	copy(h[:], full[:12])
	return h
}

var endCodes = map[TaskState]byte{Succeeded: 1, Failed: 2, Cancelled: 3}
var endStates = map[byte]TaskState{1: Succeeded, 2: Failed, 3: Cancelled}

func (c *DedupCache) add(j *Job, now clock.ClusterTime) {
	key, checksum := shortHash(string(j.Key)), shortHash(j.Checksum)
	c.positions[key] = c.dropped + c.Len()
	c.records = append(append(c.records, key[:]...), checksum[:]...)
	c.records = binary.LittleEndian.AppendUint64(c.records, uint64(j.AcceptedAt))
	c.records = binary.LittleEndian.AppendUint64(c.records, uint64(now))
	c.records = append(c.records, endCodes[j.EndState])
}

// at unpacks the i-th record.
func (c *DedupCache) record(i int) dedupRecord {
	var record dedupRecord
	b := c.records[i*dedupRecordSize:]
	copy(record.key[:], b)
	copy(record.checksum[:], b[12:])
	record.acceptedAt = clock.ClusterTime(binary.LittleEndian.Uint64(b[24:]))
	record.droppedAt = clock.ClusterTime(binary.LittleEndian.Uint64(b[32:]))
	record.endCode = b[40]
	return record
}

func (c *DedupCache) lookup(key identifier.JobKey) (record dedupRecord, ok bool) {
	i, ok := c.positions[shortHash(string(key))]
	if !ok {
		return record, false
	}
	return c.record(i - c.dropped), true
}

// Len is the number of remembered jobs.
func (c *DedupCache) Len() int { return len(c.records) / dedupRecordSize }

func (c *DedupCache) expire(before clock.ClusterTime) {
	for n := 0; n < 16 && c.Len() > 0; n++ {
		record := c.record(0)
		if record.droppedAt >= before {
			return
		}
		delete(c.positions, record.key)
		c.records = c.records[dedupRecordSize:]
		c.dropped++
	}
}

func (c *DedupCache) load(records []byte) {
	*c = DedupCache{records: append([]byte(nil), records[:len(records)/dedupRecordSize*dedupRecordSize]...), positions: make(map[[12]byte]int, len(records)/dedupRecordSize)}
	for i := 0; i < c.Len(); i++ {
		var key [12]byte
		copy(key[:], c.records[i*dedupRecordSize:])
		c.positions[key] = i
	}
}

// UnmarshalJSON reads the first version's views, which had the records inside
// the document.
func (c *DedupCache) UnmarshalJSON(text []byte) error {
	var records []byte
	if err := json.Unmarshal(text, &records); err != nil {
		return err
	}
	c.load(records)
	return nil
}

// RememberedJob tells of a job that is only remembered by its id.
func (s *Store) RememberedJob(key identifier.JobKey) (at clock.ClusterTime, end TaskState, ok bool) {
	record, ok := s.Dedup.lookup(key)
	return record.acceptedAt, endStates[record.endCode], ok
}

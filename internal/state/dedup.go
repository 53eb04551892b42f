package state

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// shortHashSize is the number of bytes kept of a SHA-256 hash.
const shortHashSize = 12

type hash [shortHashSize]byte

// shortHash returns the first shortHashSize bytes of the text's SHA-256 hash.
func shortHash(text string) hash {
	full := sha256.Sum256([]byte(text))
	return hash(full[:shortHashSize])
}

// dedupRecord is what is remembered of a job whose details were dropped.
type dedupRecord struct {
	key        hash
	checksum   hash
	acceptedAt clock.ClusterTime
	droppedAt  clock.ClusterTime
	endCode    byte
}

// Offsets of the fields in a packed record. Times are little-endian.
const (
	dedupChecksumOffset = shortHashSize
	dedupAcceptedOffset = dedupChecksumOffset + shortHashSize
	dedupDroppedOffset  = dedupAcceptedOffset + 8
	dedupEndCodeOffset  = dedupDroppedOffset + 8
	dedupRecordSize     = dedupEndCodeOffset + 1
	maxRecordsExpired   = 16
)

// Codes of the final states of a job.
const (
	endCodeUnknown   byte = 0
	endCodeSucceeded byte = 1
	endCodeFailed    byte = 2
	endCodeCancelled byte = 3
)

func endCodeOf(taskState TaskState) byte {
	switch taskState {
	case Succeeded:
		return endCodeSucceeded
	case Failed:
		return endCodeFailed
	case Cancelled:
		return endCodeCancelled
	}
	return endCodeUnknown
}

// endState returns the final state of the job.
func (r *dedupRecord) endState() TaskState {
	switch r.endCode {
	case endCodeSucceeded:
		return Succeeded
	case endCodeFailed:
		return Failed
	case endCodeCancelled:
		return Cancelled
	}
	return ""
}

// DedupCache remembers the ids of jobs whose details were dropped, so that a late resend
// never runs a job again. Records are stored packed, in the format of a snapshot, so that
// snapshotting a day's ids costs no more than a copy. They are dropped in the order in
// which they were added.
type DedupCache struct {
	records []byte
	// positions maps each key to its record's sequence number, counted from the first
	// record ever added; dropped is the number of records dropped since then.
	positions map[hash]int
	dropped   int
}

func newDedupCache() *DedupCache { return &DedupCache{positions: map[hash]int{}} }

// Len returns the number of remembered jobs.
func (c *DedupCache) Len() int { return len(c.records) / dedupRecordSize }

// add remembers an ended job.
func (c *DedupCache) add(j *Job, now clock.ClusterTime) {
	key := shortHash(string(j.Key))
	checksum := shortHash(j.Checksum)
	c.positions[key] = c.dropped + c.Len()
	c.records = append(c.records, key[:]...)
	c.records = append(c.records, checksum[:]...)
	c.records = binary.LittleEndian.AppendUint64(c.records, uint64(j.AcceptedAt))
	c.records = binary.LittleEndian.AppendUint64(c.records, uint64(now))
	c.records = append(c.records, endCodeOf(j.EndState))
}

// record unpacks the i-th record, counted from the oldest one kept.
func (c *DedupCache) record(i int) dedupRecord {
	packed := c.records[i*dedupRecordSize : (i+1)*dedupRecordSize]
	return dedupRecord{
		key:        hash(packed[:dedupChecksumOffset]),
		checksum:   hash(packed[dedupChecksumOffset:dedupAcceptedOffset]),
		acceptedAt: clock.ClusterTime(binary.LittleEndian.Uint64(packed[dedupAcceptedOffset:])),
		droppedAt:  clock.ClusterTime(binary.LittleEndian.Uint64(packed[dedupDroppedOffset:])),
		endCode:    packed[dedupEndCodeOffset],
	}
}

func (c *DedupCache) lookup(key identifier.JobKey) (record dedupRecord, ok bool) {
	position, ok := c.positions[shortHash(string(key))]
	if !ok {
		return dedupRecord{}, false
	}
	return c.record(position - c.dropped), true
}

// expire drops the records of jobs whose details were dropped before the given time. Each
// call drops at most maxRecordsExpired of them.
func (c *DedupCache) expire(before clock.ClusterTime) {
	for range min(c.Len(), maxRecordsExpired) {
		oldest := c.record(0)
		if oldest.droppedAt >= before {
			return
		}
		delete(c.positions, oldest.key)
		c.records = c.records[dedupRecordSize:]
		c.dropped++
	}
}

// load replaces the content by packed records; an incomplete record at the end is
// ignored.
func (c *DedupCache) load(records []byte) {
	count := len(records) / dedupRecordSize
	c.records = append([]byte(nil), records[:count*dedupRecordSize]...)
	c.positions = make(map[hash]int, count)
	c.dropped = 0
	for i := range count {
		key := hash(c.records[i*dedupRecordSize:][:shortHashSize])
		c.positions[key] = i
	}
}

// UnmarshalJSON reads the records from a version 1 snapshot, which contained them in the
// JSON document.
func (c *DedupCache) UnmarshalJSON(text []byte) error {
	var records []byte
	if err := json.Unmarshal(text, &records); err != nil {
		return err
	}
	c.load(records)
	return nil
}

// RememberedJob returns when a job was accepted and how it ended, for a job of which only
// the id is still remembered.
func (s *Store) RememberedJob(key identifier.JobKey) (acceptedAt clock.ClusterTime, end TaskState, ok bool) {
	record, ok := s.Dedup.lookup(key)
	if !ok {
		return 0, "", false
	}
	return record.acceptedAt, record.endState(), true
}

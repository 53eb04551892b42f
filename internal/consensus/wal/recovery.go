package wal

import (
	"cmp"
	"slices"

	"github.com/go-faster/errors"

	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/raft"
)

// Recovered is the state read back from the disk.
type Recovered struct {
	HardState raft.HardState
	Snapshot  *raft.Snapshot
	// Entries are the entries after the snapshot, without gaps.
	Entries []raft.Entry
	// TornTail is set if a torn last record was dropped.
	TornTail bool
}

// Open opens an existing log and reads it back. Both results are nil if the disk contains
// no log. Open returns ErrDamaged on any corruption other than a torn last record.
func Open(d Disk, layout Layout) (*Log, *Recovered, error) {
	data, err := d.Read(snapshotFileName)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read snapshot")
	}
	if data == nil {
		return nil, nil, nil
	}
	snapshot, err := decodeSnapshot(data)
	if err != nil {
		return nil, nil, err
	}
	files, err := readFiles(d, layout)
	if err != nil {
		return nil, nil, err
	}
	l := &Log{
		disk:          d,
		layout:        layout,
		nextSeq:       1,
		lastIndexes:   make([]identifier.Index, layout.Files),
		snapshotIndex: snapshot.Index,
	}
	recovered := &Recovered{Snapshot: snapshot}
	if err = l.recover(files, recovered); err != nil {
		return nil, nil, err
	}
	return l, recovered, nil
}

func readFiles(d Disk, layout Layout) ([][]byte, error) {
	files := make([][]byte, layout.Files)
	for i := range files {
		data, err := d.Read(logFileName(i))
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", logFileName(i))
		}
		if len(data) != layout.Bytes {
			return nil, errors.Wrapf(ErrDamaged, "%s is missing or has the wrong size", logFileName(i))
		}
		files[i] = data
	}
	return files, nil
}

// locatedRecord is a valid record and its position.
type locatedRecord struct {
	file   int
	offset int
	seq    uint64
	body   []byte
}

// end returns the offset of the end of the record, including padding.
func (r locatedRecord) end() int { return r.offset + align(recordHeaderBytes+len(r.body)) }

func (r locatedRecord) decode() (raft.HardState, []raft.Entry, error) {
	hardState, entries, err := decodeBatch(r.body)
	if err != nil {
		return hardState, nil, errors.Wrapf(err, "%s at %d", logFileName(r.file), r.offset)
	}
	return hardState, entries, nil
}

// recover replays the records in order of their sequence numbers, starting after the last
// legitimate gap. A valid record after any other gap proves corruption rather than a torn
// tail.
func (l *Log) recover(files [][]byte, recovered *Recovered) error {
	records, err := l.dropOverwritten(findRecords(files))
	if err != nil || len(records) == 0 {
		return err
	}
	for _, r := range records {
		hardState, entries, err := r.decode()
		if err != nil {
			return err
		}
		recovered.HardState = hardState
		for _, e := range entries {
			l.lastIndexes[r.file] = max(l.lastIndexes[r.file], e.Index)
			if err = recovered.add(e); err != nil {
				return errors.Wrapf(err, "%s at %d", logFileName(r.file), r.offset)
			}
		}
	}
	last := records[len(records)-1]
	l.nextSeq = last.seq + 1
	l.file = last.file
	l.offset = last.end()
	l.hardState = recovered.HardState
	recovered.TornTail = l.hasTornRecord(files[l.file])
	return nil
}

// findRecords returns the valid records of all files in order of their sequence numbers.
func findRecords(files [][]byte) []locatedRecord {
	var records []locatedRecord
	for file, data := range files {
		for offset := 0; offset+recordHeaderBytes <= len(data); {
			seq, body, ok := decodeRecord(data[offset:])
			if !ok {
				offset += recordAlignment
				continue
			}
			r := locatedRecord{file, offset, seq, body}
			records = append(records, r)
			offset = r.end()
		}
	}
	slices.SortFunc(records, func(a, b locatedRecord) int { return cmp.Compare(a.seq, b.seq) })
	return records
}

// dropOverwritten returns the records after the last gap in the sequence numbers. It
// returns an error if a gap or a duplicate shows corruption.
func (l *Log) dropOverwritten(records []locatedRecord) ([]locatedRecord, error) {
	start := 0
	for i := 1; i < len(records); i++ {
		switch records[i].seq {
		case records[i-1].seq:
			return nil, errors.Wrapf(ErrDamaged, "record %d is stored twice", records[i].seq)
		case records[i-1].seq + 1:
			continue
		}
		if err := l.checkGap(records[start:i], records[i]); err != nil {
			return nil, err
		}
		start = i
	}
	return records[start:], nil
}

// checkGap returns an error unless a gap between records is legitimate. A file is
// overwritten from its beginning, so records at its end may remain from an earlier
// rotation. In that case the snapshot covers all entries before the gap.
func (l *Log) checkGap(before []locatedRecord, next locatedRecord) error {
	for _, r := range before {
		_, entries, err := r.decode()
		if err != nil {
			return err
		}
		for _, e := range entries {
			if e.Index > l.snapshotIndex {
				return errors.Wrapf(ErrDamaged, "%s: records before %d are missing, after entry %d", logFileName(next.file), next.seq, e.Index)
			}
		}
	}
	return nil
}

// hasTornRecord reports whether the next record was partly written: its sequence number is
// in place, but the record is not valid. A record from an earlier rotation in that place
// has a lower sequence number.
func (l *Log) hasTornRecord(file []byte) bool {
	if l.offset+recordHeaderBytes > len(file) {
		return false
	}
	seq, ok := decodeRecordSeq(file[l.offset:])
	return ok && seq == l.nextSeq
}

// add adds an entry at its index and removes any entries from that index on, which it
// replaces. Terms never decrease along a log, so an entry whose term is older than the
// snapshot's belongs to a tail that a leader's snapshot has replaced, and is ignored.
func (r *Recovered) add(e raft.Entry) error {
	base := r.Snapshot.Index
	if e.Index <= base {
		r.Entries = nil
		return nil
	}
	if e.Term < r.Snapshot.Term {
		return nil
	}
	position := int(e.Index - base - 1)
	if position > len(r.Entries) {
		return errors.Wrapf(ErrDamaged, "entry %d is missing", base+identifier.Index(len(r.Entries))+1)
	}
	r.Entries = append(r.Entries[:position], e)
	return nil
}

package wal

import (
	"fmt"

	"github.com/go-faster/errors"

	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/raft"
)

const (
	// maxRecordFraction limits a record of several entries to about 1/maxRecordFraction of
	// a file.
	maxRecordFraction = 4
	// entryOverheadBytes is an upper bound on the size of an entry in a record without its
	// data.
	entryOverheadBytes = 32
)

// Log is the write-ahead log of one member on disk. It is not safe for concurrent use,
// and after a disk error it must be reopened.
type Log struct {
	disk   Disk
	layout Layout
	// The next record has sequence number nextSeq and is written at offset in file.
	nextSeq uint64
	file    int
	offset  int
	// lastIndexes is the highest entry index in each file, 0 if the file has none.
	lastIndexes   []identifier.Index
	hardState     raft.HardState
	snapshotIndex identifier.Index
}

// logFileName returns the name of a log file on disk.
func logFileName(file int) string { return fmt.Sprintf("ring-%02d", file) }

// Create creates the files of a new log that starts from a snapshot.
func Create(d Disk, layout Layout, snapshot *raft.Snapshot) (*Log, error) {
	l := &Log{disk: d, layout: layout, lastIndexes: make([]identifier.Index, layout.Files), nextSeq: 1}
	for file := 0; file < layout.Files; file++ {
		if err := d.Create(logFileName(file), layout.Bytes); err != nil {
			return nil, errors.Wrapf(err, "create %s", logFileName(file))
		}
	}
	return l, l.saveSnapshot(snapshot)
}

// PercentUsed returns the percentage of the files that contain entries not covered by the
// snapshot. A new snapshot must be written before it reaches 100.
func (l *Log) PercentUsed() int {
	used := 0
	for _, index := range l.lastIndexes {
		if index > l.snapshotIndex {
			used++
		}
	}
	return used * 100 / l.layout.Files
}

// Save writes one batch and syncs it. The snapshot is written first, since the entries may
// follow it in the log. Save returns ErrFull if the batch does not fit.
func (l *Log) Save(w *raft.Write) error {
	if w.Snapshot != nil {
		if err := l.saveSnapshot(w.Snapshot); err != nil {
			return err
		}
	}
	if w.HardState != nil {
		l.hardState = *w.HardState
	}
	entries := w.Entries
	for {
		count := l.recordEntries(entries)
		if err := l.appendRecord(entries[:count]); err != nil {
			return err
		}
		entries = entries[count:]
		if len(entries) == 0 {
			return nil
		}
	}
}

// recordEntries returns how many of the entries the next record contains. The first entry
// is always included.
func (l *Log) recordEntries(entries []raft.Entry) int {
	bytes := 0
	for i, e := range entries {
		bytes += len(e.Data) + entryOverheadBytes
		if i > 0 && bytes >= l.layout.Bytes/maxRecordFraction {
			return i
		}
	}
	return len(entries)
}

// appendRecord writes the hard state and some entries as one record and syncs it.
func (l *Log) appendRecord(entries []raft.Entry) error {
	body := encodeBatch(l.hardState, entries)
	size := align(recordHeaderBytes + len(body))
	if size > l.layout.Bytes {
		return errors.Errorf("a batch of %d bytes is larger than a log file", len(body))
	}
	if l.offset+size > l.layout.Bytes {
		if err := l.rotate(); err != nil {
			return err
		}
	}
	record := make([]byte, size)
	copy(record, encodeRecord(l.nextSeq, body))
	if err := l.disk.Write(logFileName(l.file), l.offset, record); err != nil {
		return errors.Wrapf(err, "write %s", logFileName(l.file))
	}
	l.nextSeq++
	l.offset += size
	for _, e := range entries {
		l.lastIndexes[l.file] = max(l.lastIndexes[l.file], e.Index)
	}
	return nil
}

// rotate moves to the beginning of the next file. It returns ErrFull if that file contains
// entries not covered by the snapshot.
func (l *Log) rotate() error {
	next := (l.file + 1) % l.layout.Files
	if l.lastIndexes[next] > l.snapshotIndex {
		return errors.Wrapf(ErrFull, "%s contains entry %d, the snapshot covers entries up to %d", logFileName(next), l.lastIndexes[next], l.snapshotIndex)
	}
	l.file = next
	l.offset = 0
	l.lastIndexes[next] = 0
	return nil
}

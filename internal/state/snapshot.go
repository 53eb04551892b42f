package state

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"
)

// snapshotMagic is the prefix of a version 2 snapshot. It is followed by the length of
// the JSON document in four bytes, the document, and the packed records of the dedup
// cache. A version 1 snapshot consists of the document alone, which then contains the
// records.
const snapshotMagic = "OWVIEW2\n"

// snapshotLengthSize is the size of the length field in bytes.
const snapshotLengthSize = 4

// ErrTruncatedSnapshot is returned by Decode for a snapshot that is shorter than its
// header says.
var ErrTruncatedSnapshot = errors.New("snapshot is truncated")

// Encode returns a snapshot of the state.
func (s *Store) Encode() []byte {
	withoutDedup := *s
	withoutDedup.Dedup = nil
	document, err := json.Marshal(&withoutDedup)
	if err != nil {
		panic(fmt.Sprintf("state: the store must always encode: %v", err))
	}
	size := len(snapshotMagic) + snapshotLengthSize + len(document) + len(s.Dedup.records)
	snapshot := make([]byte, 0, size)
	snapshot = append(snapshot, snapshotMagic...)
	snapshot = binary.LittleEndian.AppendUint32(snapshot, uint32(len(document)))
	snapshot = append(snapshot, document...)
	return append(snapshot, s.Dedup.records...)
}

// Decode reads a snapshot of either version and rebuilds the indexes.
func Decode(snapshot []byte) (*Store, error) {
	document, records, err := splitSnapshot(snapshot)
	if err != nil {
		return nil, err
	}
	s := New()
	s.Limits = nil
	if err := json.Unmarshal(document, s); err != nil {
		return nil, err
	}
	if records != nil {
		s.Dedup.load(records)
	}
	s.rebuildIndexes()
	return s, nil
}

// splitSnapshot returns the document and the packed dedup records; the records are nil
// for a version 1 snapshot.
func splitSnapshot(snapshot []byte) (document, records []byte, err error) {
	rest, ok := bytes.CutPrefix(snapshot, []byte(snapshotMagic))
	if !ok {
		return snapshot, nil, nil
	}
	if len(rest) < snapshotLengthSize {
		return nil, nil, ErrTruncatedSnapshot
	}
	length := uint64(binary.LittleEndian.Uint32(rest))
	rest = rest[snapshotLengthSize:]
	if length > uint64(len(rest)) {
		return nil, nil, ErrTruncatedSnapshot
	}
	return rest[:length], rest[length:], nil
}

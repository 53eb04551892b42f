package wal

import (
	"encoding/binary"
	"encoding/json"

	"github.com/go-faster/errors"

	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/raft"
)

// The snapshot file is one record whose sequence number is the snapshot's index. Its body,
// in little-endian byte order, is the index (8 bytes), the term (8), the length of the
// member list (4), the member list as JSON, and the state.
const (
	snapshotFileName      = "view"
	snapshotTermOffset    = 8
	snapshotMembersOffset = 16
	snapshotHeaderBytes   = 20
)

func (l *Log) saveSnapshot(s *raft.Snapshot) error {
	if err := l.disk.Replace(snapshotFileName, encodeSnapshot(s)); err != nil {
		return errors.Wrap(err, "write snapshot")
	}
	l.snapshotIndex = s.Index
	return nil
}

func encodeSnapshot(s *raft.Snapshot) []byte {
	members, err := json.Marshal(s.Members)
	if err != nil {
		panic("wal: cannot encode member list: " + err.Error())
	}
	body := binary.LittleEndian.AppendUint64(nil, uint64(s.Index))
	body = binary.LittleEndian.AppendUint64(body, uint64(s.Term))
	body = binary.LittleEndian.AppendUint32(body, uint32(len(members)))
	body = append(body, members...)
	body = append(body, s.Data...)
	return encodeRecord(uint64(s.Index), body)
}

func decodeSnapshot(data []byte) (*raft.Snapshot, error) {
	_, body, ok := decodeRecord(data)
	if !ok || len(body) < snapshotHeaderBytes {
		return nil, errors.Wrap(ErrDamaged, "snapshot file")
	}
	membersBytes := int(binary.LittleEndian.Uint32(body[snapshotMembersOffset:]))
	rest := body[snapshotHeaderBytes:]
	if membersBytes > len(rest) {
		return nil, errors.Wrap(ErrDamaged, "snapshot file")
	}
	s := &raft.Snapshot{
		Index: identifier.Index(binary.LittleEndian.Uint64(body)),
		Term:  identifier.Term(binary.LittleEndian.Uint64(body[snapshotTermOffset:])),
		Data:  rest[membersBytes:],
	}
	if err := json.Unmarshal(rest[:membersBytes], &s.Members); err != nil {
		return nil, errors.Wrapf(ErrDamaged, "snapshot file: %v", err)
	}
	return s, nil
}

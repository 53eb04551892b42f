// The view file: one checksummed record, put in place whole.

package wal

import (
	"encoding/binary"
	"encoding/json"

	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/raft"

	"github.com/go-faster/errors"
)

func (r *Log) saveSnapshot(v *raft.Snapshot) error {
	if err := r.disk.Replace(snapshotFileName, encodeSnapshot(v)); err != nil {
		return errors.Wrap(err, "view")
	}
	r.snapshotIndex = v.Index
	return nil
}

// encodeSnapshot puts a view into the form its file has.
func encodeSnapshot(v *raft.Snapshot) []byte {
	list, err := json.Marshal(v.Members)
	if err != nil {
		panic(err)
	}
	body := binary.LittleEndian.AppendUint64(nil, uint64(v.Index))
	body = binary.LittleEndian.AppendUint64(body, uint64(v.Term))
	body = binary.LittleEndian.AppendUint32(body, uint32(len(list)))
	return encodeRecord(uint64(v.Index), append(append(body, list...), v.Data...))
}

func decodeSnapshot(data []byte) (*raft.Snapshot, error) {
	_, body, ok := decodeRecord(data)
	if !ok || len(body) < 20 {
		return nil, errors.New("view file is damaged")
	}
	v := &raft.Snapshot{Index: identifier.Index(binary.LittleEndian.Uint64(body)), Term: identifier.Term(binary.LittleEndian.Uint64(body[8:]))}
	n := int(binary.LittleEndian.Uint32(body[16:]))
	if n > len(body)-20 {
		return nil, errors.New("view file is damaged")
	}
	if err := json.Unmarshal(body[20:20+n], &v.Members); err != nil {
		return nil, errors.Wrap(err, "view file is damaged")
	}
	v.Data = body[20+n:]
	return v, nil
}

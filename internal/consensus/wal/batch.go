package wal

import (
	"encoding/binary"

	"github.com/go-faster/errors"

	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/raft"
)

// The body of a record is a batch in little-endian byte order: the hard state's term
// (8 bytes) and vote (8), the number of entries (4), and for each entry its index (8),
// term (8), kind (1), data length (4) and data.
const (
	batchVoteOffset  = 8
	batchCountOffset = 16
	batchHeaderBytes = 20

	entryTermOffset   = 8
	entryKindOffset   = 16
	entryLengthOffset = 17
	entryHeaderBytes  = 21
)

var errMalformedBatch = errors.Wrap(ErrDamaged, "malformed record body")

func encodeBatch(h raft.HardState, entries []raft.Entry) []byte {
	var body []byte
	body = binary.LittleEndian.AppendUint64(body, uint64(h.Term))
	body = binary.LittleEndian.AppendUint64(body, uint64(h.Vote))
	body = binary.LittleEndian.AppendUint32(body, uint32(len(entries)))
	for _, e := range entries {
		body = binary.LittleEndian.AppendUint64(body, uint64(e.Index))
		body = binary.LittleEndian.AppendUint64(body, uint64(e.Term))
		body = append(body, byte(e.Kind))
		body = binary.LittleEndian.AppendUint32(body, uint32(len(e.Data)))
		body = append(body, e.Data...)
	}
	return body
}

func decodeBatch(body []byte) (raft.HardState, []raft.Entry, error) {
	if len(body) < batchHeaderBytes {
		return raft.HardState{}, nil, errMalformedBatch
	}
	hardState := raft.HardState{
		Term: identifier.Term(binary.LittleEndian.Uint64(body)),
		Vote: identifier.Node(binary.LittleEndian.Uint64(body[batchVoteOffset:])),
	}
	count := int(binary.LittleEndian.Uint32(body[batchCountOffset:]))
	rest := body[batchHeaderBytes:]
	var entries []raft.Entry
	for i := 0; i < count; i++ {
		e, remaining, ok := decodeEntry(rest)
		if !ok {
			return hardState, nil, errMalformedBatch
		}
		entries = append(entries, e)
		rest = remaining
	}
	if len(rest) > 0 {
		return hardState, nil, errMalformedBatch
	}
	return hardState, entries, nil
}

// decodeEntry decodes the entry at the beginning of data and returns the data that follows
// it; ok is false if the entry is truncated.
func decodeEntry(data []byte) (e raft.Entry, rest []byte, ok bool) {
	if len(data) < entryHeaderBytes {
		return raft.Entry{}, nil, false
	}
	dataBytes := int(binary.LittleEndian.Uint32(data[entryLengthOffset:]))
	rest = data[entryHeaderBytes:]
	if dataBytes > len(rest) {
		return raft.Entry{}, nil, false
	}
	e = raft.Entry{
		Index: identifier.Index(binary.LittleEndian.Uint64(data)),
		Term:  identifier.Term(binary.LittleEndian.Uint64(data[entryTermOffset:])),
		Kind:  raft.EntryKind(data[entryKindOffset]),
		Data:  append([]byte(nil), rest[:dataBytes]...),
	}
	return e, rest[dataBytes:], true
}

// Package wal keeps the log on disk in a ring of preallocated files. Every
// batch is one record, written and synced before the next, so that a torn tail
// can be told from damage: nothing valid ever lies behind a torn record.
package wal

import (
	"encoding/binary"
	"hash/crc32"

	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/raft"

	"github.com/go-faster/errors"
)

const (
	recordMagic = 0x4f524b31
	headerBytes = 24
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeRecord frames a record: magic, length, number, checksum, body.
func encodeRecord(seq uint64, body []byte) []byte {
	out := make([]byte, headerBytes+len(body))
	binary.LittleEndian.PutUint32(out[0:], recordMagic)
	binary.LittleEndian.PutUint32(out[4:], uint32(len(body)))
	binary.LittleEndian.PutUint64(out[8:], seq)
	copy(out[headerBytes:], body)
	binary.LittleEndian.PutUint32(out[16:], recordChecksum(out))
	return out
}

// recordChecksum covers the head, but for its own place, and the body.
func recordChecksum(rec []byte) uint32 {
	c := crc32.Update(0, castagnoli, rec[:16])
	return crc32.Update(c, castagnoli, rec[20:])
}

// open reads the record at the start of buf.
func decodeRecord(buf []byte) (seq uint64, body []byte, ok bool) {
	if len(buf) < headerBytes || binary.LittleEndian.Uint32(buf) != recordMagic {
		return 0, nil, false
	}
	size := int(binary.LittleEndian.Uint32(buf[4:]))
	if size > len(buf)-headerBytes {
		return 0, nil, false
	}
	rec := buf[:headerBytes+size]
	if binary.LittleEndian.Uint32(rec[16:]) != recordChecksum(rec) {
		return 0, nil, false
	}
	return binary.LittleEndian.Uint64(rec[8:]), rec[headerBytes:], true
}

// A batch's body: the hard state, always, then entries.
func encodeBatch(h raft.HardState, list []raft.Entry) []byte {
	var out []byte
	out = binary.LittleEndian.AppendUint64(out, uint64(h.Term))
	out = binary.LittleEndian.AppendUint64(out, uint64(h.Vote))
	out = binary.LittleEndian.AppendUint32(out, uint32(len(list)))
	for _, e := range list {
		out = binary.LittleEndian.AppendUint64(out, uint64(e.Index))
		out = binary.LittleEndian.AppendUint64(out, uint64(e.Term))
		out = append(out, byte(e.Kind))
		out = binary.LittleEndian.AppendUint32(out, uint32(len(e.Data)))
		out = append(out, e.Data...)
	}
	return out
}

var errMalformedBatch = errors.New("record body does not parse")

func decodeBatch(buf []byte) (h raft.HardState, list []raft.Entry, err error) {
	if len(buf) < 20 {
		return h, nil, errMalformedBatch
	}
	h.Term = identifier.Term(binary.LittleEndian.Uint64(buf))
	h.Vote = identifier.Node(binary.LittleEndian.Uint64(buf[8:]))
	n := int(binary.LittleEndian.Uint32(buf[16:]))
	buf = buf[20:]
	for ; n > 0; n-- {
		if len(buf) < 21 {
			return h, nil, errMalformedBatch
		}
		e := raft.Entry{Index: identifier.Index(binary.LittleEndian.Uint64(buf)), Term: identifier.Term(binary.LittleEndian.Uint64(buf[8:])), Kind: raft.EntryKind(buf[16])}
		size := int(binary.LittleEndian.Uint32(buf[17:]))
		buf = buf[21:]
		if size > len(buf) {
			return h, nil, errMalformedBatch
		}
		e.Data = append([]byte(nil), buf[:size]...)
		buf = buf[size:]
		list = append(list, e)
	}
	if len(buf) > 0 {
		return h, nil, errMalformedBatch
	}
	return h, list, nil
}

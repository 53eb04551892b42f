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
	magic = 0x4f524b31
	head  = 24
)

var table = crc32.MakeTable(crc32.Castagnoli)

// seal frames a record: magic, length, number, checksum, body.
func seal(seq uint64, body []byte) []byte {
	out := make([]byte, head+len(body))
	binary.LittleEndian.PutUint32(out[0:], magic)
	binary.LittleEndian.PutUint32(out[4:], uint32(len(body)))
	binary.LittleEndian.PutUint64(out[8:], seq)
	copy(out[head:], body)
	binary.LittleEndian.PutUint32(out[16:], sum(out))
	return out
}

// sum covers the head, but for its own place, and the body.
func sum(rec []byte) uint32 {
	c := crc32.Update(0, table, rec[:16])
	return crc32.Update(c, table, rec[20:])
}

// open reads the record at the start of buf.
func open(buf []byte) (seq uint64, body []byte, ok bool) {
	if len(buf) < head || binary.LittleEndian.Uint32(buf) != magic {
		return 0, nil, false
	}
	size := int(binary.LittleEndian.Uint32(buf[4:]))
	if size > len(buf)-head {
		return 0, nil, false
	}
	rec := buf[:head+size]
	if binary.LittleEndian.Uint32(rec[16:]) != sum(rec) {
		return 0, nil, false
	}
	return binary.LittleEndian.Uint64(rec[8:]), rec[head:], true
}

// A batch's body: the hard state, always, then entries.
func encode(h raft.HardState, list []raft.Entry) []byte {
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

var errBody = errors.New("record body does not parse")

func decode(buf []byte) (h raft.HardState, list []raft.Entry, err error) {
	if len(buf) < 20 {
		return h, nil, errBody
	}
	h.Term = identifier.Term(binary.LittleEndian.Uint64(buf))
	h.Vote = identifier.Node(binary.LittleEndian.Uint64(buf[8:]))
	n := int(binary.LittleEndian.Uint32(buf[16:]))
	buf = buf[20:]
	for ; n > 0; n-- {
		if len(buf) < 21 {
			return h, nil, errBody
		}
		e := raft.Entry{Index: identifier.Index(binary.LittleEndian.Uint64(buf)), Term: identifier.Term(binary.LittleEndian.Uint64(buf[8:])), Kind: raft.EntryKind(buf[16])}
		size := int(binary.LittleEndian.Uint32(buf[17:]))
		buf = buf[21:]
		if size > len(buf) {
			return h, nil, errBody
		}
		e.Data = append([]byte(nil), buf[:size]...)
		buf = buf[size:]
		list = append(list, e)
	}
	if len(buf) > 0 {
		return h, nil, errBody
	}
	return h, list, nil
}

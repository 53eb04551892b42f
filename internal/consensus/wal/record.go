package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// A record consists of a header and a body. The header, in little-endian byte order, is
// the magic number (4 bytes), the length of the body (4), the record's sequence number
// (8), the CRC-32C (4) of the record without the checksum itself, and four zero bytes.
const (
	recordMagic       = 0x4f524b31
	recordHeaderBytes = 24
	lengthOffset      = 4
	seqOffset         = 8
	checksumOffset    = 16
	checksumEnd       = 20
	// recordAlignment is the alignment of record offsets within a file.
	recordAlignment = 8
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func encodeRecord(seq uint64, body []byte) []byte {
	record := make([]byte, recordHeaderBytes+len(body))
	binary.LittleEndian.PutUint32(record, recordMagic)
	binary.LittleEndian.PutUint32(record[lengthOffset:], uint32(len(body)))
	binary.LittleEndian.PutUint64(record[seqOffset:], seq)
	copy(record[recordHeaderBytes:], body)
	binary.LittleEndian.PutUint32(record[checksumOffset:], recordChecksum(record))
	return record
}

// recordChecksum returns the checksum of the header, without the checksum itself, and the
// body.
func recordChecksum(record []byte) uint32 {
	checksum := crc32.Update(0, castagnoli, record[:checksumOffset])
	return crc32.Update(checksum, castagnoli, record[checksumEnd:])
}

// decodeRecord decodes the record at the beginning of data; ok is false if there is no
// valid record.
func decodeRecord(data []byte) (seq uint64, body []byte, ok bool) {
	if seq, ok = decodeRecordSeq(data); !ok {
		return 0, nil, false
	}
	bodyBytes := int(binary.LittleEndian.Uint32(data[lengthOffset:]))
	if bodyBytes > len(data)-recordHeaderBytes {
		return 0, nil, false
	}
	record := data[:recordHeaderBytes+bodyBytes]
	if binary.LittleEndian.Uint32(record[checksumOffset:]) != recordChecksum(record) {
		return 0, nil, false
	}
	return seq, record[recordHeaderBytes:], true
}

// decodeRecordSeq decodes the sequence number of the record at the beginning of data,
// whether or not the rest of the record is valid; ok is false if no record begins there.
func decodeRecordSeq(data []byte) (seq uint64, ok bool) {
	if len(data) < recordHeaderBytes || binary.LittleEndian.Uint32(data) != recordMagic {
		return 0, false
	}
	return binary.LittleEndian.Uint64(data[seqOffset:]), true
}

// align rounds the size of a record up to the record alignment.
func align(bytes int) int { return (bytes + recordAlignment - 1) &^ (recordAlignment - 1) }

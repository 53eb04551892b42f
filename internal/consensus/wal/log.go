// Ring writes batches round and round its files, and on opening reads them
// back. A file may be written over once the view covers every entry in it.

package wal

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"sort"

	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/raft"

	"github.com/go-faster/errors"
)

// Layout is how many files of what size the ring has.
type Layout struct {
	Files int
	Bytes int
}

// Log is the write-ahead log of one member on disk: a fixed number of
// preallocated files, written in rotation, and a file that holds the newest
// snapshot. It is not safe for concurrent use, and after an error from its disk
// it must be opened anew.
type Log struct {
	disk          Disk
	layout        Layout
	nextSeq       uint64
	file          int
	offset        int
	lastIndexes   []identifier.Index
	hardState     raft.HardState
	snapshotIndex identifier.Index
	Node          identifier.Node
}

// Recovered is what the disk held.
type Recovered struct {
	HardState raft.HardState
	Snapshot  *raft.Snapshot
	Entries   []raft.Entry
	// TornTail tells that a torn last record was dropped.
	TornTail bool
}

// identityFile is the identity file: who this folder is, and that it was founded.
type identityFile struct {
	Node  string `json:"who"`
	Files int    `json:"files"`
	Bytes int    `json:"bytes"`
}

const (
	snapshotFileName = "view"
	identityFileName = "identity"
)

func logFileName(i int) string { return fmt.Sprintf("ring-%02d", i) }

// Identity reads the folder's identity, or gives it the one offered.
func Identity(d Disk, offer identifier.Node, shape Layout) (who identifier.Node, kept Layout, err error) {
	data, err := d.Read(identityFileName)
	if err != nil {
		return 0, shape, errors.Wrap(err, "identity")
	}
	if data == nil {
		data, err = json.Marshal(identityFile{offer.String(), shape.Files, shape.Bytes})
		if err != nil {
			panic(err)
		}
		if err = d.Replace(identityFileName, data); err != nil {
			return 0, shape, errors.Wrap(err, "identity")
		}
		return offer, shape, nil
	}
	var p identityFile
	if err = json.Unmarshal(data, &p); err != nil {
		return 0, shape, errors.Wrap(err, "identity file is damaged")
	}
	who, ok := identifier.ParseNode(p.Node)
	if !ok || p.Files < 2 || p.Bytes < 4096 {
		return 0, shape, errors.New("identity file is damaged")
	}
	return who, Layout{p.Files, p.Bytes}, nil
}

// Create lays out a new ring with the founding view.
func Create(d Disk, shape Layout, v *raft.Snapshot) (*Log, error) {
	r := &Log{disk: d, layout: shape, lastIndexes: make([]identifier.Index, shape.Files), nextSeq: 1}
	for i := 0; i < shape.Files; i++ {
		if err := d.Create(logFileName(i), shape.Bytes); err != nil {
			return nil, errors.Wrap(err, "ring")
		}
	}
	return r, r.saveSnapshot(v)
}

// Open reads a ring back; found is nil when the folder holds none.
func Open(d Disk, shape Layout) (r *Log, found *Recovered, err error) {
	data, err := d.Read(snapshotFileName)
	if err != nil {
		return nil, nil, errors.Wrap(err, "view")
	}
	if data == nil {
		return nil, nil, nil
	}
	v, err := decodeSnapshot(data)
	if err != nil {
		return nil, nil, err
	}
	r = &Log{disk: d, layout: shape, lastIndexes: make([]identifier.Index, shape.Files), snapshotIndex: v.Index}
	found = &Recovered{Snapshot: v}
	files := make([][]byte, shape.Files)
	for i := range files {
		if files[i], err = d.Read(logFileName(i)); err != nil {
			return nil, nil, errors.Wrap(err, logFileName(i))
		}
		if len(files[i]) != shape.Bytes {
			return nil, nil, errors.Errorf("%s is missing or has the wrong size", logFileName(i))
		}
	}
	return r, found, r.recoverRecords(files, found)
}

type locatedRecord struct {
	file, offset int
	seq          uint64
	body         []byte
}

// recoverRecords walks the records in the order of their numbers and stops at the first
// gap; whatever valid lies behind a gap proves damage, not a torn tail.
func (r *Log) recoverRecords(files [][]byte, found *Recovered) error {
	all := []locatedRecord{}
	for i, buf := range files {
		for off := 0; off+headerBytes <= len(buf); {
			seq, body, ok := decodeRecord(buf[off:])
			if !ok {
				off += 8
				continue
			}
			all = append(all, locatedRecord{i, off, seq, body})
			off += align(headerBytes + len(body))
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].seq < all[j].seq })
	r.nextSeq = 1
	if len(all) == 0 {
		return nil
	}
	for i := 1; i < len(all); i++ {
		if all[i].seq == all[i-1].seq {
			return errors.Errorf("ring: record %d stands twice", all[i].seq)
		}
		if all[i].seq != all[i-1].seq+1 {
			if err := r.checkGap(all[:i], all[i]); err != nil {
				return err
			}
			all = all[i:]
			i = 0
		}
	}
	for _, s := range all {
		h, list, err := decodeBatch(s.body)
		if err != nil {
			return errors.Wrapf(err, "%s at %d", logFileName(s.file), s.offset)
		}
		found.HardState = h
		for _, e := range list {
			r.lastIndexes[s.file] = max(r.lastIndexes[s.file], e.Index)
			if err = found.add(e); err != nil {
				return errors.Wrapf(err, "%s at %d", logFileName(s.file), s.offset)
			}
		}
		r.nextSeq, r.file, r.offset = s.seq+1, s.file, s.offset+align(headerBytes+len(s.body))
	}
	r.hardState = found.HardState
	found.TornTail = r.tornTail(files[r.file])
	return nil
}

// checkGap judges a hole in the numbers. Records of a file's former lap are
// overwritten from its front, so a hole is sound only if the view covers all
// that stands before it.
func (r *Log) checkGap(old []locatedRecord, next locatedRecord) error {
	for _, s := range old {
		_, list, err := decodeBatch(s.body)
		if err != nil {
			return errors.Wrapf(err, "%s at %d", logFileName(s.file), s.offset)
		}
		for _, e := range list {
			if e.Index > r.snapshotIndex {
				return errors.Errorf("ring: records before %d in %s are damaged: entry %d follows a gap", next.seq, logFileName(next.file), e.Index)
			}
		}
	}
	return nil
}

// tornTail tells whether the next record was begun: its number stands there, but
// the record does not hold. What a former lap left there has an older number.
func (r *Log) tornTail(buf []byte) bool {
	if r.offset+headerBytes > len(buf) || binary.LittleEndian.Uint32(buf[r.offset:]) != recordMagic {
		return false
	}
	return binary.LittleEndian.Uint64(buf[r.offset+8:]) == r.nextSeq
}

// add puts an entry where it belongs; a later record replaces a tail. Terms
// never fall along a log: an entry older than the view belongs to a tail that
// a view from the leader has replaced.
func (f *Recovered) add(e raft.Entry) error {
	base := f.Snapshot.Index
	switch {
	case e.Index <= base:
		f.Entries = nil
		return nil
	case e.Term < f.Snapshot.Term:
		return nil
	}
	at := int(e.Index - base - 1)
	if at > len(f.Entries) {
		return errors.Errorf("ring: entry %d is missing", base+identifier.Index(len(f.Entries))+1)
	}
	f.Entries = append(f.Entries[:at], e)
	return nil
}

func align(n int) int { return (n + 7) &^ 7 }

// PercentUsed tells how much of the ring holds entries the view doesn't cover, in
// percent; the keeper takes a view in time.
func (r *Log) PercentUsed() int {
	n := 0
	for _, h := range r.lastIndexes {
		if h > r.snapshotIndex {
			n++
		}
	}
	return n * 100 / r.layout.Files
}

// Save makes one batch last. The view goes first: entries may rest on it.
func (r *Log) Save(w *raft.Write) error {
	if w.Snapshot != nil {
		if err := r.saveSnapshot(w.Snapshot); err != nil {
			return err
		}
	}
	if w.HardState != nil {
		r.hardState = *w.HardState
	}
	list := w.Entries
	for first := true; first || len(list) > 0; first = false {
		part, size := 0, 0
		for part < len(list) && (part == 0 || size+len(list[part].Data)+32 < r.layout.Bytes/4) {
			size += len(list[part].Data) + 32
			part++
		}
		if err := r.appendRecord(list[:part]); err != nil {
			return err
		}
		list = list[part:]
	}
	return nil
}

func (r *Log) appendRecord(list []raft.Entry) error {
	body := encodeBatch(r.hardState, list)
	if align(headerBytes+len(body)) > r.layout.Bytes {
		return errors.Errorf("ring: a batch of %d bytes is larger than a file", len(body))
	}
	if r.offset+align(headerBytes+len(body)) > r.layout.Bytes {
		next := (r.file + 1) % r.layout.Files
		if r.lastIndexes[next] > r.snapshotIndex {
			return errors.New("ring: full, and the view is not far enough along")
		}
		r.file, r.offset, r.lastIndexes[next] = next, 0, 0
	}
	rec := make([]byte, align(headerBytes+len(body)))
	copy(rec, encodeRecord(r.nextSeq, body))
	if err := r.disk.Write(logFileName(r.file), r.offset, rec); err != nil {
		return errors.Wrap(err, "ring")
	}
	r.nextSeq++
	r.offset += len(rec)
	for _, e := range list {
		r.lastIndexes[r.file] = max(r.lastIndexes[r.file], e.Index)
	}
	return nil
}

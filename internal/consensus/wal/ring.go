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
	disk  Disk
	shape Layout
	seq   uint64
	at    int
	off   int
	high  []identifier.Index
	hard  raft.HardState
	view  identifier.Index
	Node  identifier.Node
}

// Recovered is what the disk held.
type Recovered struct {
	HardState raft.HardState
	Snapshot  *raft.Snapshot
	Entries   []raft.Entry
	// TornTail tells that a torn last record was dropped.
	TornTail bool
}

// paper is the identity file: who this folder is, and that it was founded.
type paper struct {
	Who   string `json:"who"`
	Files int    `json:"files"`
	Bytes int    `json:"bytes"`
}

const (
	viewName = "view"
	whoName  = "identity"
)

func fileName(i int) string { return fmt.Sprintf("ring-%02d", i) }

// Identity reads the folder's identity, or gives it the one offered.
func Identity(d Disk, offer identifier.Node, shape Layout) (who identifier.Node, kept Layout, err error) {
	data, err := d.Read(whoName)
	if err != nil {
		return 0, shape, errors.Wrap(err, "identity")
	}
	if data == nil {
		data, err = json.Marshal(paper{offer.String(), shape.Files, shape.Bytes})
		if err != nil {
			panic(err)
		}
		if err = d.Replace(whoName, data); err != nil {
			return 0, shape, errors.Wrap(err, "identity")
		}
		return offer, shape, nil
	}
	var p paper
	if err = json.Unmarshal(data, &p); err != nil {
		return 0, shape, errors.Wrap(err, "identity file is damaged")
	}
	who, ok := identifier.ParseNode(p.Who)
	if !ok || p.Files < 2 || p.Bytes < 4096 {
		return 0, shape, errors.New("identity file is damaged")
	}
	return who, Layout{p.Files, p.Bytes}, nil
}

// Create lays out a new ring with the founding view.
func Create(d Disk, shape Layout, v *raft.Snapshot) (*Log, error) {
	r := &Log{disk: d, shape: shape, high: make([]identifier.Index, shape.Files), seq: 1}
	for i := 0; i < shape.Files; i++ {
		if err := d.Create(fileName(i), shape.Bytes); err != nil {
			return nil, errors.Wrap(err, "ring")
		}
	}
	return r, r.saveView(v)
}

// Open reads a ring back; found is nil when the folder holds none.
func Open(d Disk, shape Layout) (r *Log, found *Recovered, err error) {
	data, err := d.Read(viewName)
	if err != nil {
		return nil, nil, errors.Wrap(err, "view")
	}
	if data == nil {
		return nil, nil, nil
	}
	v, err := readView(data)
	if err != nil {
		return nil, nil, err
	}
	r = &Log{disk: d, shape: shape, high: make([]identifier.Index, shape.Files), view: v.Index}
	found = &Recovered{Snapshot: v}
	files := make([][]byte, shape.Files)
	for i := range files {
		if files[i], err = d.Read(fileName(i)); err != nil {
			return nil, nil, errors.Wrap(err, fileName(i))
		}
		if len(files[i]) != shape.Bytes {
			return nil, nil, errors.Errorf("%s is missing or has the wrong size", fileName(i))
		}
	}
	return r, found, r.read(files, found)
}

type spot struct {
	file, off int
	seq       uint64
	body      []byte
}

// read walks the records in the order of their numbers and stops at the first
// gap; whatever valid lies behind a gap proves damage, not a torn tail.
func (r *Log) read(files [][]byte, found *Recovered) error {
	all := []spot{}
	for i, buf := range files {
		for off := 0; off+head <= len(buf); {
			seq, body, ok := open(buf[off:])
			if !ok {
				off += 8
				continue
			}
			all = append(all, spot{i, off, seq, body})
			off += pad(head + len(body))
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].seq < all[j].seq })
	r.seq = 1
	if len(all) == 0 {
		return nil
	}
	for i := 1; i < len(all); i++ {
		if all[i].seq == all[i-1].seq {
			return errors.Errorf("ring: record %d stands twice", all[i].seq)
		}
		if all[i].seq != all[i-1].seq+1 {
			if err := r.gap(all[:i], all[i]); err != nil {
				return err
			}
			all = all[i:]
			i = 0
		}
	}
	for _, s := range all {
		h, list, err := decode(s.body)
		if err != nil {
			return errors.Wrapf(err, "%s at %d", fileName(s.file), s.off)
		}
		found.HardState = h
		for _, e := range list {
			r.high[s.file] = max(r.high[s.file], e.Index)
			if err = found.add(e); err != nil {
				return errors.Wrapf(err, "%s at %d", fileName(s.file), s.off)
			}
		}
		r.seq, r.at, r.off = s.seq+1, s.file, s.off+pad(head+len(s.body))
	}
	r.hard = found.HardState
	found.TornTail = r.torn(files[r.at])
	return nil
}

// gap judges a hole in the numbers. Records of a file's former lap are
// overwritten from its front, so a hole is sound only if the view covers all
// that stands before it.
func (r *Log) gap(old []spot, next spot) error {
	for _, s := range old {
		_, list, err := decode(s.body)
		if err != nil {
			return errors.Wrapf(err, "%s at %d", fileName(s.file), s.off)
		}
		for _, e := range list {
			if e.Index > r.view {
				return errors.Errorf("ring: records before %d in %s are damaged: entry %d follows a gap", next.seq, fileName(next.file), e.Index)
			}
		}
	}
	return nil
}

// torn tells whether the next record was begun: its number stands there, but
// the record does not hold. What a former lap left there has an older number.
func (r *Log) torn(buf []byte) bool {
	if r.off+head > len(buf) || binary.LittleEndian.Uint32(buf[r.off:]) != magic {
		return false
	}
	return binary.LittleEndian.Uint64(buf[r.off+8:]) == r.seq
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

func pad(n int) int { return (n + 7) &^ 7 }

// PercentUsed tells how much of the ring holds entries the view doesn't cover, in
// percent; the keeper takes a view in time.
func (r *Log) PercentUsed() int {
	n := 0
	for _, h := range r.high {
		if h > r.view {
			n++
		}
	}
	return n * 100 / r.shape.Files
}

// Save makes one batch last. The view goes first: entries may rest on it.
func (r *Log) Save(w *raft.Write) error {
	if w.Snapshot != nil {
		if err := r.saveView(w.Snapshot); err != nil {
			return err
		}
	}
	if w.HardState != nil {
		r.hard = *w.HardState
	}
	list := w.Entries
	for first := true; first || len(list) > 0; first = false {
		part, size := 0, 0
		for part < len(list) && (part == 0 || size+len(list[part].Data)+32 < r.shape.Bytes/4) {
			size += len(list[part].Data) + 32
			part++
		}
		if err := r.put(list[:part]); err != nil {
			return err
		}
		list = list[part:]
	}
	return nil
}

func (r *Log) put(list []raft.Entry) error {
	body := encode(r.hard, list)
	if pad(head+len(body)) > r.shape.Bytes {
		return errors.Errorf("ring: a batch of %d bytes is larger than a file", len(body))
	}
	if r.off+pad(head+len(body)) > r.shape.Bytes {
		next := (r.at + 1) % r.shape.Files
		if r.high[next] > r.view {
			return errors.New("ring: full, and the view is not far enough along")
		}
		r.at, r.off, r.high[next] = next, 0, 0
	}
	rec := make([]byte, pad(head+len(body)))
	copy(rec, seal(r.seq, body))
	if err := r.disk.Write(fileName(r.at), r.off, rec); err != nil {
		return errors.Wrap(err, "ring")
	}
	r.seq++
	r.off += len(rec)
	for _, e := range list {
		r.high[r.at] = max(r.high[r.at], e.Index)
	}
	return nil
}

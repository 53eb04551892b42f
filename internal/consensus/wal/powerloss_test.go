package wal

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/raft"
)

// inode is a file's content: what is synced, and the changes that are not. A
// change with no data empties the file.
type inode struct {
	synced  []byte
	pending []change
}

type change struct {
	off  int
	data []byte
}

// naming is a change of the folder that is not synced: a name made for a file,
// or taken from another name.
type naming struct {
	name, from string
	file       *inode
}

// fragile is a folder that loses, at a power loss, any of what was not synced:
// each name and each write by itself. Crash is called after every operation.
type fragile struct {
	names   map[string]*inode
	synced  map[string]*inode
	pending []naming
	crash   func()
}

func newFragile() *fragile {
	return &fragile{names: map[string]*inode{}, synced: map[string]*inode{}, crash: func() {}}
}

func (d *fragile) open(name string, flags int) (file, error) {
	node := d.names[name]
	if node == nil {
		if flags&os.O_CREATE == 0 {
			return nil, os.ErrNotExist
		}
		node = &inode{}
		d.names[name] = node
		d.pending = append(d.pending, naming{name: name, file: node})
		d.crash()
	} else if flags&os.O_TRUNC != 0 {
		node.pending = append(node.pending, change{})
		d.crash()
	}
	return &fragileFile{d, node}, nil
}

func (d *fragile) read(name string) ([]byte, error) {
	if node := d.names[name]; node != nil {
		return node.content(func(int) int { return whole }), nil
	}
	return nil, os.ErrNotExist
}

func (d *fragile) rename(from, to string) error {
	d.pending = append(d.pending, naming{name: to, from: from, file: d.names[from]})
	d.names[to] = d.names[from]
	delete(d.names, from)
	d.crash()
	return nil
}

func (d *fragile) syncFolder() error {
	d.synced, d.pending = map[string]*inode{}, nil
	for name, node := range d.names {
		d.synced[name] = node
	}
	d.crash()
	return nil
}

type fragileFile struct {
	d    *fragile
	node *inode
}

func (f *fragileFile) WriteAt(data []byte, off int64) (int, error) {
	f.node.pending = append(f.node.pending, change{int(off), bytes.Clone(data)})
	f.d.crash()
	return len(data), nil
}

func (f *fragileFile) Sync() error {
	f.node.synced, f.node.pending = f.node.content(func(int) int { return whole }), nil
	f.d.crash()
	return nil
}

func (f *fragileFile) syncData() error { return f.Sync() }
func (f *fragileFile) Close() error    { return nil }

// What may become of a write that was not synced.
const (
	lost = iota
	whole
	front
	back
	sparse
	fates
)

// sector is the least that a disk writes.
const sector = 64

// content is a file's, when each of its unsynced changes has met a fate.
func (n *inode) content(fate func(i int) int) []byte {
	data := bytes.Clone(n.synced)
	for i, c := range n.pending {
		f := fate(i)
		if c.data == nil && f != lost {
			data = data[:0]
		}
		for at := 0; at < len(c.data); at += sector {
			end := min(at+sector, len(c.data))
			if !kept(f, at/sector, (len(c.data)+sector-1)/sector) {
				continue
			}
			for len(data) < c.off+end {
				data = append(data, 0)
			}
			copy(data[c.off+at:], c.data[at:end])
		}
	}
	return data
}

// kept tells whether a sector of a write of so many is on the disk.
func kept(fate, i, of int) bool {
	switch fate {
	case whole:
		return true
	case front:
		return i < of/2
	case back:
		return i >= of/2
	case sparse:
		return i%2 == 1
	}
	return false
}

// aftermaths calls do with every folder that a power loss may leave now: every
// choice of unsynced names, with every fate of unsynced writes.
func (d *fragile) aftermaths(do func(left *fragile)) {
	nodes := []*inode{}
	for _, n := range d.pending {
		nodes = append(nodes, n.file)
	}
	for _, name := range sorted(d.names) {
		nodes = append(nodes, d.names[name])
	}
	changes := map[*inode]int{}
	combos := 1
	for _, n := range nodes {
		if _, seen := changes[n]; !seen {
			changes[n] = combos
			for range n.pending {
				combos *= fates
			}
		}
	}
	for choice := 0; choice < 1<<len(d.pending); choice++ {
		for combo := 0; combo < combos; combo++ {
			do(d.left(choice, func(n *inode, i int) int {
				at, known := changes[n]
				if !known {
					return whole
				}
				for ; i > 0; i-- {
					at *= fates
				}
				return combo / at % fates
			}))
		}
	}
}

func (d *fragile) left(choice int, fate func(n *inode, i int) int) *fragile {
	names := map[string]*inode{}
	for name, n := range d.synced {
		names[name] = n
	}
	for i, n := range d.pending {
		if choice>>i&1 == 0 {
			continue
		}
		if n.from != "" {
			delete(names, n.from)
		}
		names[n.name] = n.file
	}
	left := newFragile()
	for name, n := range names {
		node := &inode{synced: n.content(func(i int) int { return fate(n, i) })}
		left.names[name], left.synced[name] = node, node
	}
	return left
}

func sorted(names map[string]*inode) []string {
	var list []string
	for name := range names {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// history is what was asked of a folder and what was acknowledged of it.
type history struct {
	t       *testing.T
	disk    *fragile
	folder  *Folder
	ring    *Log
	named   bool
	founded bool
	hard    []raft.HardState
	last    identifier.Index
	asked   identifier.Index
	view    identifier.Index
	crashes int
	doing   string
}

var smallShape = Layout{Files: 4, Bytes: 4096}

const folderOwner identifier.Node = 77

func newHistory(t *testing.T) *history {
	h := &history{t: t, disk: newFragile(), hard: []raft.HardState{{}}}
	h.folder = &Folder{files: h.disk, open: map[string]file{}}
	h.disk.crash = func() { h.disk.aftermaths(h.reopen) }
	return h
}

// reopen judges what a power loss left.
func (h *history) reopen(left *fragile) {
	h.crashes++
	d := &Folder{files: left, open: map[string]file{}}
	who, kept, err := Identity(d, 5, smallShape)
	if err != nil {
		h.t.Fatalf("%s: identity: %v", h.doing, err)
	}
	if h.named && who != folderOwner {
		h.t.Fatalf("%s: the folder's identity is forgotten", h.doing)
	}
	again, found, err := Open(d, kept)
	if err != nil {
		h.t.Fatalf("%s: %v", h.doing, err)
	}
	if found == nil {
		if h.founded {
			h.t.Fatalf("%s: a founded folder opens as empty", h.doing)
		}
		return
	}
	last := found.Snapshot.Index + identifier.Index(len(found.Entries))
	if found.Snapshot.Index < h.view || last < h.last || last > h.asked {
		h.t.Fatalf("%s: view %d of %d, entries to %d, acknowledged %d, asked %d", h.doing, found.Snapshot.Index, h.view, last, h.last, h.asked)
	}
	if !slices.Contains(h.hard, found.HardState) {
		h.t.Fatalf("%s: hard state %v, want one of %v", h.doing, found.HardState, h.hard)
	}
	for i, e := range found.Entries {
		if want := entry(int(found.Snapshot.Index)+1+i, 1); e.Index != want.Index || !bytes.Equal(e.Data, want.Data) {
			h.t.Fatalf("%s: entry %d reads as %d %q", h.doing, want.Index, e.Index, e.Data)
		}
	}
	h.goOn(d, again, kept, last)
}

// goOn writes on in what a power loss left, and reads it back.
func (h *history) goOn(d *Folder, r *Log, kept Layout, last identifier.Index) {
	if r.PercentUsed() >= 75 {
		return
	}
	hard := raft.HardState{Term: 999, Vote: 3}
	if err := r.Save(&raft.Write{HardState: &hard, Entries: []raft.Entry{entry(int(last)+1, 1)}}); err != nil {
		h.t.Fatalf("%s: going on: %v", h.doing, err)
	}
	_, found, err := Open(d, kept)
	if err != nil {
		h.t.Fatalf("%s: after going on: %v", h.doing, err)
	}
	if end := found.Snapshot.Index + identifier.Index(len(found.Entries)); end != last+1 || found.HardState != hard {
		h.t.Fatalf("%s: went on to %d, reads to %d, hard state %v", h.doing, last+1, end, found.HardState)
	}
}

func (h *history) do(what string, act func() (err error)) {
	h.t.Helper()
	h.doing = what
	if err := act(); err != nil {
		h.t.Fatalf("%s: %v", what, err)
	}
}

func (h *history) found() {
	h.do("identity", func() error {
		_, _, err := Identity(h.folder, folderOwner, smallShape)
		return err
	})
	h.named, h.asked = true, 1
	h.do("founding", func() error {
		var err error
		h.ring, err = Create(h.folder, smallShape, powerView(1))
		return err
	})
	h.founded, h.last, h.view = true, 1, 1
}

func powerView(at identifier.Index) *raft.Snapshot {
	return &raft.Snapshot{Index: at, Term: 1, Members: []raft.Member{{ID: folderOwner, Voter: true}}, Data: bytes.Repeat([]byte("v"), 300)}
}

// save has entries written, with a new term, and a view when at is not 0.
func (h *history) save(entries int, term identifier.Term, at identifier.Index) {
	w := raft.Write{}
	if at > 0 {
		w.Snapshot = powerView(at)
	}
	if term > 0 {
		w.HardState = &raft.HardState{Term: term, Vote: 9}
		h.hard = append(h.hard, *w.HardState)
	}
	for i := 0; i < entries; i++ {
		h.asked++
		w.Entries = append(w.Entries, entry(int(h.asked), 1))
	}
	h.do(fmt.Sprintf("save of %d entries to %d, term %d, view %d", entries, h.asked, term, at), func() error { return h.ring.Save(&w) })
	h.last, h.view, h.hard = h.asked, max(h.view, at), h.hard[len(h.hard)-1:]
}

// jump goes on from a view of the leader's that is ahead of the entries here.
func (h *history) jump() {
	h.asked += 50
	h.save(2, 0, h.asked)
}

// draft writes a view in slices, with entries saved between them.
func (h *history) draft(at identifier.Index) {
	d := NewSnapshotWriter(powerView(at))
	d.view.Data = bytes.Repeat([]byte("d"), sliceBytes+100)
	for over := false; !over; {
		h.do(fmt.Sprintf("draft of view %d", at), func() error {
			var err error
			over, err = h.ring.WriteChunk(d)
			return err
		})
		if !over {
			h.save(1, 0, 0)
		}
	}
	h.view = at
}

// TestPowerLossAnywhere cuts the power after every operation on the folder, from
// the naming of it over its founding, views and drafts to several laps of the
// ring, and opens what may be left: every choice of names that were not synced,
// every write that was not synced lost, whole or torn in three ways.
func TestPowerLossAnywhere(t *testing.T) {
	h := newHistory(t)
	h.found()
	for n := 0; n < 240; n++ {
		term := identifier.Term(0)
		if n%7 == 0 {
			term = identifier.Term(n + 1)
		}
		h.save(1+n%5*4, term, 0)
		switch {
		case n%40 == 25:
			h.jump()
		case h.ring.PercentUsed() >= 50 && n%30 == 11:
			h.draft(h.last - 3)
		case h.ring.PercentUsed() >= 50:
			h.save(n%3, 0, h.last-2)
		}
	}
	if h.ring.seq < 240 || h.crashes < 2000 {
		t.Errorf("too little evidence: %d records, %d power losses", h.ring.seq, h.crashes)
	}
	t.Logf("%d power losses over %d records, entries to %d", h.crashes, h.ring.seq-1, h.last)
}

// TestFolderIsSynced: a data folder that is made is synced in the folder above
// it, and so are those above that are made with it.
func TestFolderIsSynced(t *testing.T) {
	top := t.TempDir()
	seen := []string{}
	original := syncPath
	syncPath = func(path string) error {
		seen = append(seen, path)
		return original(path)
	}
	defer func() { syncPath = original }()
	path := filepath.Join(top, "one", "two")
	d, err := OpenFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	for _, want := range []string{top, filepath.Join(top, "one"), path} {
		if !slices.Contains(seen, want) {
			t.Errorf("%s is not synced, only %v", want, seen)
		}
	}
}

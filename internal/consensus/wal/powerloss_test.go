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
	pending []pendingWrite
}

type pendingWrite struct {
	offset int
	data   []byte
}

// pendingName is a change of the folder that is not synced: a name made for a file,
// or taken from another name.
type pendingName struct {
	name, from string
	file       *inode
}

// unsyncedFolder is a folder that loses, at a power loss, any of what was not synced:
// each name and each write by itself. Crash is called after every operation.
type unsyncedFolder struct {
	files       map[string]*inode
	syncedFiles map[string]*inode
	pending     []pendingName
	onOperation func()
}

func newUnsyncedFolder() *unsyncedFolder {
	return &unsyncedFolder{files: map[string]*inode{}, syncedFiles: map[string]*inode{}, onOperation: func() {}}
}

func (d *unsyncedFolder) open(name string, flags int) (file, error) {
	node := d.files[name]
	if node == nil {
		if flags&os.O_CREATE == 0 {
			return nil, os.ErrNotExist
		}
		node = &inode{}
		d.files[name] = node
		d.pending = append(d.pending, pendingName{name: name, file: node})
		d.onOperation()
	} else if flags&os.O_TRUNC != 0 {
		node.pending = append(node.pending, pendingWrite{})
		d.onOperation()
	}
	return &unsyncedFile{d, node}, nil
}

func (d *unsyncedFolder) read(name string) ([]byte, error) {
	if node := d.files[name]; node != nil {
		return node.content(func(int) int { return fateComplete }), nil
	}
	return nil, os.ErrNotExist
}

func (d *unsyncedFolder) rename(from, to string) error {
	d.pending = append(d.pending, pendingName{name: to, from: from, file: d.files[from]})
	d.files[to] = d.files[from]
	delete(d.files, from)
	d.onOperation()
	return nil
}

func (d *unsyncedFolder) syncFolder() error {
	d.syncedFiles, d.pending = map[string]*inode{}, nil
	for name, node := range d.files {
		d.syncedFiles[name] = node
	}
	d.onOperation()
	return nil
}

type unsyncedFile struct {
	folder *unsyncedFolder
	inode  *inode
}

func (f *unsyncedFile) WriteAt(data []byte, off int64) (int, error) {
	f.inode.pending = append(f.inode.pending, pendingWrite{int(off), bytes.Clone(data)})
	f.folder.onOperation()
	return len(data), nil
}

func (f *unsyncedFile) Sync() error {
	f.inode.synced, f.inode.pending = f.inode.content(func(int) int { return fateComplete }), nil
	f.folder.onOperation()
	return nil
}

func (f *unsyncedFile) syncData() error { return f.Sync() }
func (f *unsyncedFile) Close() error    { return nil }

// What may become of a write that was not synced.
const (
	fateLost = iota
	fateComplete
	fateFirstHalf
	fateSecondHalf
	fateOddSectors
	fateCount
)

// sectorBytes is the least that a disk writes.
const sectorBytes = 64

// content is a file's, when each of its unsynced changes has met a fate.
func (n *inode) content(fate func(i int) int) []byte {
	data := bytes.Clone(n.synced)
	for i, c := range n.pending {
		f := fate(i)
		if c.data == nil && f != fateLost {
			data = data[:0]
		}
		for at := 0; at < len(c.data); at += sectorBytes {
			end := min(at+sectorBytes, len(c.data))
			if !survives(f, at/sectorBytes, (len(c.data)+sectorBytes-1)/sectorBytes) {
				continue
			}
			for len(data) < c.offset+end {
				data = append(data, 0)
			}
			copy(data[c.offset+at:], c.data[at:end])
		}
	}
	return data
}

// survives tells whether a sector of a write of so many is on the disk.
func survives(fate, i, of int) bool {
	switch fate {
	case fateComplete:
		return true
	case fateFirstHalf:
		return i < of/2
	case fateSecondHalf:
		return i >= of/2
	case fateOddSectors:
		return i%2 == 1
	}
	return false
}

// forEachOutcome calls do with every folder that a power loss may leave now: every
// choice of unsynced names, with every fate of unsynced writes.
func (d *unsyncedFolder) forEachOutcome(do func(left *unsyncedFolder)) {
	nodes := []*inode{}
	for _, n := range d.pending {
		nodes = append(nodes, n.file)
	}
	for _, name := range sortedNames(d.files) {
		nodes = append(nodes, d.files[name])
	}
	changes := map[*inode]int{}
	combos := 1
	for _, n := range nodes {
		if _, seen := changes[n]; !seen {
			changes[n] = combos
			for range n.pending {
				combos *= fateCount
			}
		}
	}
	for choice := 0; choice < 1<<len(d.pending); choice++ {
		for combo := 0; combo < combos; combo++ {
			do(d.outcome(choice, func(n *inode, i int) int {
				at, known := changes[n]
				if !known {
					return fateComplete
				}
				for ; i > 0; i-- {
					at *= fateCount
				}
				return combo / at % fateCount
			}))
		}
	}
}

func (d *unsyncedFolder) outcome(choice int, fate func(n *inode, i int) int) *unsyncedFolder {
	names := map[string]*inode{}
	for name, n := range d.syncedFiles {
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
	left := newUnsyncedFolder()
	for name, n := range names {
		node := &inode{synced: n.content(func(i int) int { return fate(n, i) })}
		left.files[name], left.syncedFiles[name] = node, node
	}
	return left
}

func sortedNames(names map[string]*inode) []string {
	var list []string
	for name := range names {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// powerLossTest is what was asked of a folder and what was acknowledged of it.
type powerLossTest struct {
	t             *testing.T
	disk          *unsyncedFolder
	folder        *Folder
	log           *Log
	identified    bool
	created       bool
	hardStates    []raft.HardState
	acknowledged  identifier.Index
	requested     identifier.Index
	snapshotIndex identifier.Index
	powerLosses   int
	operation     string
}

var smallLayout = Layout{Files: 4, Bytes: 4096}

const folderOwner identifier.Node = 77

func newPowerLossTest(t *testing.T) *powerLossTest {
	h := &powerLossTest{t: t, disk: newUnsyncedFolder(), hardStates: []raft.HardState{{}}}
	h.folder = &Folder{files: h.disk, openFiles: map[string]file{}}
	h.disk.onOperation = func() { h.disk.forEachOutcome(h.checkOutcome) }
	return h
}

// checkOutcome judges what a power loss left.
func (h *powerLossTest) checkOutcome(left *unsyncedFolder) {
	h.powerLosses++
	d := &Folder{files: left, openFiles: map[string]file{}}
	who, kept, err := Identity(d, 5, smallLayout)
	if err != nil {
		h.t.Fatalf("%s: identity: %v", h.operation, err)
	}
	if h.identified && who != folderOwner {
		h.t.Fatalf("%s: the folder's identity is forgotten", h.operation)
	}
	again, found, err := Open(d, kept)
	if err != nil {
		h.t.Fatalf("%s: %v", h.operation, err)
	}
	if found == nil {
		if h.created {
			h.t.Fatalf("%s: a founded folder opens as empty", h.operation)
		}
		return
	}
	last := found.Snapshot.Index + identifier.Index(len(found.Entries))
	if found.Snapshot.Index < h.snapshotIndex || last < h.acknowledged || last > h.requested {
		h.t.Fatalf("%s: view %d of %d, entries to %d, acknowledged %d, asked %d", h.operation, found.Snapshot.Index, h.snapshotIndex, last, h.acknowledged, h.requested)
	}
	if !slices.Contains(h.hardStates, found.HardState) {
		h.t.Fatalf("%s: hard state %v, want one of %v", h.operation, found.HardState, h.hardStates)
	}
	for i, e := range found.Entries {
		if want := entry(int(found.Snapshot.Index)+1+i, 1); e.Index != want.Index || !bytes.Equal(e.Data, want.Data) {
			h.t.Fatalf("%s: entry %d reads as %d %q", h.operation, want.Index, e.Index, e.Data)
		}
	}
	h.checkContinues(d, again, kept, last)
}

// checkContinues writes on in what a power loss left, and reads it back.
func (h *powerLossTest) checkContinues(d *Folder, r *Log, kept Layout, last identifier.Index) {
	if r.PercentUsed() >= 75 {
		return
	}
	hard := raft.HardState{Term: 999, Vote: 3}
	if err := r.Save(&raft.Write{HardState: &hard, Entries: []raft.Entry{entry(int(last)+1, 1)}}); err != nil {
		h.t.Fatalf("%s: going on: %v", h.operation, err)
	}
	_, found, err := Open(d, kept)
	if err != nil {
		h.t.Fatalf("%s: after going on: %v", h.operation, err)
	}
	if end := found.Snapshot.Index + identifier.Index(len(found.Entries)); end != last+1 || found.HardState != hard {
		h.t.Fatalf("%s: went on to %d, reads to %d, hard state %v", h.operation, last+1, end, found.HardState)
	}
}

func (h *powerLossTest) do(what string, act func() (err error)) {
	h.t.Helper()
	h.operation = what
	if err := act(); err != nil {
		h.t.Fatalf("%s: %v", what, err)
	}
}

func (h *powerLossTest) create() {
	h.do("identity", func() error {
		_, _, err := Identity(h.folder, folderOwner, smallLayout)
		return err
	})
	h.identified, h.requested = true, 1
	h.do("founding", func() error {
		var err error
		h.log, err = Create(h.folder, smallLayout, testSnapshot(1))
		return err
	})
	h.created, h.acknowledged, h.snapshotIndex = true, 1, 1
}

func testSnapshot(at identifier.Index) *raft.Snapshot {
	return &raft.Snapshot{Index: at, Term: 1, Members: []raft.Member{{ID: folderOwner, Voter: true}}, Data: bytes.Repeat([]byte("v"), 300)}
}

// save has entries written, with a new term, and a view when at is not 0.
func (h *powerLossTest) save(entries int, term identifier.Term, at identifier.Index) {
	w := raft.Write{}
	if at > 0 {
		w.Snapshot = testSnapshot(at)
	}
	if term > 0 {
		w.HardState = &raft.HardState{Term: term, Vote: 9}
		h.hardStates = append(h.hardStates, *w.HardState)
	}
	for i := 0; i < entries; i++ {
		h.requested++
		w.Entries = append(w.Entries, entry(int(h.requested), 1))
	}
	h.do(fmt.Sprintf("save of %d entries to %d, term %d, view %d", entries, h.requested, term, at), func() error { return h.log.Save(&w) })
	h.acknowledged, h.snapshotIndex, h.hardStates = h.requested, max(h.snapshotIndex, at), h.hardStates[len(h.hardStates)-1:]
}

// installAhead goes on from a view of the leader's that is ahead of the entries here.
func (h *powerLossTest) installAhead() {
	h.requested += 50
	h.save(2, 0, h.requested)
}

// draft writes a view in slices, with entries saved between them.
func (h *powerLossTest) writeSnapshot(at identifier.Index) {
	d := NewSnapshotWriter(testSnapshot(at))
	d.snapshot.Data = bytes.Repeat([]byte("d"), chunkBytes+100)
	for over := false; !over; {
		h.do(fmt.Sprintf("draft of view %d", at), func() error {
			var err error
			over, err = h.log.WriteChunk(d)
			return err
		})
		if !over {
			h.save(1, 0, 0)
		}
	}
	h.snapshotIndex = at
}

// TestPowerLossAnywhere cuts the power after every operation on the folder, from
// the naming of it over its founding, views and drafts to several laps of the
// ring, and opens what may be left: every choice of names that were not synced,
// every write that was not synced lost, whole or torn in three ways.
func TestPowerLossAnywhere(t *testing.T) {
	h := newPowerLossTest(t)
	h.create()
	for n := 0; n < 240; n++ {
		term := identifier.Term(0)
		if n%7 == 0 {
			term = identifier.Term(n + 1)
		}
		h.save(1+n%5*4, term, 0)
		switch {
		case n%40 == 25:
			h.installAhead()
		case h.log.PercentUsed() >= 50 && n%30 == 11:
			h.writeSnapshot(h.acknowledged - 3)
		case h.log.PercentUsed() >= 50:
			h.save(n%3, 0, h.acknowledged-2)
		}
	}
	if h.log.nextSeq < 240 || h.powerLosses < 2000 {
		t.Errorf("too little evidence: %d records, %d power losses", h.log.nextSeq, h.powerLosses)
	}
	t.Logf("%d power losses over %d records, entries to %d", h.powerLosses, h.log.nextSeq-1, h.acknowledged)
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

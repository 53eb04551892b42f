package wal

import (
	"bytes"
	"maps"
	"os"
	"slices"
)

// sectorBytes is the size of the unit that a simulated disk writes atomically.
const sectorBytes = 64

// inode is the content of a file: its synced data and the pending writes.
type inode struct {
	synced  []byte
	pending []pendingWrite
}

// pendingWrite is a write that is not synced. Without data it truncates the file.
type pendingWrite struct {
	offset int
	data   []byte
}

// pendingName is a name change that is not synced: the name of a new file, or a rename if
// from is not empty.
type pendingName struct {
	name string
	from string
	file *inode
}

// unsyncedFolder is a folder that may lose each unsynced name change and each unsynced
// write independently in a power loss.
type unsyncedFolder struct {
	files        map[string]*inode
	syncedFiles  map[string]*inode
	pendingNames []pendingName
	// onOperation is called after every operation.
	onOperation func()
}

func newUnsyncedFolder() *unsyncedFolder {
	return &unsyncedFolder{files: map[string]*inode{}, syncedFiles: map[string]*inode{}, onOperation: func() {}}
}

func (f *unsyncedFolder) open(name string, flags int) (file, error) {
	node := f.files[name]
	if node == nil && flags&os.O_CREATE == 0 {
		return nil, os.ErrNotExist
	}
	if node == nil {
		node = &inode{}
		f.files[name] = node
		f.pendingNames = append(f.pendingNames, pendingName{name: name, file: node})
		f.onOperation()
	} else if flags&os.O_TRUNC != 0 {
		node.pending = append(node.pending, pendingWrite{})
		f.onOperation()
	}
	return &unsyncedFile{f, node}, nil
}

func (f *unsyncedFolder) read(name string) ([]byte, error) {
	if node := f.files[name]; node != nil {
		return node.current(), nil
	}
	return nil, os.ErrNotExist
}

func (f *unsyncedFolder) rename(from, to string) error {
	f.pendingNames = append(f.pendingNames, pendingName{name: to, from: from, file: f.files[from]})
	f.files[to] = f.files[from]
	delete(f.files, from)
	f.onOperation()
	return nil
}

func (f *unsyncedFolder) syncFolder() error {
	f.syncedFiles = maps.Clone(f.files)
	f.pendingNames = nil
	f.onOperation()
	return nil
}

// unsyncedFile is an open file of an unsyncedFolder.
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
	f.inode.synced = f.inode.current()
	f.inode.pending = nil
	f.folder.onOperation()
	return nil
}

func (f *unsyncedFile) syncData() error { return f.Sync() }
func (f *unsyncedFile) Close() error    { return nil }

// persistedPart is the part of an unsynced write that is on disk after a power loss.
type persistedPart int

const (
	persistedNone persistedPart = iota
	persistedAll
	persistedFirstHalf
	persistedSecondHalf
	persistedOddSectors
	persistedPartCount
)

// persists reports whether one sector of a write of several sectors is on disk.
func (p persistedPart) persists(sector, sectors int) bool {
	switch p {
	case persistedAll:
		return true
	case persistedFirstHalf:
		return sector < sectors/2
	case persistedSecondHalf:
		return sector >= sectors/2
	case persistedOddSectors:
		return sector%2 == 1
	}
	return false
}

// current returns the content of a file without a power loss.
func (n *inode) current() []byte {
	return n.content(func(int) persistedPart { return persistedAll })
}

// content returns the content of a file after a power loss, where partOf returns which part
// of each pending write is persisted.
func (n *inode) content(partOf func(write int) persistedPart) []byte {
	data := bytes.Clone(n.synced)
	for i, w := range n.pending {
		part := partOf(i)
		if w.data == nil && part != persistedNone {
			data = data[:0]
		}
		data = w.apply(data, part)
	}
	return data
}

// apply writes the sectors that are persisted.
func (w pendingWrite) apply(data []byte, part persistedPart) []byte {
	sectors := (len(w.data) + sectorBytes - 1) / sectorBytes
	for sector := 0; sector < sectors; sector++ {
		if !part.persists(sector, sectors) {
			continue
		}
		start := sector * sectorBytes
		end := min(start+sectorBytes, len(w.data))
		if missing := w.offset + end - len(data); missing > 0 {
			data = append(data, make([]byte, missing)...)
		}
		copy(data[w.offset+start:], w.data[start:end])
	}
	return data
}

// forEachOutcome calls do with every state in which a power loss may leave the folder now:
// every subset of the pending names, with every persisted part of each pending write.
func (f *unsyncedFolder) forEachOutcome(do func(left *unsyncedFolder)) {
	// A combination is a number in base persistedPartCount with one digit for each pending
	// write, its persistedPart. placeValue is the place value of each file's first digit.
	placeValue := map[*inode]int{}
	combinations := 1
	for _, node := range f.inodes() {
		if _, seen := placeValue[node]; seen {
			continue
		}
		placeValue[node] = combinations
		for range node.pending {
			combinations *= int(persistedPartCount)
		}
	}
	for names := 0; names < 1<<len(f.pendingNames); names++ {
		for combination := 0; combination < combinations; combination++ {
			do(f.outcome(names, func(node *inode, write int) persistedPart {
				digit, ok := placeValue[node]
				if !ok {
					return persistedAll
				}
				for ; write > 0; write-- {
					digit *= int(persistedPartCount)
				}
				return persistedPart(combination / digit % int(persistedPartCount))
			}))
		}
	}
}

// inodes returns the inodes of all pending names and of all current names. It may contain
// duplicates.
func (f *unsyncedFolder) inodes() []*inode {
	var nodes []*inode
	for _, n := range f.pendingNames {
		nodes = append(nodes, n.file)
	}
	for _, name := range slices.Sorted(maps.Keys(f.files)) {
		nodes = append(nodes, f.files[name])
	}
	return nodes
}

// outcome returns the folder as left by a power loss. names is the bit set of the pending
// names that are persisted, and partOf returns which part of each pending write is.
func (f *unsyncedFolder) outcome(names int, partOf func(node *inode, write int) persistedPart) *unsyncedFolder {
	files := maps.Clone(f.syncedFiles)
	for i, n := range f.pendingNames {
		if names>>i&1 == 0 {
			continue
		}
		if n.from != "" {
			delete(files, n.from)
		}
		files[n.name] = n.file
	}
	left := newUnsyncedFolder()
	for name, node := range files {
		synced := &inode{synced: node.content(func(write int) persistedPart { return partOf(node, write) })}
		left.files[name] = synced
		left.syncedFiles[name] = synced
	}
	return left
}

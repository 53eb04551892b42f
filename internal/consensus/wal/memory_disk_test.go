package wal

import (
	"bytes"
	"fmt"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/raft"
)

// memoryDisk is an in-memory Disk whose files a test can read and corrupt.
type memoryDisk map[string][]byte

func (m memoryDisk) Read(name string) ([]byte, error) { return bytes.Clone(m[name]), nil }

func (m memoryDisk) Create(name string, size int) error {
	m[name] = make([]byte, size)
	return nil
}

func (m memoryDisk) Write(name string, offset int, data []byte) error {
	copy(m[name][offset:], data)
	return nil
}

func (m memoryDisk) Replace(name string, data []byte) error {
	m[name] = bytes.Clone(data)
	return nil
}

func (m memoryDisk) AppendReplacement(name string, offset int, data []byte) error {
	m[name+partSuffix] = append(m[name+partSuffix][:offset:offset], data...)
	return nil
}

func (m memoryDisk) CommitReplacement(name string) error {
	m[name] = m[name+partSuffix]
	delete(m, name+partSuffix)
	return nil
}

func (m memoryDisk) clone() memoryDisk {
	copied := memoryDisk{}
	for name, data := range m {
		copied[name] = bytes.Clone(data)
	}
	return copied
}

var testLayout = Layout{Files: 4, Bytes: 4096}

// testMember is the only member of the groups in these tests.
const testMember identifier.Node = 5

// testSnapshot returns a snapshot at an index, of term 1, with stateBytes bytes of state.
func testSnapshot(index identifier.Index, stateBytes int) *raft.Snapshot {
	return &raft.Snapshot{
		Index:   index,
		Term:    1,
		Members: []raft.Member{{ID: testMember, Voter: true}},
		Data:    bytes.Repeat([]byte("v"), stateBytes),
	}
}

// newLog returns an empty log that starts from a snapshot at index 1, and its disk.
func newLog(t *testing.T) (memoryDisk, *Log) {
	t.Helper()
	disk := memoryDisk{}
	log, err := Create(disk, testLayout, testSnapshot(1, 8))
	if err != nil {
		t.Fatal(err)
	}
	return disk, log
}

func entry(index int, term identifier.Term) raft.Entry {
	text := fmt.Sprintf("entry %d of term %d", index, term)
	return raft.Entry{Index: identifier.Index(index), Term: term, Kind: raft.EntryCommand, Data: []byte(text)}
}

func save(t *testing.T, log *Log, w raft.Write) {
	t.Helper()
	if err := log.Save(&w); err != nil {
		t.Fatal(err)
	}
}

func reopen(t *testing.T, disk Disk) (*Log, *Recovered) {
	t.Helper()
	log, recovered, err := Open(disk, testLayout)
	if err != nil {
		t.Fatal(err)
	}
	return log, recovered
}

// lastIndex returns the index of the last recovered entry.
func lastIndex(r *Recovered) identifier.Index {
	return r.Snapshot.Index + identifier.Index(len(r.Entries))
}

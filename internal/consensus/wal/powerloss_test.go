package wal

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/raft"
)

// smallLayout is the layout of the log in the power loss test.
var smallLayout = Layout{Files: 4, Bytes: 4096}

// folderOwner is the member that owns the folder.
const folderOwner identifier.Node = 77

// powerLossTest writes to a folder. After every file operation it opens each state in which
// a power loss at that moment may leave the folder.
type powerLossTest struct {
	t      *testing.T
	disk   *unsyncedFolder
	folder *Folder
	log    *Log
	// operation describes the operation in progress.
	operation string

	// identified and created are set once the writes of the identity and of the log have
	// returned.
	identified bool
	created    bool
	// hardStates holds the hard states that may be read back: the last one acknowledged and
	// the one being written.
	hardStates []raft.HardState
	// acknowledged and requested are the last entries whose write has returned and has
	// begun, and snapshotIndex is the newest snapshot whose write has returned.
	acknowledged  identifier.Index
	requested     identifier.Index
	snapshotIndex identifier.Index

	powerLosses int
}

func newPowerLossTest(t *testing.T) *powerLossTest {
	t.Helper()
	p := &powerLossTest{t: t, disk: newUnsyncedFolder(), hardStates: []raft.HardState{{}}}
	p.folder = openUnsynced(p.disk)
	p.disk.onOperation = func() { p.disk.forEachOutcome(p.checkOutcome) }
	return p
}

func openUnsynced(files *unsyncedFolder) *Folder {
	return &Folder{files: files, openFiles: map[string]file{}}
}

func (p *powerLossTest) fatalf(format string, args ...any) {
	p.t.Helper()
	p.t.Fatalf("%s: %s", p.operation, fmt.Sprintf(format, args...))
}

// checkOutcome opens a folder as left by a power loss. It must contain everything that was
// acknowledged and nothing that was not requested.
func (p *powerLossTest) checkOutcome(left *unsyncedFolder) {
	p.powerLosses++
	folder := openUnsynced(left)
	node, layout, err := Identity(folder, testMember, smallLayout)
	if err != nil {
		p.fatalf("identity: %v", err)
	}
	if p.identified && node != folderOwner {
		p.fatalf("the folder's identity is lost")
	}
	log, recovered, err := Open(folder, layout)
	if err != nil {
		p.fatalf("%v", err)
	}
	if recovered == nil {
		if p.created {
			p.fatalf("a folder with a log is opened as empty")
		}
		return
	}
	p.checkRecovered(recovered)
	p.checkContinues(folder, log, layout, lastIndex(recovered))
}

func (p *powerLossTest) checkRecovered(recovered *Recovered) {
	last := lastIndex(recovered)
	if recovered.Snapshot.Index < p.snapshotIndex || last < p.acknowledged || last > p.requested {
		p.fatalf("recovered snapshot %d, want at least %d, and entries up to %d; acknowledged %d, requested %d",
			recovered.Snapshot.Index, p.snapshotIndex, last, p.acknowledged, p.requested)
	}
	if !slices.Contains(p.hardStates, recovered.HardState) {
		p.fatalf("hard state %v, want one of %v", recovered.HardState, p.hardStates)
	}
	for i, e := range recovered.Entries {
		if want := entry(int(recovered.Snapshot.Index)+1+i, 1); e.Index != want.Index || !bytes.Equal(e.Data, want.Data) {
			p.fatalf("entry %d is read as entry %d with data %q", want.Index, e.Index, e.Data)
		}
	}
}

// checkContinues appends to the log that a power loss left, and reads it back.
func (p *powerLossTest) checkContinues(folder *Folder, log *Log, layout Layout, last identifier.Index) {
	if log.PercentUsed() >= 75 {
		return
	}
	hardState := raft.HardState{Term: 999, Vote: 3}
	if err := log.Save(&raft.Write{HardState: &hardState, Entries: []raft.Entry{entry(int(last)+1, 1)}}); err != nil {
		p.fatalf("append after the power loss: %v", err)
	}
	_, recovered, err := Open(folder, layout)
	if err != nil {
		p.fatalf("reopen after the append: %v", err)
	}
	if lastIndex(recovered) != last+1 || recovered.HardState != hardState {
		p.fatalf("appended up to entry %d, recovered up to %d, hard state %v", last+1, lastIndex(recovered), recovered.HardState)
	}
}

// do runs an operation on the folder, which must succeed.
func (p *powerLossTest) do(operation string, run func() error) {
	p.t.Helper()
	p.operation = operation
	if err := run(); err != nil {
		p.fatalf("%v", err)
	}
}

// create writes the folder's identity and creates an empty log.
func (p *powerLossTest) create() {
	p.do("identity", func() error {
		_, _, err := Identity(p.folder, folderOwner, smallLayout)
		return err
	})
	p.identified = true
	p.requested = 1
	p.do("create", func() error {
		var err error
		p.log, err = Create(p.folder, smallLayout, testSnapshot(1, 300))
		return err
	})
	p.created = true
	p.acknowledged = 1
	p.snapshotIndex = 1
}

// save writes some entries, with a new term and a snapshot unless these are 0.
func (p *powerLossTest) save(entries int, term identifier.Term, snapshotIndex identifier.Index) {
	p.t.Helper()
	w := raft.Write{}
	if snapshotIndex > 0 {
		w.Snapshot = testSnapshot(snapshotIndex, 300)
	}
	if term > 0 {
		w.HardState = &raft.HardState{Term: term, Vote: 9}
		p.hardStates = append(p.hardStates, *w.HardState)
	}
	for i := 0; i < entries; i++ {
		p.requested++
		w.Entries = append(w.Entries, entry(int(p.requested), 1))
	}
	operation := fmt.Sprintf("save of %d entries up to %d, term %d, snapshot %d", entries, p.requested, term, snapshotIndex)
	p.do(operation, func() error { return p.log.Save(&w) })
	p.acknowledged = p.requested
	p.snapshotIndex = max(p.snapshotIndex, snapshotIndex)
	p.hardStates = p.hardStates[len(p.hardStates)-1:]
}

// installAhead saves a leader's snapshot that is ahead of the log, and entries after it.
func (p *powerLossTest) installAhead() {
	p.t.Helper()
	p.requested += 50
	p.save(2, 0, p.requested)
}

// writeSnapshot writes a snapshot in chunks, with entries saved between them.
func (p *powerLossTest) writeSnapshot(index identifier.Index) {
	p.t.Helper()
	writer := NewSnapshotWriter(testSnapshot(index, chunkBytes+100))
	for done := false; !done; {
		p.do(fmt.Sprintf("chunk of snapshot %d", index), func() error {
			var err error
			done, err = p.log.WriteChunk(writer)
			return err
		})
		if !done {
			p.save(1, 0, 0)
		}
	}
	p.snapshotIndex = index
}

// TestPowerLossAnywhere simulates a power loss after every file operation, from writing the
// identity and creating the log through snapshots and several rotations. It opens every
// state that may be left: any subset of the unsynced name changes, with each unsynced write
// lost, complete or torn in one of three ways.
func TestPowerLossAnywhere(t *testing.T) {
	p := newPowerLossTest(t)
	p.create()
	for i := 0; i < 240; i++ {
		term := identifier.Term(0)
		if i%7 == 0 {
			term = identifier.Term(i + 1)
		}
		p.save(1+i%5*4, term, 0)
		switch {
		case i%40 == 25:
			p.installAhead()
		case p.log.PercentUsed() >= 50 && i%30 == 11:
			p.writeSnapshot(p.acknowledged - 3)
		case p.log.PercentUsed() >= 50:
			p.save(i%3, 0, p.acknowledged-2)
		}
	}
	records := p.log.nextSeq - 1
	if records < 239 || p.powerLosses < 2000 {
		t.Errorf("too little evidence: %d records, %d power losses", records, p.powerLosses)
	}
	t.Logf("%d power losses over %d records, entries up to %d", p.powerLosses, records, p.acknowledged)
}

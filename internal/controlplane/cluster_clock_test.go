package controlplane

import (
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
)

// TestArrivalOfReplacedEntries checks that entries that replace a truncated tail are
// recorded with their own arrival time. A cluster time extrapolated from the tail's
// arrival would run ahead by the time between the two arrivals.
func TestArrivalOfReplacedEntries(t *testing.T) {
	const (
		self, first, second identifier.Node = 1, 2, 3
		keptAt                              = clock.Monotonic(500)
		tailAt                              = clock.Monotonic(1000)
		replacedAt                          = clock.Monotonic(9000)
		appliedAt                           = clock.Monotonic(9500)
	)
	snapshot := &raft.Snapshot{Index: 1, Members: []raft.Member{
		{ID: self, Voter: true},
		{ID: first, Voter: true},
		{ID: second, Voter: true},
	}}
	r := raft.New(self, raft.DefaultTiming(), 1, 0, raft.HardState{}, snapshot, nil)
	var carried carriedTime
	receive := func(at clock.Monotonic, leader identifier.Node, previousTerm identifier.Term, entries ...raft.Entry) {
		r.Step(raft.Message{
			Kind:    raft.AppendEntries,
			From:    leader,
			To:      self,
			Term:    entries[0].Term,
			Index:   entries[0].Index - 1,
			LogTerm: previousTerm,
			Entries: entries,
		}, at, 0)
		carried.recordArrivals(r, at)
	}

	receive(keptAt, first, 0, raft.Entry{Index: 2, Term: 1})
	receive(tailAt, first, 1, raft.Entry{Index: 3, Term: 1}, raft.Entry{Index: 4, Term: 1})
	receive(replacedAt, second, 1, raft.Entry{Index: 3, Term: 2}, raft.Entry{Index: 4, Term: 2})

	for index, want := range map[identifier.Index]clock.Monotonic{2: keptAt, 3: replacedAt, 4: replacedAt} {
		copied := carriedTime{arrivals: carried.arrivals}
		if at := copied.takeArrival(index, appliedAt); at != want {
			t.Errorf("entry %d arrived at %d, want %d", index, at, want)
		}
	}
}

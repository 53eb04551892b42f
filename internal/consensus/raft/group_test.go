package raft

import (
	"fmt"
	"math/rand"

	"orchidward/internal/api/identifier"
)

// options says what a simulated group is like and what it has to bear.
type options struct {
	timing Timing
	// wantVoters is how many members are to vote, maxMembers how many there may be
	// at a time, and maxHosts how many hosts in all.
	wantVoters int
	maxMembers int
	maxHosts   int

	// meanWriteMs is how long a write to disk takes on average.
	meanWriteMs int
	// meanProposalMs is how long it is between proposals on average, and entryBytes
	// how large each is.
	meanProposalMs int
	entryBytes     int
	// tailLimit, unless nil, overrides how much of the log is kept behind a
	// snapshot.
	tailLimit *tailLimit
	// compactOften has members take snapshots every few entries.
	compactOften bool

	// reliableNetwork loses nothing and takes a millisecond. Members are then
	// ticked every millisecond.
	reliableNetwork bool
	// maxDelayMs is how late a duplicated message may be.
	maxDelayMs int64
	// maxDrift is by how much a clock may be off, in 1/10000.
	maxDrift int

	// meanFaultMs is how long it is between calls of injectFault on average.
	meanFaultMs int
	// losePairs says that now and then two hosts are lost at once, and that a host
	// may be lost for good, its disk with it, and an empty one come.
	losePairs bool
	// pauseProcesses has processes stand still now and then.
	pauseProcesses bool
}

// counters is the evidence that a simulation put its group to the test.
type counters struct {
	proposals          int
	losses             int
	membershipChanges  int
	pairsLost          int
	hostsLost          int
	pauses             int
	snapshotsInstalled int
}

// group is a simulated group of hosts on one true clock, in ms.
type group struct {
	options
	counters
	history

	random *rand.Rand
	now    int64
	hosts  []*host

	network      []inTransit
	blockedLinks map[link]bool
	// scheduled holds what is to happen at a time.
	scheduled     map[int64][]func()
	faultsEnabled bool
	// failure is the first thing that must not have happened, empty for none.
	failure string
}

// newGroup makes a group without hosts, whose options vary with the seed.
func newGroup(seed int64) *group {
	return &group{
		options: options{
			timing:         DefaultTiming(),
			meanWriteMs:    []int{2, 6, 25}[seed%3],
			meanProposalMs: 40,
			entryBytes:     []int{4, 50 << 10}[seed/3%2],
			maxDelayMs:     900,
			maxDrift:       20,
			meanFaultMs:    []int{2, 4, 8, 16}[seed%4],
		},
		history:      newHistory(),
		random:       rand.New(rand.NewSource(seed)),
		blockedLinks: map[link]bool{},
		scheduled:    map[int64][]func(){},
	}
}

// bootstrap starts a group of so many voters, and where pairs are lost also the
// learners that there is place for.
func (g *group) bootstrap(voters int) {
	members := []Member{}
	for i := 1; i <= voters; i++ {
		members = append(members, Member{ID: identifier.Node(i), Addr: fmt.Sprint(i), Voter: true})
	}
	for len(members) < g.maxMembers && g.losePairs {
		id := len(members) + 1
		members = append(members, Member{ID: identifier.Node(id), Addr: fmt.Sprint(id)})
	}
	for _, m := range members {
		index := identifier.Index(0)
		if m.Voter {
			index = 1
		}
		g.start(g.addHost(members, index))
	}
}

// addHost adds a host that is down, whose disk holds a snapshot at an index.
func (g *group) addHost(members []Member, index identifier.Index) *host {
	h := &host{
		id:    identifier.Node(len(g.hosts) + 1),
		drift: float64(g.random.Intn(2*g.maxDrift+1)-g.maxDrift) / 10000,
		disk:  disk{snapshot: &Snapshot{Index: index, Term: identifier.Term(index), Members: members}},
	}
	g.hosts = append(g.hosts, h)
	return h
}

package raft

import (
	"fmt"
	"math/rand"

	"orchidward/internal/api/identifier"
)

// options configures a simulated group and the faults injected into it.
type options struct {
	timing Timing
	// wantVoters is the target number of voters, maxMembers the maximum number of members
	// at a time, and maxHosts the maximum number of hosts ever started.
	wantVoters int
	maxMembers int
	maxHosts   int

	// meanWriteMs is the mean duration of a disk write.
	meanWriteMs int
	// meanProposalMs is the mean time between proposals, and entryBytes the size of each.
	meanProposalMs int
	entryBytes     int
	// tailLimit, unless nil, overrides the limit on entries kept after compaction.
	tailLimit *tailLimit
	// compactOften makes members take snapshots every few entries.
	compactOften bool

	// reliableNetwork delivers every message after one millisecond. Members are then
	// ticked every millisecond.
	reliableNetwork bool
	// maxDelayMs is the maximum delay of a duplicated message.
	maxDelayMs int64
	// maxDrift is the maximum clock drift, in units of 1/10000.
	maxDrift int

	// meanFaultMs is the mean time between calls of injectFault.
	meanFaultMs int
	// losePairs enables faults in which two voters fail at once, and in which a host is
	// lost permanently with its disk and replaced by an empty one.
	losePairs bool
	// pauseProcesses enables faults that pause a process.
	pauseProcesses bool
}

// counters counts events of a simulation, to check that it exercised the group.
type counters struct {
	proposals          int
	losses             int
	membershipChanges  int
	pairsLost          int
	hostsLost          int
	pauses             int
	snapshotsInstalled int
}

// group is a simulated group of hosts. Its time is in ms, without drift.
type group struct {
	options
	counters
	history

	random *rand.Rand
	now    int64
	hosts  []*host

	network      []inTransit
	blockedLinks map[link]bool
	// scheduled holds the functions to call at each time.
	scheduled     map[int64][]func()
	faultsEnabled bool
	// failure describes the first failure, empty if there is none.
	failure string
}

// newGroup returns a group without hosts, whose options vary with the seed.
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

// bootstrap starts a group with the given number of voters and, if losePairs is set, with
// as many learners as maxMembers allows.
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

// addHost adds a stopped host whose disk contains a snapshot at an index.
func (g *group) addHost(members []Member, index identifier.Index) *host {
	h := &host{
		id:    identifier.Node(len(g.hosts) + 1),
		drift: float64(g.random.Intn(2*g.maxDrift+1)-g.maxDrift) / 10000,
		disk:  disk{snapshot: &Snapshot{Index: index, Term: identifier.Term(index), Members: members}},
	}
	g.hosts = append(g.hosts, h)
	return h
}

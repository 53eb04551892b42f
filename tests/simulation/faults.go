package simulation

import (
	"fmt"
	"math/rand"
	"slices"
)

// FaultKind is a kind of fault.
type FaultKind string

// Kinds of fault. Each ends after its duration, unless documented otherwise.
const (
	// ServerCrash ends a server, LeaderCrash the leader.
	ServerCrash FaultKind = "server-crash"
	LeaderCrash FaultKind = "leader-crash"
	// ServerFreeze suspends a server, LeaderFreeze the leader.
	ServerFreeze FaultKind = "server-freeze"
	LeaderFreeze FaultKind = "leader-freeze"
	// ServerIsolated blocks all links of a server, LeaderIsolated all of the leader.
	ServerIsolated FaultKind = "server-isolated"
	LeaderIsolated FaultKind = "leader-isolated"
	// ServerHalfIsolated blocks all links from a server or all links to it, by
	// Parameter.
	ServerHalfIsolated FaultKind = "server-half-isolated"
	// ServerLinkBlocked blocks the link from a server to the one chosen by Parameter.
	ServerLinkBlocked FaultKind = "server-link-blocked"
	// ServerDiskSlow delays each disk operation of a server by 200 ms plus twice
	// Parameter.
	ServerDiskSlow FaultKind = "server-disk-slow"
	// ServerDiskStalled lets no disk operation of a server complete.
	ServerDiskStalled FaultKind = "server-disk-stalled"
	// ServerLost replaces a server by an empty one for good, once in a run.
	ServerLost FaultKind = "server-lost"
	// ServerClockJump sets the wall clock of a server wrong, by up to hours.
	ServerClockJump FaultKind = "server-clock-jump"
	// AllServersCrash ends all servers at once.
	AllServersCrash FaultKind = "all-servers-crash"

	// GatewayCrash ends a gateway, GatewayFreeze suspends it, GatewayIsolated blocks
	// all its links, GatewayLinkBlocked those with the server chosen by Parameter.
	GatewayCrash       FaultKind = "gateway-crash"
	GatewayFreeze      FaultKind = "gateway-freeze"
	GatewayIsolated    FaultKind = "gateway-isolated"
	GatewayLinkBlocked FaultKind = "gateway-link-blocked"

	// RunnerCrash ends a runner, RunnerFreeze suspends it.
	RunnerCrash  FaultKind = "runner-crash"
	RunnerFreeze FaultKind = "runner-freeze"
	// RunnerIsolated blocks all links from a runner and, by Parameter, those to it.
	RunnerIsolated FaultKind = "runner-isolated"
	// RunnerDrain makes a runner announce its departure; by Parameter it then crashes
	// or withdraws the announcement.
	RunnerDrain FaultKind = "runner-drain"
	// RunnerDefective makes most attempts of a runner fail, and slows it down by
	// Parameter.
	RunnerDefective FaultKind = "runner-defective"
	// RunnerLost ends a runner for good, up to three in a run.
	RunnerLost FaultKind = "runner-lost"
	// RackDrain makes all runners of a runner's rack announce their departure at short
	// notice, by Parameter, and crash when it has passed.
	RackDrain FaultKind = "rack-drain"

	// DomainCrash ends all servers, gateways and runners of a domain.
	DomainCrash FaultKind = "domain-crash"
	// DomainPartition blocks all links between a domain and the other domains.
	DomainPartition FaultKind = "domain-partition"
	// DomainLost is DomainCrash plus the replacement of one server, once in a run.
	DomainLost FaultKind = "domain-lost"
	// DomainDrain has an operator drain the domain chosen by Parameter.
	DomainDrain FaultKind = "domain-drain"
	// DrainRace has operators drain and reopen that domain at the same time.
	DrainRace FaultKind = "drain-race"

	// LimitsStorm changes the limits table 200 times in a second.
	LimitsStorm FaultKind = "limits-storm"
	// LimitsRace changes a cell of the limits table six times on the same base.
	LimitsRace FaultKind = "limits-race"
	// LimitsFlood adds many rows to the limits table.
	LimitsFlood FaultKind = "limits-flood"
	// PacketLoss loses a further 5 % of all messages.
	PacketLoss FaultKind = "packet-loss"
	// LoadSpike is ten times the usual load.
	LoadSpike FaultKind = "load-spike"
	// MassRestart ends all runners, and all gateways but one, at once.
	MassRestart FaultKind = "mass-restart"
)

// Fault is one fault of a scenario: it begins at At and lasts Duration, both in
// milliseconds. Target selects the affected process, modulo the number of candidates.
// Parameter is a second choice or an amount, depending on the kind.
type Fault struct {
	At, Duration int64
	Kind         FaultKind
	Target       int
	Parameter    int
}

// String formats the fault as a Go literal to paste into a test.
func (f Fault) String() string {
	return fmt.Sprintf("{At: %d, Duration: %d, Kind: %q, Target: %d, Parameter: %d}", f.At, f.Duration, f.Kind, f.Target, f.Parameter)
}

// faultWeights are the kinds that DrawFaults draws from, each with its weight. The
// order determines which faults a seed yields.
var faultWeights = []struct {
	kind   FaultKind
	weight int
}{
	{ServerCrash, 4},
	{ServerFreeze, 4},
	{ServerLinkBlocked, 4},
	{ServerIsolated, 3},
	{ServerHalfIsolated, 2},
	{ServerDiskSlow, 3},
	{ServerLost, 1},
	{AllServersCrash, 1},
	{ServerClockJump, 4},
	{GatewayCrash, 3},
	{GatewayFreeze, 2},
	{GatewayLinkBlocked, 3},
	{RunnerCrash, 4},
	{RunnerFreeze, 4},
	{RunnerIsolated, 4},
	{RunnerDrain, 5},
	{RunnerDefective, 2},
	{DomainDrain, 6},
	{LeaderCrash, 4},
	{LeaderFreeze, 4},
	{LeaderIsolated, 3},
	{LimitsStorm, 2},
	{PacketLoss, 2},
	{LoadSpike, 1},
	{DomainCrash, 2},
	{DomainPartition, 3},
	{DomainLost, 1},
	{ServerDiskStalled, 3},
	{GatewayIsolated, 2},
	{RunnerLost, 2},
	{RackDrain, 3},
	{LimitsRace, 2},
	{DrainRace, 2},
	{LimitsFlood, 1},
	{MassRestart, 1},
}

const (
	// maxChoice bounds Target and Parameter of drawn faults.
	maxChoice = 1000

	// Durations of drawn faults in ms: half of the faults are short.
	minShortFault  = 200
	shortFaultSpan = 1500
	minLongFault   = 2000
	longFaultSpan  = 16000
)

// DrawFaults draws count faults from a seed, which begin and end between from and to. At
// most one of them loses a disk.
func DrawFaults(seed int64, from, to int64, count int) []Fault {
	var faults []Fault
	random := rand.New(rand.NewSource(seed))
	diskLost := false
	for len(faults) < count {
		fault := drawFault(random, from, to)
		if fault.losesDisk() {
			if diskLost {
				continue
			}
			diskLost = true
		}
		faults = append(faults, fault)
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

func drawFault(random *rand.Rand, from, to int64) Fault {
	total := 0
	for _, one := range faultWeights {
		total += one.weight
	}
	drawn := random.Intn(total)
	fault := Fault{
		At:        from + random.Int63n(to-from),
		Target:    random.Intn(maxChoice),
		Parameter: random.Intn(maxChoice),
	}
	for _, one := range faultWeights {
		if drawn -= one.weight; drawn < 0 {
			fault.Kind = one.kind
			break
		}
	}
	fault.Duration = minShortFault + random.Int63n(shortFaultSpan)
	if random.Intn(2) == 0 {
		fault.Duration = minLongFault + random.Int63n(longFaultSpan)
	}
	fault.Duration = min(fault.Duration, to-fault.At)
	return fault
}

func (f Fault) losesDisk() bool { return f.Kind == ServerLost || f.Kind == DomainLost }

package simulation

import (
	"fmt"
	"math/rand"
	"slices"
)

// FaultKind is what goes wrong.
type FaultKind string

// Kinds of fault. Each ends after its duration, unless it says otherwise.
const (
	// ServerCrash ends a server, LeaderCrash the one that leads.
	ServerCrash FaultKind = "server-crash"
	LeaderCrash FaultKind = "leader-crash"
	// ServerFreeze and LeaderFreeze suspend one.
	ServerFreeze FaultKind = "server-freeze"
	LeaderFreeze FaultKind = "leader-freeze"
	// ServerIsolated and LeaderIsolated block all its links.
	ServerIsolated FaultKind = "server-isolated"
	LeaderIsolated FaultKind = "leader-isolated"
	// ServerHalfIsolated blocks all links from it or all to it, by Parameter.
	ServerHalfIsolated FaultKind = "server-half-isolated"
	// ServerLinkBlocked blocks the link to the server chosen by Parameter.
	ServerLinkBlocked FaultKind = "server-link-blocked"
	// ServerDiskSlow makes its disk slower by 200 ms and twice Parameter.
	ServerDiskSlow FaultKind = "server-disk-slow"
	// ServerDiskStalled lets no operation of its disk end.
	ServerDiskStalled FaultKind = "server-disk-stalled"
	// ServerLost replaces it by an empty one for good, once in a run.
	ServerLost FaultKind = "server-lost"
	// ServerClockJump sets its wall clock wrong, by up to hours.
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
	// RunnerIsolated blocks all links from it, and those to it by Parameter.
	RunnerIsolated FaultKind = "runner-isolated"
	// RunnerDrain makes it leave; by Parameter it crashes then, or stays after all.
	RunnerDrain FaultKind = "runner-drain"
	// RunnerDefective makes most of its attempts fail, and it slow by Parameter.
	RunnerDefective FaultKind = "runner-defective"
	// RunnerLost ends it for good, up to three in a run.
	RunnerLost FaultKind = "runner-lost"
	// RackDrain makes a runner's rack leave at short notice, by Parameter, and go.
	RackDrain FaultKind = "rack-drain"

	// DomainCrash ends all servers, gateways and runners of a domain.
	DomainCrash FaultKind = "domain-crash"
	// DomainPartition blocks all links between a domain and the rest.
	DomainPartition FaultKind = "domain-partition"
	// DomainLost is DomainCrash with a server that is replaced, once in a run.
	DomainLost FaultKind = "domain-lost"
	// DomainDrain has an operator drain the domain chosen by Parameter.
	DomainDrain FaultKind = "domain-drain"
	// DrainRace has operators drain and reopen that domain at the same time.
	DrainRace FaultKind = "drain-race"

	// LimitsStorm changes the limits table two hundred times in a second.
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
// milliseconds. Target chooses what it strikes, by remainder of the number of
// candidates. Parameter is a second choice or an amount, as the kind says.
type Fault struct {
	At, Duration int64
	Kind         FaultKind
	Target       int
	Parameter    int
}

// String is the fault as it can be pasted into a test.
func (f Fault) String() string {
	return fmt.Sprintf("{At: %d, Duration: %d, Kind: %q, Target: %d, Parameter: %d}", f.At, f.Duration, f.Kind, f.Target, f.Parameter)
}

// faultWeights are the kinds that DrawFaults draws from, each with its weight. The
// order is part of what a seed means.
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

	// Durations of drawn faults in ms: half of them are short.
	minShortFault  = 200
	shortFaultSpan = 1500
	minLongFault   = 2000
	longFaultSpan  = 16000
)

// DrawFaults draws so many faults from a seed, which begin and end between two
// moments. At most one of them loses a disk.
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

package simulation

import (
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
)

// ClusterSpec is the size of a cluster and its usual conditions.
type ClusterSpec struct {
	// Servers, Gateways and Runners are how many of each there are.
	Servers, Gateways, Runners int
	// Cores and Mem (in MiB) are the capacity of each runner.
	Cores, Mem int64
	// DelayMs is the usual one-way delay of messages.
	DelayMs int64
	// LinkBytesPerMs is how fast a link between two processes carries messages, in bytes
	// a ms, 0 for at once.
	LinkBytesPerMs int64
	// LossPerMille is the share of messages that are lost.
	LossPerMille int64
	// LoadPercent is the clients' load in percent of the usual.
	LoadPercent int64
	// DefectPercent is the usual share of attempts that end by a defect.
	DefectPercent int64
	// ServerDomains is over how many failure domains the servers are spread, 0 for
	// the usual three. Gateways and runners are always spread over three.
	ServerDomains int
	// DisklessServers is how many servers without a disk there are besides.
	DisklessServers int
	// LossesTolerated is how many disks of servers may be lost at once, as the servers
	// are told; 0 tells them nothing.
	LossesTolerated int
	// LogFileBytes is the size of each file of a server's write-ahead log, 0 for the
	// usual, which is small enough that it is compacted in many runs.
	LogFileBytes int
	// ElectionTimeout is the least wait before an election, 0 for the usual.
	ElectionTimeout clock.Millis
}

// Domains are the failure domains of gateways, runners and, usually, servers.
var Domains = []string{"north", "east", "west"}

// fourthDomain is the further domain of servers that are spread over four.
const fourthDomain = "south"

// maxSeeds is how many servers are known to all from the start.
const maxSeeds = 3

// FastNetwork is a cluster of small machines on a fast network without loss.
func FastNetwork() ClusterSpec {
	return ClusterSpec{
		Servers:       3,
		Gateways:      3,
		Runners:       11,
		Cores:         16,
		Mem:           65536,
		DelayMs:       3,
		LoadPercent:   100,
		DefectPercent: 3,
	}
}

// LossyNetwork is a cluster of larger machines on a slower network that loses some
// messages.
func LossyNetwork() ClusterSpec {
	spec := FastNetwork()
	spec.Cores = 64
	spec.Mem = 131072
	spec.DelayMs = 25
	spec.LossPerMille = 5
	return spec
}

// ServerDomainNames are the failure domains over which servers are spread.
func (s ClusterSpec) ServerDomainNames() []string {
	names := append([]string(nil), Domains...)
	if s.ServerDomains == len(Domains)+1 {
		names = append(names, fourthDomain)
	}
	return names
}

func (s ClusterSpec) timing() raft.Timing {
	if s.ElectionTimeout == 0 {
		return raft.DefaultTiming()
	}
	return raft.NewTiming(s.ElectionTimeout)
}

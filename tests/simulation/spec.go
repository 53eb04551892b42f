package simulation

import (
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
)

// ClusterSpec defines the size of a cluster and its normal operating conditions.
type ClusterSpec struct {
	// Servers, Gateways and Runners are the number of processes of each kind.
	Servers, Gateways, Runners int
	// Cores and Mem (in MiB) are the capacity of each runner.
	Cores, Mem int64
	// DelayMs is the usual one-way delay of messages.
	DelayMs int64
	// LinkBytesPerMs is the bandwidth of a link between two processes in bytes per ms, 0
	// for unlimited.
	LinkBytesPerMs int64
	// LossPerMille is the share of messages that are lost.
	LossPerMille int64
	// LoadPercent is the clients' load in percent of the usual.
	LoadPercent int64
	// DefectPercent is the usual share of attempts that end with a defect.
	DefectPercent int64
	// ServerDomains is the number of failure domains over which the servers are spread,
	// 0 for the usual three. Gateways and runners are always spread over three.
	ServerDomains int
	// DisklessServers is the number of additional servers without a disk.
	DisklessServers int
	// LossesTolerated is the servers' setting of how many server disks may be lost at
	// once; 0 leaves it unset.
	LossesTolerated int
	// LogFileBytes is the size of each file of a server's write-ahead log, 0 for the
	// default, which is small enough that many runs compact the log.
	LogFileBytes int
	// ElectionTimeout is the shortest election timeout, 0 for the default.
	ElectionTimeout clock.Millis
}

// Domains are the failure domains of gateways, runners and, usually, servers.
var Domains = []string{"north", "east", "west"}

// fourthDomain is the additional domain of servers that are spread over four.
const fourthDomain = "south"

// maxSeeds is the largest number of servers in Cluster.Seeds.
const maxSeeds = 3

// FastNetwork specifies a cluster of small machines on a fast network without loss.
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

// LossyNetwork specifies a cluster of larger machines on a slower network that loses
// some messages.
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

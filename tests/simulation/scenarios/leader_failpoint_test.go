package scenarios

import (
	"orchidward/internal/api/identifier"
	"orchidward/tests/simulation"
)

// leaderFailpoint makes the leader fail for a while as soon as its log has grown by the
// given number of entries since the failpoint was armed.
type leaderFailpoint struct {
	// loss is LeaderCrash, LeaderFreeze or LeaderIsolated.
	loss    simulation.FaultKind
	entries int
	// duration is how long the leader is unavailable, in ms.
	duration int64

	cluster    *simulation.Cluster
	armedIndex identifier.Index
	fired      bool
}

func (f *leaderFailpoint) install(cluster *simulation.Cluster) {
	f.cluster = cluster
	cluster.Failpoint = f.check
}

// arm arms the failpoint: entries count from now on.
func (f *leaderFailpoint) arm() {
	if leader := f.cluster.Leader(); leader != nil {
		f.armedIndex = leader.Machine.Raft().LastIndex()
	}
}

// check makes a server fail if it is the leader and its log has the entries.
func (f *leaderFailpoint) check(server *simulation.Server) (crashed bool) {
	if f.armedIndex == 0 || f.fired || !server.IsLeader() {
		return false
	}
	if server.Machine.Raft().LastIndex() < f.armedIndex+identifier.Index(f.entries) {
		return false
	}
	f.fired = true
	switch f.loss {
	case simulation.LeaderCrash:
		f.cluster.After(f.duration, f.cluster.CrashServer(server))
		return true
	case simulation.LeaderFreeze:
		f.cluster.After(f.duration, f.cluster.Freeze(server.Process))
	case simulation.LeaderIsolated:
		f.cluster.After(f.duration, f.cluster.Isolate(server.Process, true, true))
	}
	return false
}

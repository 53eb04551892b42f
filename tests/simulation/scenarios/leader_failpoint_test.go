package scenarios

import "orchidward/tests/simulation"

// leaderFailpoint loses the leader for a while as soon as its log has grown by so many
// entries since the failpoint was armed.
type leaderFailpoint struct {
	cluster    *simulation.Cluster
	how        string
	entries    int
	duration   int64
	armedIndex uint64
	fired      bool
}

func (s *leaderFailpoint) install(cluster *simulation.Cluster) {
	s.cluster = cluster
	cluster.Failpoint = s.check
}

// arm counts entries from now on.
func (s *leaderFailpoint) arm() {
	if server := s.cluster.Leader(); server != nil {
		s.armedIndex = uint64(server.Machine.Raft().LastIndex())
	}
}

func (s *leaderFailpoint) check(server *simulation.Server) bool {
	if s.armedIndex == 0 || s.fired || !server.IsLeader() || uint64(server.Machine.Raft().LastIndex()) < s.armedIndex+uint64(s.entries) {
		return false
	}
	s.fired = true
	switch s.how {
	case "crash":
		s.cluster.After(s.duration, s.cluster.CrashServer(server))
		return true
	case "freeze":
		s.cluster.After(s.duration, s.cluster.Freeze(server.Process))
	case "alone":
		s.cluster.After(s.duration, s.cluster.Isolate(server.Process, true, true))
	}
	return false
}

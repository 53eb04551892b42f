// What is owed: service, whenever a majority of keepers with sound disks hear
// one another and some gate reaches them and the callers. Whatever else is
// broken meanwhile, however much of it, is no excuse.

package simulation

// serviceDue tells whether the machines as they stand owe service.
func (cluster *Cluster) serviceDue() bool {
	good, need := cluster.healthyVoters(), cluster.quorum()
	for _, g := range cluster.Gateways {
		if !g.Up || g.Frozen || !cluster.reachable(g.Process, cluster.Clients.Process) {
			continue
		}
		reach := []*Server{}
		for _, server := range good {
			if cluster.reachable(g.Process, server.Process) {
				reach = append(reach, server)
			}
		}
		if cluster.hasClique(reach, need) {
			return true
		}
	}
	return false
}

// reachable tells whether two processes reach each other, both ways.
func (cluster *Cluster) reachable(a, b *Process) bool { return a == b || !cluster.blocked(a, b) && !cluster.blocked(b, a) }

// healthyVoters lists the keepers that run, have a seat, and a disk that keeps up.
func (cluster *Cluster) healthyVoters() []*Server {
	var list []*Server
	for _, server := range cluster.Servers {
		if !server.Up || server.Frozen || server.DiskDelay > 0 || server.DiskStalledUntil > cluster.Now || server.Machine == nil || server.Machine.Raft() == nil {
			continue
		}
		if m, ok := server.Machine.Raft().Member(server.Machine.Config().ID); ok && m.Voter {
			list = append(list, server)
		}
	}
	return list
}

// quorum is how many keepers must agree, by the newest list any knows.
func (cluster *Cluster) quorum() int {
	voters, at := 0, uint64(0)
	for _, server := range cluster.Servers {
		if server.Machine == nil || server.Machine.Raft() == nil || uint64(server.Machine.Raft().LastIndex()) < at {
			continue
		}
		at, voters = uint64(server.Machine.Raft().LastIndex()), 0
		for _, m := range server.Machine.Raft().Members() {
			if m.Voter {
				voters++
			}
		}
	}
	return voters/2 + 1
}

// hasClique tells whether need of the keepers all hear one another.
func (cluster *Cluster) hasClique(list []*Server, need int) bool {
	if need == 0 {
		return true
	}
	for i, server := range list {
		rest := []*Server{}
		for _, other := range list[i+1:] {
			if cluster.reachable(server.Process, other.Process) {
				rest = append(rest, other)
			}
		}
		if cluster.hasClique(rest, need-1) {
			return true
		}
	}
	return false
}

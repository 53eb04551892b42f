package simulation

// serviceDue reports whether the cluster must serve in the current state of its machines:
// a majority of the voters have healthy disks and reach one another, and some gateway
// reaches them and the clients. No other fault excuses an outage.
func (c *Cluster) serviceDue() bool {
	healthy := c.healthyVoters()
	required := c.quorum()
	for _, gateway := range c.Gateways {
		if !gateway.Up || gateway.Frozen || !c.reachable(gateway.Process, c.Clients.Process) {
			continue
		}
		reached := c.reachableFrom(gateway.Process, healthy)
		if c.hasClique(reached, required) {
			return true
		}
	}
	return false
}

// reachableFrom lists the servers that a process can reach.
func (c *Cluster) reachableFrom(p *Process, servers []*Server) []*Server {
	var reached []*Server
	for _, server := range servers {
		if c.reachable(p, server.Process) {
			reached = append(reached, server)
		}
	}
	return reached
}

// healthyVoters lists the servers that are running, are voters in their own member list,
// and have a healthy disk.
func (c *Cluster) healthyVoters() []*Server {
	var healthy []*Server
	for _, server := range c.Servers {
		diskSound := server.DiskDelay == 0 && server.DiskStalledUntil <= c.Now
		if server.Up && !server.Frozen && diskSound && server.inGroup() && server.isVoter() {
			healthy = append(healthy, server)
		}
	}
	return healthy
}

// inGroup reports whether a running server belongs to a Raft group.
func (s *Server) inGroup() bool { return s.Machine != nil && s.Machine.Raft() != nil }

func (s *Server) isVoter() bool {
	member, known := s.Machine.Raft().Member(s.Machine.Config().ID)
	return known && member.Voter
}

// quorum is the size of a majority of the voters, by the member list of the server with
// the longest log.
func (c *Cluster) quorum() int {
	var newest *Server
	for _, server := range c.Servers {
		if server.inGroup() && (newest == nil || server.Machine.Raft().LastIndex() >= newest.Machine.Raft().LastIndex()) {
			newest = server
		}
	}
	voters := 0
	if newest != nil {
		for _, member := range newest.Machine.Raft().Members() {
			if member.Voter {
				voters++
			}
		}
	}
	return voters/2 + 1
}

// hasClique reports whether at least size of the servers all reach one another.
func (c *Cluster) hasClique(servers []*Server, size int) bool {
	if size == 0 {
		return true
	}
	for i, server := range servers {
		others := c.reachableFrom(server.Process, servers[i+1:])
		if c.hasClique(others, size-1) {
			return true
		}
	}
	return false
}

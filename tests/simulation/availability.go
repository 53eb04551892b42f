package simulation

// serviceDue tells whether the cluster must serve, as its machines stand: a
// majority of the voters have sound disks and hear one another, and some gateway
// reaches them and the clients. Whatever else is broken is no excuse.
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

// reachableFrom lists the servers that a process reaches.
func (c *Cluster) reachableFrom(p *Process, servers []*Server) []*Server {
	var reached []*Server
	for _, server := range servers {
		if c.reachable(p, server.Process) {
			reached = append(reached, server)
		}
	}
	return reached
}

// healthyVoters lists the servers that run, know themselves to be voters, and have
// a disk that keeps up.
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

// inGroup tells whether a running server knows of a group that it belongs to.
func (s *Server) inGroup() bool { return s.Machine != nil && s.Machine.Raft() != nil }

func (s *Server) isVoter() bool {
	member, known := s.Machine.Raft().Member(s.Machine.Config().ID)
	return known && member.Voter
}

// quorum is how many voters must agree, by the member list of the server with the
// longest log.
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

// hasClique tells whether so many of the servers all reach one another.
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

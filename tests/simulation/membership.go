package simulation

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/raft"
)

// Leader returns the server that leads in the highest term, or nil if there is no
// leader.
func (c *Cluster) Leader() *Server {
	var leader *Server
	for _, server := range c.Servers {
		if server.IsLeader() && (leader == nil || server.Machine.Raft().Term() > leader.Machine.Raft().Term()) {
			leader = server
		}
	}
	return leader
}

// Voters returns the voters in the leader's member list, and their number in each
// domain; none if there is no leader.
func (c *Cluster) Voters() (voters []raft.Member, byDomain map[identifier.Domain]int) {
	byDomain = map[identifier.Domain]int{}
	leader := c.Leader()
	if leader == nil {
		return nil, byDomain
	}
	for _, member := range leader.Machine.Raft().Members() {
		if member.Voter {
			voters = append(voters, member)
			byDomain[member.Domain]++
		}
	}
	return voters, byDomain
}

// ServerByID returns the running server with an ID, or nil if there is none.
func (c *Cluster) ServerByID(id identifier.Node) *Server {
	for _, server := range c.Servers {
		if server.Up && server.Machine != nil && server.Machine.Config().ID == id {
			return server
		}
	}
	return nil
}

// replacementSuffix is appended to the name of a lost server to name its replacement.
const replacementSuffix = "b"

// replacementDelay is how long after a server is lost its replacement starts, in ms.
const replacementDelay = 1000

// AddReplacement removes a server for good and adds an empty one in its domain, at
// a new address, without starting it. The replacement knows one gateway besides the
// seeds.
func (c *Cluster) AddReplacement(lost *Server) *Server {
	lost.Crash()
	lost.Removed = true
	replacement := c.AddServer(lost.Name+replacementSuffix, lost.Domain)
	replacement.Seeds = append([]string{c.Gateways[0].Addr}, c.Seeds...)
	return replacement
}

// ReplaceServer replaces a server by an empty one at a new address, which takes its
// place among Servers.
func (c *Cluster) ReplaceServer(lost *Server) {
	replacement := c.AddReplacement(lost)
	for i, server := range c.Servers {
		if server == lost {
			c.Servers[i] = replacement
		}
	}
	c.Servers = c.Servers[:len(c.Servers)-1]
	c.After(replacementDelay, replacement.Start)
}

// restartDelay is how long a server is down when it is restarted, in ms.
const restartDelay = 700

// RestartAtLevel stops a server and restarts it as a version that supports another level
// of log entries.
func (c *Cluster) RestartAtLevel(server *Server, level uint16) {
	c.CrashServer(server)
	server.Level = level
	c.After(restartDelay, func() {
		if !server.Up {
			server.Start()
		}
	})
}

// MeasureOutage records in longest the longest time between two successful probes of the
// clients, between from and until.
func (c *Cluster) MeasureOutage(from, until int64, longest *int64) {
	const interval = 10
	last := int64(0)
	c.At(from, func() {
		c.Poll(interval, func() bool {
			served := c.Clients.ServedAt
			if served != last {
				if last > 0 {
					*longest = max(*longest, served-last)
				}
				last = served
			}
			return c.Now < until
		})
	})
}

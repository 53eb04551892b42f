package simulation

import (
	"testing"

	"orchidward/internal/invariants"
)

// settledAt is when a cluster without faults has a leader and its gateways are in sync,
// in ms.
const settledAt = 8000

// freeze suspends the first count servers.
func freeze(c *Cluster, count int) {
	for _, server := range c.Servers[:count] {
		c.Suspend(server.Process)
	}
}

// TestServiceDue checks that service is due exactly while a majority of voters with
// healthy disks reach one another and some gateway reaches them and the clients. Pairs of
// rows lie on either side of each boundary.
func TestServiceDue(t *testing.T) {
	for _, one := range []struct {
		name   string
		inject func(c *Cluster)
		want   bool
	}{
		{"no fault", func(*Cluster) {}, true},
		{"one server frozen", func(c *Cluster) { freeze(c, 1) }, true},
		{"two servers frozen", func(c *Cluster) { freeze(c, 2) }, false},
		{"one disk slow", func(c *Cluster) { c.Servers[0].DiskDelay = 1 }, true},
		{"two disks slow", func(c *Cluster) { c.Servers[0].DiskDelay, c.Servers[1].DiskDelay = 1, 1 }, false},
		{"two servers cannot reach each other", func(c *Cluster) {
			c.BlockLink(c.Servers[0].Process, c.Servers[1].Process, false)
		}, true},
		{"no two servers reach each other", func(c *Cluster) {
			c.BlockLink(c.Servers[0].Process, c.Servers[1].Process, false)
			c.BlockLink(c.Servers[1].Process, c.Servers[2].Process, false)
			c.BlockLink(c.Servers[2].Process, c.Servers[0].Process, false)
		}, false},
		{"one gateway reaches two servers", func(c *Cluster) {
			c.BlockLink(c.Gateways[0].Process, c.Servers[0].Process, true)
			c.Suspend(c.Gateways[1].Process)
			c.Suspend(c.Gateways[2].Process)
		}, true},
		{"each gateway reaches one server", func(c *Cluster) {
			for i, gateway := range c.Gateways {
				c.BlockLink(gateway.Process, c.Servers[i].Process, true)
				c.BlockLink(gateway.Process, c.Servers[(i+1)%3].Process, true)
			}
		}, false},
		{"clients reach no gateway", func(c *Cluster) { c.Isolate(c.Clients.Process, true, true) }, false},
	} {
		t.Run(one.name, func(t *testing.T) {
			c := NewCluster(1, FastNetwork())
			c.Run(settledAt)
			one.inject(c)
			if got := c.serviceDue(); got != one.want {
				t.Errorf("service is due: %t, want %t", got, one.want)
			}
		})
	}
}

// TestServiceGapEdge checks the longest allowed service gap, and one that is a
// millisecond longer.
func TestServiceGapEdge(t *testing.T) {
	const longestGap = 12000
	c := NewCluster(1, FastNetwork())
	c.Run(settledAt)
	c.Clients.checkService()
	c.Run(settledAt + longestGap)
	c.Clients.checkService()
	if len(c.Checker.Violations) > 0 {
		t.Errorf("after %d ms: %v", longestGap, c.Checker.Violations)
	}
	c.Run(settledAt + longestGap + 1)
	c.Clients.checkService()
	if c.Checker.Counts[invariants.ViolationCount(invariants.ServiceAvailable)] != 1 {
		t.Errorf("after %d ms: no violation reported", longestGap+1)
	}
}

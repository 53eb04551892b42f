// The larger blows: whole zones, whole racks, machines gone for good, several
// operators at once, and crowds of processes that come back together.

package simulation

import (
	"fmt"
	"sort"

	"orchidward/internal/api/endpoint"
)

// processesIn lists every process of a zone, in a steady order.
func (cluster *Cluster) processesIn(zone string) []*Process {
	var list []*Process
	for _, n := range cluster.processes {
		if n.Domain == zone {
			list = append(list, n)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// CrashDomain takes the power from all of a zone: keeper, gate and runners.
func (cluster *Cluster) CrashDomain(zone string) func() {
	undos := []func(){}
	for _, server := range cluster.Servers {
		if server.Domain == zone {
			undos = append(undos, cluster.CrashServer(server))
		}
	}
	for _, g := range cluster.Gateways {
		if g.Domain == zone {
			undos = append(undos, cluster.crashGateway(g))
		}
	}
	for _, r := range cluster.Runners {
		if r.Domain == zone {
			undos = append(undos, cluster.crashRunner(r))
		}
	}
	return UndoAll(undos)
}

// partitionDomain parts a zone from all the rest; inside it everything is in reach.
func (cluster *Cluster) partitionDomain(zone string) func() {
	in := map[string]bool{}
	for _, n := range cluster.processesIn(zone) {
		in[n.Name] = true
	}
	made := [][2]string{}
	for _, a := range cluster.processes {
		for _, b := range cluster.processes {
			if pair := [2]string{a.Name, b.Name}; in[a.Name] != in[b.Name] && !cluster.blockedLinks[pair] {
				cluster.blockedLinks[pair] = true
				made = append(made, pair)
			}
		}
	}
	return func() {
		for _, pair := range made {
			delete(cluster.blockedLinks, pair)
		}
	}
}

// loseDomain takes a zone's machines away for good: an empty keeper comes in
// another place of the same zone, and runners under their old names with nothing.
func (cluster *Cluster) loseDomain(zone string) func() {
	if cluster.diskLost {
		return nil
	}
	cluster.diskLost = true
	back := cluster.CrashDomain(zone)
	for _, server := range cluster.Servers {
		if server.Domain == zone {
			cluster.ReplaceServer(server)
			break
		}
	}
	return back
}

func (cluster *Cluster) crashGateway(g *Gateway) func() {
	if !g.Up {
		return nil
	}
	cluster.Kill(g.Process)
	return func() {
		if !g.Up {
			g.Start()
		}
	}
}

func (cluster *Cluster) crashRunner(r *Runner) func() {
	if !r.Up {
		return nil
	}
	r.crash()
	return func() {
		if !r.Up && !r.removed {
			r.start()
		}
	}
}

// LoseRunner takes a runner that never comes back; at most three of them, so
// that what is left can still do all the work.
func (cluster *Cluster) LoseRunner(r *Runner) func() {
	if r.removed || cluster.runnersLost >= 3 {
		return nil
	}
	cluster.runnersLost++
	r.removed = true
	r.crash()
	return func() {}
}

// drainRack makes a whole rack say that it goes at short notice, and go.
func (cluster *Cluster) drainRack(rack string, departs int64) func() {
	undos := []func(){}
	for _, r := range cluster.Runners {
		if r.Rack != rack || !r.Up || r.Frozen || r.removed {
			continue
		}
		r.Drain(departs)
		life := r.incarnation
		cluster.After(departs, func() {
			if r.incarnation == life {
				r.crash()
			}
		})
		undos = append(undos, func() {
			if r.incarnation != life && !r.Up && !r.removed {
				r.start()
			}
			if r.incarnation == life {
				r.CancelDrain()
			}
		})
	}
	if len(undos) == 0 {
		return nil
	}
	return UndoAll(undos)
}

// raceLimits lets operators at every gate change the same cell on the same base.
func (cluster *Cluster) raceLimits() {
	c := cluster.Clients
	c.ReadLimits(func(epoch int64) {
		for i := 0; i < 6; i++ {
			c.changeWeight(epoch, false)
		}
	})
}

// raceDrains has two operators close and reopen a zone at the same moment, and
// one of them settle it in the end.
func (cluster *Cluster) raceDrains(zone string) func() {
	back := cluster.drainDomain(zone)
	cluster.After(50, func() {
		c := cluster.Clients
		cluster.Checker.ReopenRequested(zone)
		for i := 0; i < 4; i++ {
			verb := []string{"PUT", "DELETE"}[i%2]
			cluster.Request(c.Process, cluster.Gateways[i%len(cluster.Gateways)].Addr, verb, endpoint.DrainPath(zone), nil, 1000, func(int, []byte) {})
		}
	})
	cluster.drainOrders[zone]++
	cluster.After(2500, func() {
		cluster.drainOrders[zone]++
		turn := cluster.drainOrders[zone]
		c := cluster.Clients
		c.SetDrained(zone, false, func() bool { return cluster.drainOrders[zone] == turn })
	})
	return back
}

// floodLimits lays many rows into the table at once.
func (cluster *Cluster) floodLimits(n int) {
	c := cluster.Clients
	c.ReadLimits(func(epoch int64) {
		cells := map[string]any{}
		for i := 0; i < 150; i++ {
			cells[fmt.Sprintf("wide-%d.weight", i)] = n%100 + 1 + i
		}
		c.PatchLimits(epoch, cells, func(int, int64) {})
	})
}

// restartMany brings many processes down and back at the same moment.
func (cluster *Cluster) restartMany() func() {
	undos := []func(){}
	for _, r := range cluster.Runners {
		undos = append(undos, cluster.crashRunner(r))
	}
	for _, g := range cluster.Gateways[1:] {
		undos = append(undos, cluster.crashGateway(g))
	}
	return UndoAll(undos)
}

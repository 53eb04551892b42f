// Faults: a schedule is drawn from the seed, and can be cut down to the few
// faults that make a failing run fail.

package simulation

import (
	"fmt"
	"math/rand"
	"sort"
)

// Fault is one fault of a schedule: it begins at At and lasts Dur, both in
// milliseconds of simulated time. A and B choose what it strikes, by remainder of
// the number of candidates; for some kinds B is an amount instead.
type Fault struct {
	At, Duration int64
	Kind    string
	Target, Parameter    int
}

func (f Fault) String() string {
	return fmt.Sprintf("{%d, %d, %q, %d, %d}", f.At, f.Duration, f.Kind, f.Target, f.Parameter)
}

// FaultWeights a schedule draws from, each with its weight.
var FaultWeights = []struct {
	Name string
	Odds int
}{
	{"keeper-crash", 4}, {"keeper-freeze", 4}, {"keeper-cut", 4}, {"keeper-alone", 3}, {"keeper-deaf", 2}, {"keeper-slow", 3}, {"keeper-lost", 1},
	{"power", 1}, {"clock", 4}, {"gate-crash", 3}, {"gate-freeze", 2}, {"gate-cut", 3}, {"runner-crash", 4}, {"runner-freeze", 4}, {"runner-cut", 4},
	{"runner-drain", 5}, {"runner-sick", 2}, {"zone", 6}, {"leader-crash", 4}, {"leader-freeze", 4}, {"leader-alone", 3}, {"storm", 2}, {"rain", 2}, {"crowd", 1},
	{"zone-power", 2}, {"zone-cut", 3}, {"zone-gone", 1}, {"keeper-stall", 3}, {"gate-alone", 2}, {"runner-gone", 2}, {"rack-leave", 3},
	{"race", 2}, {"scramble", 2}, {"flood", 1}, {"returns", 1},
}

// DrawFaults makes a schedule within a window.
func DrawFaults(seed int64, from, to int64, count int) []Fault {
	var list []Fault
	rnd := rand.New(rand.NewSource(seed))
	sum := 0
	for _, server := range FaultWeights {
		sum += server.Odds
	}
	lost := false
	for len(list) < count {
		n := rnd.Intn(sum)
		f := Fault{At: from + rnd.Int63n(to-from), Target: rnd.Intn(1000), Parameter: rnd.Intn(1000)}
		for _, server := range FaultWeights {
			if n -= server.Odds; n < 0 {
				f.Kind = server.Name
				break
			}
		}
		f.Duration = 200 + rnd.Int63n(1500)
		if rnd.Intn(2) == 0 {
			f.Duration = 2000 + rnd.Int63n(16000)
		}
		if f.Kind == "keeper-lost" || f.Kind == "zone-gone" {
			if lost {
				continue
			}
			lost = true
		}
		f.Duration = min(f.Duration, to-f.At)
		list = append(list, f)
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].At < list[j].At })
	return list
}

func (cluster *Cluster) Leader() *Server {
	var server *Server
	for _, one := range cluster.Servers {
		if one.IsLeader() && (server == nil || one.Machine.Raft().Term() > server.Machine.Raft().Term()) {
			server = one
		}
	}
	return server
}

// Inject brings a fault about and arranges for its end.
func (cluster *Cluster) Inject(f Fault) {
	cluster.logf("FAULT %v", f)
	undo := cluster.apply(f)
	if undo != nil {
		cluster.Injected[f.Kind]++
	}
	cluster.After(f.Duration, func() {
		cluster.logf("heal %s", f.Kind)
		if undo != nil {
			undo()
		}
	})
}

func (cluster *Cluster) apply(f Fault) func() {
	server := cluster.Servers[f.Target%len(cluster.Servers)]
	g := cluster.Gateways[f.Target%len(cluster.Gateways)]
	r := cluster.Runners[f.Target%len(cluster.Runners)]
	if lead := cluster.Leader(); lead != nil && len(f.Kind) > 6 && f.Kind[:6] == "leader" {
		server = lead
	}
	switch f.Kind {
	case "keeper-crash", "leader-crash":
		return cluster.CrashServer(server)
	case "keeper-freeze", "leader-freeze":
		return cluster.Freeze(server.Process)
	case "keeper-cut":
		return cluster.BlockLink(server.Process, cluster.Servers[f.Parameter%len(cluster.Servers)].Process, false)
	case "keeper-alone", "leader-alone":
		return cluster.Isolate(server.Process, true, true)
	case "keeper-deaf":
		return cluster.Isolate(server.Process, f.Parameter%2 == 0, f.Parameter%2 == 1)
	case "keeper-slow":
		server.DiskDelay = 200 + int64(f.Parameter)*2
		return func() { server.DiskDelay = 0 }
	case "keeper-lost":
		if cluster.diskLost {
			return nil
		}
		cluster.diskLost = true
		cluster.ReplaceServer(server)
		return func() {}
	case "keeper-stall":
		server.DiskStalledUntil = cluster.Now + f.Duration
		return func() {}
	case "zone-power":
		return cluster.CrashDomain(Domains[f.Target%3])
	case "zone-cut":
		return cluster.partitionDomain(Domains[f.Target%3])
	case "zone-gone":
		return cluster.loseDomain(Domains[f.Target%3])
	case "gate-alone":
		return cluster.Isolate(g.Process, true, true)
	case "runner-gone":
		return cluster.LoseRunner(r)
	case "rack-leave":
		return cluster.drainRack(r.Rack, 500+int64(f.Parameter)*4)
	case "race":
		cluster.raceLimits()
		return func() {}
	case "scramble":
		return cluster.raceDrains(Domains[f.Parameter%len(Domains)])
	case "flood":
		cluster.floodLimits(f.Parameter)
		return func() {}
	case "returns":
		return cluster.restartMany()
	case "power":
		undos := []func(){}
		for _, one := range cluster.Servers {
			undos = append(undos, cluster.CrashServer(one))
		}
		return UndoAll(undos)
	case "clock":
		return cluster.jumpClock(server, f.Parameter)
	case "gate-crash":
		return cluster.crashGateway(g)
	case "gate-freeze":
		return cluster.Freeze(g.Process)
	case "gate-cut":
		return cluster.BlockLink(g.Process, cluster.Servers[f.Parameter%len(cluster.Servers)].Process, true)
	case "runner-crash":
		return cluster.crashRunner(r)
	case "runner-freeze":
		return cluster.Freeze(r.Process)
	case "runner-cut":
		return cluster.Isolate(r.Process, true, f.Parameter%2 == 0)
	case "runner-drain":
		return cluster.drainRunner(r, f)
	case "runner-sick":
		r.extraDefects = 80
		r.Machine.SetFaults(int64(f.Parameter)%80, r.Config.DefectPercent+80)
		return func() { r.extraDefects = 0; r.Machine.SetFaults(0, cluster.Spec.DefectPercent) }
	case "zone":
		return cluster.drainDomain(Domains[f.Parameter%len(Domains)])
	case "storm":
		for i := 0; i < 200; i++ {
			cluster.After(int64(i)*5, func() { cluster.Clients.ReadLimits(func(epoch int64) { cluster.Clients.changeWeight(epoch, false) }) })
		}
		return func() {}
	case "rain":
		cluster.Spec.LossPerMille += 50
		return func() { cluster.Spec.LossPerMille -= 50 }
	case "crowd":
		if cluster.Spec.LoadPercent >= 1000 {
			return nil
		}
		cluster.Spec.LoadPercent *= 10
		return func() { cluster.Spec.LoadPercent /= 10 }
	default:
		panic("sim: no such fault: " + f.Kind)
	}
}

func UndoAll(list []func()) func() {
	return func() {
		for _, one := range list {
			if one != nil {
				one()
			}
		}
	}
}

func (cluster *Cluster) CrashServer(server *Server) func() {
	if !server.Up {
		return nil
	}
	server.Crash()
	return func() {
		if !server.Up && !server.Removed {
			server.Start()
		}
	}
}

func (cluster *Cluster) Freeze(n *Process) func() {
	if !n.Up || n.Frozen {
		return nil
	}
	life := n.incarnation
	cluster.Suspend(n)
	return func() {
		if n.incarnation == life {
			cluster.Resume(n)
		}
	}
}

// BlockLink cuts a to b, and back as well when both is set.
func (cluster *Cluster) BlockLink(a, b *Process, both bool) func() {
	if a == b {
		return nil
	}
	cluster.blockedLinks[[2]string{a.Name, b.Name}] = true
	if both {
		cluster.blockedLinks[[2]string{b.Name, a.Name}] = true
	}
	return func() {
		delete(cluster.blockedLinks, [2]string{a.Name, b.Name})
		delete(cluster.blockedLinks, [2]string{b.Name, a.Name})
	}
}

// Isolate cuts a node off from all others, in either direction or both.
func (cluster *Cluster) Isolate(n *Process, out, in bool) func() {
	for _, other := range cluster.processes {
		if other == n {
			continue
		}
		if out {
			cluster.blockedLinks[[2]string{n.Name, other.Name}] = true
		}
		if in {
			cluster.blockedLinks[[2]string{other.Name, n.Name}] = true
		}
	}
	return func() {
		for _, other := range cluster.processes {
			delete(cluster.blockedLinks, [2]string{n.Name, other.Name})
			delete(cluster.blockedLinks, [2]string{other.Name, n.Name})
		}
	}
}

// jumpClock sets a keeper's clock wrong, back or forward by up to hours. Several may
// be wrong at once, but no two alike: two that agree cannot be told from right.
func (cluster *Cluster) jumpClock(server *Server, b int) func() {
	by := int64(b%200-100) * 100_000
	for _, one := range cluster.Servers {
		if one != server && one.ClockSkew != 0 && by-one.ClockSkew < 60_000 && one.ClockSkew-by < 60_000 {
			by += 120_000
		}
	}
	server.ClockSkew = by
	return func() { server.ClockSkew = 0 }
}

// ReplaceServer replaces a keeper by an empty one at a new address.
func (cluster *Cluster) ReplaceServer(server *Server) {
	server.Crash()
	server.Removed = true
	fresh := cluster.AddServer(server.Name+"b", server.Domain)
	for i, one := range cluster.Servers {
		if one == server {
			cluster.Servers[i] = fresh
		}
	}
	cluster.Servers = cluster.Servers[:len(cluster.Servers)-1]
	fresh.Seeds = append([]string{cluster.Gateways[0].Addr}, cluster.Seeds...)
	cluster.After(1000, fresh.Start)
}

func (cluster *Cluster) drainRunner(r *Runner, f Fault) func() {
	if !r.Up || r.Frozen {
		return nil
	}
	r.Drain(int64(f.Parameter) * 10)
	return func() {
		if f.Parameter%3 == 0 {
			r.crash()
			cluster.After(2000, func() {
				if !r.Up && !r.removed {
					r.start()
				}
			})
			return
		}
		r.CancelDrain()
	}
}

func (cluster *Cluster) drainDomain(zone string) func() {
	cluster.drainOrders[zone]++
	turn := cluster.drainOrders[zone]
	still := func() bool { return cluster.drainOrders[zone] == turn }
	cluster.Clients.SetDrained(zone, true, still)
	return func() {
		if still() {
			cluster.drainOrders[zone]++
			turn := cluster.drainOrders[zone]
			cluster.Clients.SetDrained(zone, false, func() bool { return cluster.drainOrders[zone] == turn })
		}
	}
}

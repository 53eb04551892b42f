// Run makes a world, lets a schedule loose on it, heals it, and waits for all
// that was accepted to come to its end.

package simulation

import (
	"fmt"
	"math/rand"
	"sort"

	"orchidward/internal/api/identifier"
	"orchidward/internal/invariants"
)

// Scenario is one run: all of it follows from the seed and the faults.
type Scenario struct {
	Seed   int64
	Spec   ClusterSpec
	Window int64
	Recovery int64
	Faults []Fault
	Trace  bool
	// Setup sets up what a schedule can't say.
	Setup func(w *Cluster)
}

const (
	loadStart = 4000
	// minRecovery is long enough for the longest work to run twice over.
	minRecovery = 70000
	// minObservation is how long a healed world is watched at least, and after how
	// long once all that was accepted has ended: a task that starts yet is wrong.
	minObservation = 16000
	observationAfterDone    = 4000
)

// NewWorld makes a cluster whose processes start at random within the first
// second. Equal seeds and sites give equal runs.
func NewWorld(seed int64, site ClusterSpec) *Cluster {
	cluster := &Cluster{Spec: site, Random: rand.New(rand.NewSource(seed)), processes: map[string]*Process{}, blockedLinks: map[[2]string]bool{}, stalledLinks: map[[2]string][]func(){}, lastArrival: map[[2]string]int64{}, drainOrders: map[string]int{}, Injected: map[string]int{}}
	cluster.Checker = invariants.New(cluster)
	for i := 0; i < min(site.Servers, 3); i++ {
		cluster.Seeds = append(cluster.Seeds, fmt.Sprintf("k%d", i+1))
	}
	for i := 0; i < site.Servers; i++ {
		core := site.ServerDomainNames()
		cluster.AddServer(fmt.Sprintf("k%d", i+1), core[i%len(core)])
	}
	for i := 0; i < site.DisklessServers; i++ {
		cluster.AddServer(fmt.Sprintf("p%d", i+1), Domains[i%3]).Diskless = true
	}
	for i := 0; i < site.Gateways; i++ {
		cluster.AddGateway(fmt.Sprintf("g%d", i+1), Domains[i%3])
	}
	for i := 0; i < site.Runners; i++ {
		cluster.addRunner(i)
	}
	cluster.Clients = newCallers(cluster)
	for _, server := range cluster.Servers {
		cluster.After(cluster.Random.Int63n(300), server.Start)
	}
	for _, g := range cluster.Gateways {
		cluster.After(cluster.Random.Int63n(300), g.Start)
	}
	for _, r := range cluster.Runners {
		cluster.After(cluster.Random.Int63n(1000), r.start)
	}
	return cluster
}

// Run carries a plan out and returns the world for looking at.
func Run(scenario Scenario) *Cluster {
	cluster := NewWorld(scenario.Seed, scenario.Spec)
	cluster.Trace = scenario.Trace
	if scenario.Setup != nil {
		scenario.Setup(cluster)
	}
	if len(scenario.Faults) == 0 {
		cluster.faultsOverAt = 1
	}
	cluster.After(2500, func() {
		cluster.Clients.setUp(func() { cluster.Clients.start(max(loadStart, cluster.Now+2000), scenario.Window) })
	})
	for _, f := range scenario.Faults {
		cluster.At(f.At, func() { cluster.Inject(f) })
	}
	cluster.Run(scenario.Window)
	cluster.Heal()
	for end := scenario.Window + max(scenario.Recovery, minRecovery); cluster.Now < end; {
		cluster.Run(min(end, cluster.Now+1000))
		if cluster.Now > scenario.Window+minObservation && cluster.Checker.Done() {
			cluster.Run(min(end, cluster.Now+observationAfterDone))
			break
		}
	}
	for _, key := range cluster.Checker.Finish() {
		cluster.logStuckJob(key)
	}
	return cluster
}

// Heal ends what may still be wrong, so that the end can be waited for.
func (cluster *Cluster) Heal() {
	if cluster.faultsOverAt == 0 {
		cluster.faultsOverAt = cluster.Now
	}
	for _, key := range sortedLinks(cluster.blockedLinks) {
		delete(cluster.blockedLinks, key)
	}
	for _, server := range cluster.Servers {
		server.DiskDelay, server.ClockSkew, server.DiskStalledUntil = 0, 0, 0
		cluster.Resume(server.Process)
		if !server.Up && !server.Removed {
			server.Start()
		}
	}
	for _, g := range cluster.Gateways {
		cluster.Resume(g.Process)
		if !g.Up {
			g.Start()
		}
	}
	for _, r := range cluster.Runners {
		cluster.Resume(r.Process)
		if r.removed {
			continue
		}
		if !r.Up {
			r.start()
		}
		r.extraDefects = 0
		r.Machine.SetFaults(0, 0)
		if r.Machine.Mode() != "active" {
			r.CancelDrain()
		}
	}
	for _, z := range Domains {
		cluster.drainOrders[z]++
		turn := cluster.drainOrders[z]
		cluster.Clients.SetDrained(z, false, func() bool { return cluster.drainOrders[z] == turn })
	}
}

func sortedLinks(m map[[2]string]bool) [][2]string {
	var list [][2]string
	for server := range m {
		list = append(list, server)
	}
	sort.Slice(list, func(i, j int) bool { return list[i][0]+list[i][1] < list[j][0]+list[j][1] })
	return list
}

// logStuckJob notes what the core has of a job that did not end.
func (cluster *Cluster) logStuckJob(key identifier.JobKey) {
	lead := cluster.Leader()
	if lead == nil {
		cluster.logf("no leader")
		return
	}
	j := lead.Machine.State().Jobs[key]
	if j == nil {
		cluster.logf("%s is not in the book", key)
		return
	}
	cluster.logf("%s is %s, now %d start %d", key, j.State(), lead.Machine.State().Now-WallClockStart, j.StartAt-WallClockStart)
	for i, tasks := range j.Steps {
		for n, t := range tasks {
			cluster.logf("  %d/%d %+v grant %+v", i, n, *t, lead.Machine.State().Leases[t.Lease])
		}
	}
}

// maxShrinkRuns bounds how many runs a shrinking may take.
const maxShrinkRuns = 60

// Shrink drops faults for as long as the run still fails in the same way.
func Shrink(scenario Scenario, fails func(cluster *Cluster) bool) Scenario {
	small := scenario
	runs := 0
	for n := len(small.Faults) / 2; n >= 1 && runs < maxShrinkRuns; {
		cut := false
		for i := 0; i+n <= len(small.Faults) && runs < maxShrinkRuns; {
			runs++
			try := small
			try.Faults = append(append([]Fault(nil), small.Faults[:i]...), small.Faults[i+n:]...)
			if fails(Run(try)) {
				small, cut = try, true
				continue
			}
			i += n
		}
		if !cut || n > len(small.Faults) {
			n /= 2
		}
	}
	return small
}

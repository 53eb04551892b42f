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

// Plan is one run: all of it follows from the seed and the faults.
type Plan struct {
	Seed   int64
	Site   Site
	Window int64
	Settle int64
	Faults []Fault
	Trace  bool
	// Extra sets up what a schedule can't say.
	Extra func(w *World)
}

const (
	warm = 4000
	// settle is long enough for the longest work to run twice over.
	settle = 70000
	// calmMost is how long a healed world is watched at least, and after how
	// long once all that was accepted has ended: a task that starts yet is wrong.
	calmMost = 16000
	after    = 4000
)

// NewWorld makes a cluster whose processes start at random within the first
// second. Equal seeds and sites give equal runs.
func NewWorld(seed int64, site Site) *World {
	w := &World{Site: site, rnd: rand.New(rand.NewSource(seed)), nodes: map[string]*node{}, cuts: map[[2]string]bool{}, stalled: map[[2]string][]func(){}, last: map[[2]string]int64{}, shuts: map[string]int{}, Struck: map[string]int{}}
	w.Watch = invariants.New(w)
	for i := 0; i < min(site.Keepers, 3); i++ {
		w.seeds = append(w.seeds, fmt.Sprintf("k%d", i+1))
	}
	for i := 0; i < site.Keepers; i++ {
		core := site.coreZones()
		w.addKeeper(fmt.Sprintf("k%d", i+1), core[i%len(core)])
	}
	for i := 0; i < site.Porters; i++ {
		w.addKeeper(fmt.Sprintf("p%d", i+1), zones[i%3]).diskless = true
	}
	for i := 0; i < site.Gates; i++ {
		w.addGate(fmt.Sprintf("g%d", i+1), zones[i%3])
	}
	for i := 0; i < site.Runners; i++ {
		w.addRunner(i)
	}
	w.callers = newCallers(w)
	for _, k := range w.keepers {
		w.after(w.rnd.Int63n(300), k.begin)
	}
	for _, g := range w.gates {
		w.after(w.rnd.Int63n(300), g.begin)
	}
	for _, r := range w.runners {
		w.after(w.rnd.Int63n(1000), r.begin)
	}
	return w
}

// Run carries a plan out and returns the world for looking at.
func Run(p Plan) *World {
	w := NewWorld(p.Seed, p.Site)
	w.Trace = p.Trace
	if p.Extra != nil {
		p.Extra(w)
	}
	if len(p.Faults) == 0 {
		w.calm = 1
	}
	w.after(2500, func() {
		w.callers.setUp(func() { w.callers.begin(max(warm, w.Now+2000), p.Window) })
	})
	for _, f := range p.Faults {
		w.at(f.At, func() { w.strike(f) })
	}
	w.Run(p.Window)
	w.heal()
	for end := p.Window + max(p.Settle, settle); w.Now < end; {
		w.Run(min(end, w.Now+1000))
		if w.Now > p.Window+calmMost && w.Watch.Done() {
			w.Run(min(end, w.Now+after))
			break
		}
	}
	for _, key := range w.Watch.Finish() {
		w.autopsy(key)
	}
	return w
}

// heal ends what may still be wrong, so that the end can be waited for.
func (w *World) heal() {
	if w.calm == 0 {
		w.calm = w.Now
	}
	for _, key := range sortedCuts(w.cuts) {
		delete(w.cuts, key)
	}
	for _, k := range w.keepers {
		k.slow, k.skew, k.stall = 0, 0, 0
		w.wake(k.node)
		if !k.up && !k.gone {
			k.begin()
		}
	}
	for _, g := range w.gates {
		w.wake(g.node)
		if !g.up {
			g.begin()
		}
	}
	for _, r := range w.runners {
		w.wake(r.node)
		if r.gone {
			continue
		}
		if !r.up {
			r.begin()
		}
		r.sick = 0
		r.mach.SetFaults(0, 0)
		if r.mach.Mode() != "active" {
			r.stay()
		}
	}
	for _, z := range zones {
		w.shuts[z]++
		turn := w.shuts[z]
		w.callers.zone(z, false, func() bool { return w.shuts[z] == turn })
	}
}

func sortedCuts(m map[[2]string]bool) [][2]string {
	var list [][2]string
	for k := range m {
		list = append(list, k)
	}
	sort.Slice(list, func(i, j int) bool { return list[i][0]+list[i][1] < list[j][0]+list[j][1] })
	return list
}

// autopsy notes what the core has of a job that did not end.
func (w *World) autopsy(key identifier.JobKey) {
	lead := w.leader()
	if lead == nil {
		w.note("no leader")
		return
	}
	j := lead.mach.State().Jobs[key]
	if j == nil {
		w.note("%s is not in the book", key)
		return
	}
	w.note("%s is %s, now %d start %d", key, j.State(), lead.mach.State().Now-epoch, j.StartAt-epoch)
	for i, tasks := range j.Steps {
		for n, t := range tasks {
			w.note("  %d/%d %+v grant %+v", i, n, *t, lead.mach.State().Leases[t.Lease])
		}
	}
}

// tries bounds how many runs a shrinking may take.
const tries = 60

// Shrink drops faults for as long as the run still fails in the same way.
func Shrink(p Plan, fails func(w *World) bool) Plan {
	small := p
	runs := 0
	for n := len(small.Faults) / 2; n >= 1 && runs < tries; {
		cut := false
		for i := 0; i+n <= len(small.Faults) && runs < tries; {
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

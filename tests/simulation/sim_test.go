package simulation

import (
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
)

var (
	seeds = flag.Int("seeds", 16, "how many seeds of the mixed run")
	first = flag.Int64("first", 1, "the first of them")
	count = flag.Int("faults", 14, "faults in each")
	trace = flag.Bool("show", false, "print the run of a failing seed")
)

func judge(t *testing.T, p Plan, w *World) {
	t.Helper()
	if len(w.Watch.Violations) == 0 {
		return
	}
	t.Errorf("seed %d:\n%s", p.Seed, strings.Join(w.Watch.Violations, "\n"))
}

// TestCalm is a site with nothing wrong: all promises, and all jobs end.
func TestCalm(t *testing.T) {
	for _, site := range []Site{Gilde(), Telmar()} {
		p := Plan{Seed: 7, Site: site, Window: 30000, Settle: 25000}
		w := Run(p)
		judge(t, p, w)
		if w.Watch.Counts["ended well"] < 150 {
			t.Errorf("too little evidence: %v", w.Watch.Counts)
		}
		t.Log(w.Watch.Counts, w.Frames)
	}
}

// TestMixed lets everything that fails loose at once, under many seeds.
func TestMixed(t *testing.T) {
	t.Cleanup(func() { t.Log("faults in force:", struck) })
	for i := int64(0); i < int64(*seeds); i++ {
		seed := *first + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			p := mixed(seed)
			w := Run(p)
			judge(t, p, w)
			if t.Failed() {
				small := Shrink(p, func(try *World) bool { return alike(w, try) })
				t.Logf("shrunk to: %s", scene(small))
				if *trace {
					small.Trace = true
					t.Log(strings.Join(Run(small).Log, "\n"))
				}
			}
			tally(w)
			if w.Watch.Counts["ended well"] < 50 {
				t.Errorf("too little evidence: %v", w.Watch.Counts)
			}
		})
	}
}

// alike tells whether a smaller run fails in a way the first one did.
func alike(a, b *World) bool {
	for kind, n := range b.Watch.Counts {
		if strings.HasPrefix(kind, "breach ") && n > 0 && a.Watch.Counts[kind] > 0 {
			return true
		}
	}
	return false
}

// scene prints a plan as it can be pasted into a test.
func scene(p Plan) string {
	text := fmt.Sprintf("Plan{Seed: %d, Window: %d, Settle: %d, Faults: []Fault{", p.Seed, p.Window, p.Settle)
	for _, f := range p.Faults {
		text += f.String() + ", "
	}
	return text + "}}"
}

var (
	tallied sync.Mutex
	struck  = map[string]int{}
)

func tally(w *World) {
	tallied.Lock()
	defer tallied.Unlock()
	for kind, n := range w.Struck {
		struck[kind] += n
	}
}

func mixed(seed int64) Plan {
	site := Gilde()
	if seed%2 == 0 {
		site = Telmar()
	}
	return Plan{Seed: seed, Site: site, Window: 40000, Settle: 60000, Faults: Draw(seed, 5000, 38000, *count)}
}

package simulation

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"testing"

	"orchidward/internal/api/job"
	"orchidward/internal/state"
)

// play runs one scene with the usual load and judges it.
func play(t *testing.T, p Plan) *World {
	t.Helper()
	if p.Site.Keepers == 0 {
		p.Site = Gilde()
	}
	w := Run(p)
	if len(w.Watch.Violations) > 0 {
		t.Errorf("seed %d: %s", p.Seed, strings.Join(w.Watch.Violations, "\n"))
	}
	if w.Watch.Counts["ended well"] < 30 {
		t.Errorf("too little evidence: %v", w.Watch.Counts)
	}
	return w
}

func worst(list []int64) int64 {
	var n int64
	for _, v := range list {
		n = max(n, v)
	}
	return n
}

func median(list []int64) int64 {
	if len(list) == 0 {
		return 0
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list[len(list)/2]
}

// TestOwnerDies takes the closing's owner away at every single log entry from
// the order to close on, and again on the way back: killed, frozen and cut
// off. Whoever is next must finish with the same scope and displaced set.
func TestOwnerDies(t *testing.T) {
	for _, how := range []string{"crash", "freeze", "alone"} {
		for n := 0; n < 14; n++ {
			for _, back := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%d/%v", how, n, back), func(t *testing.T) {
					t.Parallel()
					ownerDies(t, how, n, back)
				})
			}
		}
	}
}

func ownerDies(t *testing.T, how string, n int, back bool) {
	var c *state.Drain
	var first []string
	trap := &snare{how: how, n: n, away: 8000}
	p := Plan{Seed: int64(n) + 100, Window: 30000, Settle: 20000, Extra: func(w *World) {
		w.Site.Rate = 60
		trap.set(w)
		still := func() bool { return true }
		w.at(12000, func() {
			if !back {
				trap.arm()
			}
			w.callers.zone("north", true, still)
		})
		w.at(22000, func() {
			if back {
				trap.arm()
			}
			if k := w.leader(); k != nil {
				for _, x := range k.mach.State().Drains {
					first = append(first, fmt.Sprint(x.Scope, x.Stage))
				}
			}
			w.callers.zone("north", false, still)
		})
	}}
	w := play(t, p)
	if !trap.sprung {
		t.Fatal("the owner was never taken away")
	}
	for _, x := range w.leader().mach.State().Drains {
		c = x
	}
	if c == nil || c.Stage != state.Open || !c.PreflightDone || c.Verdict == "" || len(c.Scope) != 5 {
		t.Fatalf("the closing came to %+v", c)
	}
	if len(first) != 1 || !strings.HasSuffix(first[0], string(state.Closed)) {
		t.Errorf("ten seconds after the order the closing stood at %v", first)
	}
	seen := map[state.Stage]int{}
	for _, m := range c.History {
		seen[m.Stage]++
	}
	for _, s := range []state.Stage{state.Preflight, state.Predrain, state.Cordon, state.Postdrain, state.Closed, state.Preopen, state.Opening, state.Postopen, state.Open} {
		if seen[s] != 1 {
			t.Errorf("stage %s was entered %d times: %v", s, seen[s], c.History)
		}
	}
}

// TestPowerLoss: the whole core loses its power at once, again and again, in
// the midst of acknowledging; nothing acknowledged is lost, and where the
// outage is shorter than the grant no running task is.
func TestPowerLoss(t *testing.T) {
	for seed := int64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			p := Plan{Seed: seed, Window: 30000, Settle: 30000}
			for i := int64(0); i < 3; i++ {
				p.Faults = append(p.Faults, Fault{At: 8000 + i*7000 + seed*137, Dur: 1500, Kind: "power"})
			}
			w := play(t, p)
			if n := w.Watch.Counts["event lapsed"]; n > 0 {
				t.Errorf("%d tasks were lost to an outage shorter than their grant", n)
			}
		})
	}
}

// TestEmptyKeeper: a core machine is replaced by an empty one at a new
// address; it takes the dead seat, after which another machine may go.
func TestEmptyKeeper(t *testing.T) {
	t.Parallel()
	p := Plan{Seed: 3, Window: 45000, Settle: 40000, Faults: []Fault{{At: 8000, Kind: "keeper-lost", A: 1}}, Extra: func(w *World) {
		w.at(30000, func() {
			k := w.keepers[1]
			m, ok := k.mach.Raft().Member(k.mach.Raft().Members()[0].ID)
			names := []string{}
			for _, one := range k.mach.Raft().Members() {
				names = append(names, fmt.Sprint(one.Addr, one.Voter))
			}
			sort.Strings(names)
			if !ok || fmt.Sprint(names) != "[k1true k2btrue k3true]" {
				t.Errorf("members after 22 s: %v %v", names, m)
			}
			w.stopKeeper(w.keepers[0])
			w.keepers[0].gone = true
		})
	}}
	play(t, p)
}

// TestSeedsSwapped: every seed is exchanged while gates and runners run on,
// and one started anew with a single live seed among dead ones finds its way.
func TestSeedsSwapped(t *testing.T) {
	t.Parallel()
	served := 0
	p := Plan{Seed: 5, Window: 30000, Settle: 40000, Extra: func(w *World) {
		w.at(8000, func() {
			w.seeds = []string{"nobody1", w.gates[1].addr, "nobody2"}
			w.die(w.gates[0].node)
			w.gates[0].begin()
		})
		w.at(12000, func() {
			w.stopKeeper(w.keepers[0])
			w.keepers[0].seeds = w.seeds
			w.keepers[0].begin()
		})
		w.at(14000, func() {
			if !w.gates[0].mach.Ready(w.mono(w.gates[0].node)) {
				t.Error("a gate with one live seed found no way in within 6 s")
			}
			served++
		})
	}}
	play(t, p)
	if served == 0 {
		t.Error("never looked")
	}
}

// TestSpans judges the timing promises on a calm site in virtual time.
func TestSpans(t *testing.T) {
	t.Parallel()
	p := Plan{Seed: 11, Window: 60000, Settle: 30000}
	closed := int64(0)
	p.Extra = func(w *World) {
		w.at(30000, func() { w.callers.zone("east", true, func() bool { return true }) })
		var look func()
		look = func() {
			if at, ok := w.Watch.DrainedSince("east"); ok && closed == 0 {
				if k := w.leader(); k != nil {
					for _, c := range k.mach.State().Drains {
						if free, loose := k.mach.State().OpenLeases(c); c.PreflightDone && len(free)+len(loose) == 0 {
							closed = w.Now - at + 1
						}
					}
				}
			}
			if w.Now < 40000 {
				w.after(5, look)
			}
		}
		w.at(30000, look)
	}
	w := play(t, p)
	if closed == 0 || closed > 1000 {
		t.Errorf("closing to last stop: %d ms", closed)
	}
	t.Logf("closing acknowledged to last stop confirmed: %d ms", closed)
	x := w.Watch.Spans
	if n := worst(x["cancel to gone"]); len(x["cancel to gone"]) < 3 || n > 300 {
		t.Errorf("cancel to gone: %v", x["cancel to gone"])
	}
	if n := median(x["admission to start"]); len(x["admission to start"]) < 300 || n > 100 {
		t.Errorf("admission to start: median %d of %d", n, len(x["admission to start"]))
	}
	secs := w.Now / 1000
	t.Logf("frames among processes: about %d bytes a second in all; polls and answers: %d bytes a second for each runner", w.Bytes/secs, w.Polled/secs/int64(len(w.runners)))
	t.Logf("admission to start: median %d ms, worst %d ms of %d; cancel to gone: worst %d ms of %d",
		median(x["admission to start"]), worst(x["admission to start"]), len(x["admission to start"]), worst(x["cancel to gone"]), len(x["cancel to gone"]))
}

// TestTakeover measures how long the service is without an answer when its
// leader goes, however it goes.
func TestTakeover(t *testing.T) {
	for _, how := range []string{"leader-crash", "leader-freeze", "leader-alone", "power"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			gaps := []int64{}
			for seed := int64(1); seed <= 5; seed++ {
				gap := int64(0)
				p := Plan{Seed: seed, Window: 20000, Settle: 20000, Extra: func(w *World) {
					w.at(8000+seed*31, func() { w.strike(Fault{Dur: 10000, Kind: how}) })
					if how == "power" {
						w.at(8300, func() { w.heal(); w.calm = 0 })
					}
					w.longest(7000, 19000, &gap)
				}}
				play(t, p)
				gaps = append(gaps, gap)
			}
			t.Logf("%s: time without an answer: median %d ms, worst %d ms of %v", how, median(gaps), worst(gaps), gaps)
			if worst(gaps) > 12000 || worst(gaps) < 300 {
				t.Errorf("%s: %v", how, gaps)
			}
		})
	}
}

// TestSlowDisk: a leader whose disk has become slow hands leadership on.
func TestSlowDisk(t *testing.T) {
	t.Parallel()
	var was, is *keep
	p := Plan{Seed: 9, Window: 25000, Settle: 40000, Extra: func(w *World) {
		w.at(9000, func() {
			was = w.leader()
			was.slow = 3000
		})
		w.at(15000, func() { is = w.leader() })
	}}
	play(t, p)
	if was == nil || is == nil || was == is {
		t.Errorf("6 s after its disk became slow %v still leads", was.name)
	}
}

// TestCrowd: ten times the usual load for ten seconds, large and impossible
// work among it. Operators are still served, buffers stay bounded, and all
// that was accepted ends.
func TestCrowd(t *testing.T) {
	t.Parallel()
	most, late := 0, 0
	p := Plan{Seed: 13, Window: 30000, Settle: 60000, Faults: []Fault{{At: 8000, Dur: 10000, Kind: "crowd"}}, Extra: func(w *World) {
		var look func()
		look = func() {
			for _, g := range w.gates {
				most = max(most, g.mach.InFlight())
			}
			asked := w.Now
			w.http(w.callers.node, w.callers.gate(), "GET", "/v1/closings", nil, 2000, func(status int, _ []byte) {
				if status != 200 || w.Now-asked > 1000 {
					late++
				}
			})
			if w.Now < 25000 {
				w.after(500, look)
			}
		}
		w.at(8000, look)
		w.at(9000, func() {
			text := []byte(`{"pending":"stock","steps":[{"name":"huge","tasks":64,"gang":true,"cores":16,"memMb":60000}]}`)
			w.http(w.callers.node, w.callers.gate(), "PUT", "/v1/jobs/x/huge", text, 2000, func(status int, _ []byte) {
				if status != 201 && status != 200 {
					t.Errorf("an impossible job got %d", status)
				}
			})
		})
		w.at(20000, func() {
			w.http(w.callers.node, w.callers.gate(), "GET", "/v1/jobs/x/huge", nil, 2000, func(status int, body []byte) {
				var d struct {
					State string
					Steps []struct{ Why string }
				}
				if json.Unmarshal(body, &d) != nil || d.State != "waiting" || len(d.Steps) != 1 || d.Steps[0].Why == "" {
					t.Errorf("an impossible job shows %d %s", status, body)
				}
			})
		})
	}}
	w := play(t, p)
	if w.Watch.Counts["acked"] < 800 || late > 0 || most > 1000 {
		t.Errorf("accepted %d, operators' requests late %d, most in hand %d", w.Watch.Counts["acked"], late, most)
	}
	t.Logf("accepted %d, most in hand at one gate %d", w.Watch.Counts["acked"], most)
}

// TestAllZones closes every zone at once over a leaving rack, and reopens.
func TestAllZones(t *testing.T) {
	t.Parallel()
	p := Plan{Seed: 17, Window: 35000, Settle: 60000, Faults: []Fault{
		{At: 7000, Dur: 20000, Kind: "runner-drain", A: 0, B: 500}, {At: 7100, Dur: 20000, Kind: "runner-drain", A: 1, B: 501},
		{At: 9000, Dur: 12000, Kind: "zone", B: 0}, {At: 9500, Dur: 12000, Kind: "zone", B: 1}, {At: 10000, Dur: 12000, Kind: "zone", B: 2},
		{At: 12000, Dur: 900, Kind: "runner-crash", A: 4}, {At: 13000, Dur: 200, Kind: "zone", B: 1},
	}}
	play(t, p)
}

// TestWokenGate: a gate that slept through a change of the table decides
// nothing by the old one.
func TestWokenGate(t *testing.T) {
	t.Parallel()
	told := []int{}
	p := Plan{Seed: 19, Window: 20000, Settle: 30000, Extra: func(w *World) {
		g := w.gates[0]
		w.at(8000, func() {
			w.freeze(g.node)
			text := []byte(fmt.Sprintf(`{"base":%d,"cells":{"probe.maxTasks":1}}`, w.callers.epoch))
			w.http(w.callers.node, w.gates[1].addr, "PATCH", "/v1/table", text, 2000, func(status int, _ []byte) {
				if status != 200 {
					t.Errorf("the change got %d", status)
				}
			})
			w.callers.stop = 0
		})
		w.at(12000, func() {
			w.http(w.callers.node, g.addr, "PUT", "/v1/jobs/x/one", []byte(`{"pending":"probe","steps":[{"name":"s","tasks":2}]}`), 5000, func(status int, _ []byte) { told = append(told, status) })
			w.http(w.callers.node, g.addr, "PUT", "/v1/jobs/x/two", []byte(`{"pending":"probe","steps":[{"name":"s","tasks":1}]}`), 5000, func(status int, _ []byte) { told = append(told, status) })
		})
		w.at(12200, func() { w.wake(g.node) })
		w.at(15000, func() {
			w.http(w.callers.node, g.addr, "PUT", "/v1/jobs/x/three", []byte(`{"pending":"probe","steps":[{"name":"s","tasks":2}]}`), 5000, func(status int, _ []byte) { told = append(told, status) })
		})
	}}
	play(t, p)
	for _, s := range told[:2] {
		if s != 503 {
			t.Errorf("just woken it answered %v, want 503", told)
		}
	}
	if len(told) != 3 || told[2] != 422 {
		t.Errorf("back in touch it answered %v, want 422 last", told)
	}
}

// TestAckIsOnDisk: with slow disks on both followers the power goes, and the
// leader stays away. Whatever was acknowledged must be on a disk that is left.
func TestAckIsOnDisk(t *testing.T) {
	for seed := int64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			play(t, Plan{Seed: seed, Window: 26000, Settle: 35000, Extra: func(w *World) {
				w.at(9000, func() {
					for _, k := range w.keepers {
						if k != w.leader() {
							k.slow = 700
						}
					}
				})
				w.at(11000+seed*173, func() {
					lead := w.leader()
					for _, k := range w.keepers {
						undo := w.stopKeeper(k)
						k.slow = 0
						if k == lead {
							w.after(9000, undo)
						} else {
							w.after(500, undo)
						}
					}
				})
			}})
		})
	}
}

// TestCutOff: runners are cut off for longer than their grant while long work
// runs on them; they end it themselves before it runs anywhere else.
func TestCutOff(t *testing.T) {
	t.Parallel()
	p := Plan{Seed: 23, Window: 40000, Settle: 50000, Extra: func(w *World) {
		w.at(10000, func() {
			for i := 0; i < 6; i++ {
				w.callers.hand("stock", job.Step{Name: "long", Tasks: 2, Demand: job.Demand{Cores: 1, Mem: 64}, ExpectedRun: 25000})
			}
		})
		w.at(12000, func() {
			for i, r := range w.runners {
				if r.mach.Running() > 0 {
					w.after(20000, w.apart(r.node, i%2 == 0, i%2 == 1))
				}
			}
		})
	}}
	w := play(t, p)
	if w.Watch.Counts["event lapsed"] < 2 {
		t.Errorf("too little evidence: %v", w.Watch.Counts)
	}
}

// TestDiskFails: the leader's disk takes no more, in the midst of writing. It
// steps aside at once, acknowledging nothing more; the others go on without it,
// and once its disk is mended it comes back with all it had.
func TestDiskFails(t *testing.T) {
	for seed := int64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			play(t, Plan{Seed: seed, Window: 26000, Settle: 35000, Extra: func(w *World) {
				var k *keep
				w.at(9000+seed*41, func() {
					k = w.leader()
					k.disk.full = true
				})
				w.at(10000, func() {
					if k.up || k.aside == "" {
						t.Error("a keeper whose disk takes nothing goes on")
					}
				})
				w.at(15000, func() {
					if lead := w.leader(); lead == nil || lead == k {
						t.Error("nobody took over")
					}
				})
				w.at(18000, func() {
					k.disk.full = false
					k.begin()
				})
				w.at(24000, func() {
					if lead := w.leader(); lead == nil || lead.mach.Raft().CommitIndex()-k.mach.Raft().CommitIndex() > 200 {
						t.Error("back again, it has not caught up")
					}
				})
			}})
		})
	}
}

package simulation

import (
	"fmt"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/state"
)

// standing counts the tasks of each row that stand in each state.
func (w *World) standing() map[identifier.Row]map[state.TaskState]int {
	out := map[identifier.Row]map[state.TaskState]int{}
	for _, j := range w.leader().mach.State().Jobs {
		row := j.Spec.Row
		if out[row] == nil {
			out[row] = map[state.TaskState]int{}
		}
		for _, tasks := range j.Steps {
			for _, t := range tasks {
				out[row][t.State]++
			}
		}
	}
	return out
}

// TestTightOutage closes a zone of a full site, so that preflight is false, and
// takes the owner away just then or not. Each class does as its row chose:
// check pushes the cheaper push row out, push waits, stock rides it out, gangs
// of each as well. Reopened, all of it ends.
func TestTightOutage(t *testing.T) {
	for _, how := range []string{"", "leader-crash", "leader-freeze"} {
		for _, seed := range []int64{61, 64, 65} {
			t.Run(fmt.Sprintf("owner %s/%d", how, seed), func(t *testing.T) { tightOutage(t, how, seed) })
		}
	}
}

func tightOutage(t *testing.T, how string, seed int64) {
	t.Parallel()
	site := Gilde()
	site.Cores, site.Faulty = 4, 0
	var during map[identifier.Row]map[state.TaskState]int
	var c *state.Drain
	away, left := 0, 0
	w := Run(Plan{Seed: seed, Site: site, Window: 30000, Settle: 70000, Extra: func(w *World) {
		w.at(6600, func() { w.callers.stop = 0 })
		w.at(7500, func() {
			w.callers.readTable(func(epoch int64) {
				w.callers.patch(epoch, map[string]any{"push.weight": 1, "stock.weight": 2, "check.weight": 4}, func(status int, _ int64) {
					if status != 200 {
						t.Errorf("the weights got %d", status)
					}
				})
			})
		})
		w.at(8000, func() {
			fill := func(row identifier.Row, tasks int64, gang bool) {
				w.callers.hand(row, job.Step{Name: "long", Tasks: tasks, Gang: gang, Demand: job.Demand{Cores: 1, Mem: 64}, ExpectedRun: 20000})
			}
			for i := 0; i < 6; i++ {
				fill("check", 1, false)
				fill("push", 3, false)
				fill("stock", 1, false)
			}
			fill("check", 3, true)
			fill("stock", 4, true)
			fill("push", 4, true)
		})
		w.at(13000, func() { w.callers.zone("north", true, func() bool { return true }) })
		if how != "" {
			w.at(13020, func() { w.strike(Fault{Dur: 8000, Kind: how}) })
		}
		w.at(19000, func() {
			during = w.standing()
			for _, one := range w.leader().mach.State().Drains {
				c = one
			}
			if c.Stage != state.Closed {
				t.Errorf("6 s after the order the closing is at %s", c.Stage)
			}
			for _, ref := range c.Displaced {
				j := w.leader().mach.State().Jobs[ref.Job]
				if j.Spec.Row != "check" {
					continue
				}
				away++
				if s := j.Task(ref).State; s != state.Placed && !s.Ended() {
					left++
				}
			}
		})
		w.at(22000, func() { w.callers.zone("north", false, func() bool { return true }) })
	}})
	judge(t, Plan{Seed: seed}, w)
	if c == nil || c.Fits || !c.PreflightDone || len(c.Displaced) < 10 || c.Shortage.Cores == 0 {
		t.Fatalf("the closing: %+v", c)
	}
	if n := during["stock"]; n[state.Suspended] == 0 {
		t.Errorf("stock rides it out: %v", n)
	}
	if away == 0 || left > 0 {
		t.Errorf("check pushes its way in: of %d displaced, %d are not placed", away, left)
	}
	if n := during["push"]; n[state.Waiting] == 0 || n[state.Suspended] > 0 {
		t.Errorf("push waits: %v", n)
	}
	for row, n := range w.standing() {
		if n[state.Waiting]+n[state.Suspended]+n[state.Placed] > 0 {
			t.Errorf("in the end %s: %v", row, n)
		}
	}
}

// TestRackOwnerDies takes the owner of a rack's closing away at every log entry
// from the first word of leaving on, and again when the rack stays after all.
func TestRackOwnerDies(t *testing.T) {
	for _, how := range []string{"crash", "freeze"} {
		for n := 0; n < 12; n++ {
			for _, back := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%d/%v", how, n, back), func(t *testing.T) {
					t.Parallel()
					rackOwnerDies(t, how, n, back)
				})
			}
		}
	}
}

func rackOwnerDies(t *testing.T, how string, n int, back bool) {
	trap := &snare{how: how, n: n, away: 6000}
	var closed *state.Drain
	w := Run(Plan{Seed: int64(n) + 400, Site: Gilde(), Window: 26000, Settle: 30000, Extra: func(w *World) {
		w.Site.Rate = 50
		trap.set(w)
		w.at(10000, func() {
			if !back {
				trap.arm()
			}
			for _, r := range w.runners[:3] {
				r.drain(4000)
			}
		})
		w.at(17500, func() {
			for _, one := range w.leader().mach.State().Drains {
				found := *one
				closed = &found
			}
			if back {
				trap.arm()
			}
			for _, r := range w.runners[:3] {
				r.stay()
			}
		})
	}})
	judge(t, Plan{Seed: int64(n) + 400}, w)
	if !trap.sprung {
		t.Fatal("the owner was never taken away")
	}
	if closed == nil || closed.Stage != state.Closed || len(closed.Scope) != 3 || closed.Verdict == "" || closed.UnconfirmedStops > 0 {
		t.Errorf("3.5 s after the departure: %+v", closed)
	}
	list := w.leader().mach.State().Drains
	for _, one := range list {
		if one.Stage != state.Open {
			t.Errorf("in the end: %+v", one)
		}
	}
	if len(list) != 1 {
		t.Errorf("%d closings for one rack", len(list))
	}
}

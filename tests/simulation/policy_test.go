package simulation

import (
	"encoding/json"
	"strings"
	"testing"

	"orchidward/internal/runner"
)

// TestPolicy: a row's policy steers where its tasks go and nothing more; bad
// sources never come into force; one that fails when run is counted and shown,
// and work goes on by the built-in choice.
func TestPolicy(t *testing.T) {
	t.Parallel()
	told := map[string]int{}
	var shown struct {
		Policies []struct {
			Row          string
			Used, Failed int
			LastFailure  string
		}
	}
	starts := map[string]int{}
	play(t, Plan{Seed: 51, Window: 30000, Settle: 30000, Extra: func(w *World) {
		set := func(cell, text string) {
			w.callers.patch(w.callers.epoch, map[string]any{cell: text}, func(status int, epoch int64) {
				told[cell+text] = status
				w.callers.epoch = max(w.callers.epoch, epoch)
			})
		}
		w.at(8000, func() { set("check.policy", "runner.freeCores if zone(\"west\") else -1") })
		w.at(8500, func() { set("push.policy", "1 // 0") })
		w.at(9000, func() { set("stock.policy", "runner.freeCores *") })
		w.at(9500, func() { set("stock.policy", "[0] * 1000000000") })
		w.at(12000, func() {
			for _, r := range w.runners {
				r.seen = func(e runner.Event) {
					s := w.Watch.Jobs[e.Task.Job].Spec
					if w.Now < 28000 && s.Row == "check" && len(s.Steps[0].Labels) == 0 {
						starts[r.zone]++
					}
				}
			}
		})
		w.at(28000, func() {
			w.http(w.callers.node, w.callers.gate(), "GET", "/v1/keepers", nil, 2000, func(_ int, body []byte) {
				if err := json.Unmarshal(body, &shown); err != nil {
					t.Error(err)
				}
			})
		})
		w.at(28500, func() { w.strike(Fault{Dur: 1000, Kind: "zone", B: 2}) })
	}})
	if told["check.policyrunner.freeCores if zone(\"west\") else -1"] != 200 || told["push.policy1 // 0"] != 200 ||
		told["stock.policyrunner.freeCores *"] != 422 || told["stock.policy[0] * 1000000000"] != 422 {
		t.Errorf("told %v", told)
	}
	if starts["west"] < 60 || starts["west"] < 9*(starts["north"]+starts["east"]) {
		t.Errorf("the row that scores west highest started its work at %v", starts)
	}
	if len(shown.Policies) != 2 || shown.Policies[0].Used < 50 || shown.Policies[0].Failed > 0 || shown.Policies[1].Failed < 20 || !strings.Contains(shown.Policies[1].LastFailure, "zero") {
		t.Errorf("shown %+v", shown.Policies)
	}
}

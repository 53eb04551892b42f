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
func runScenario(t *testing.T, scenario Scenario) *Cluster {
	t.Helper()
	if scenario.Spec.Servers == 0 {
		scenario.Spec = FastNetwork()
	}
	cluster := Run(scenario)
	if len(cluster.Checker.Violations) > 0 {
		t.Errorf("seed %d: %s", scenario.Seed, strings.Join(cluster.Checker.Violations, "\n"))
	}
	if cluster.Checker.Counts["ended well"] < 30 {
		t.Errorf("too little evidence: %v", cluster.Checker.Counts)
	}
	return cluster
}

func longest(list []int64) int64 {
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

// TestDrainSurvivesLeaderLoss takes the closing's owner away at every single log entry from
// the order to close on, and again on the way back: killed, frozen and cut
// off. Whoever is next must finish with the same scope and displaced set.
func TestDrainSurvivesLeaderLoss(t *testing.T) {
	for _, how := range []string{"crash", "freeze", "alone"} {
		for n := 0; n < 14; n++ {
			for _, back := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%d/%v", how, n, back), func(t *testing.T) {
					t.Parallel()
					drainSurvivesLeaderLoss(t, how, n, back)
				})
			}
		}
	}
}

func drainSurvivesLeaderLoss(t *testing.T, how string, n int, back bool) {
	var c *state.Drain
	var first []string
	trap := &leaderFailpoint{how: how, entries: n, duration: 8000}
	scenario := Scenario{Seed: int64(n) + 100, Window: 30000, Recovery: 20000, Setup: func(cluster *Cluster) {
		cluster.Spec.LoadPercent = 60
		trap.install(cluster)
		still := func() bool { return true }
		cluster.At(12000, func() {
			if !back {
				trap.arm()
			}
			cluster.Clients.SetDrained("north", true, still)
		})
		cluster.At(22000, func() {
			if back {
				trap.arm()
			}
			if server := cluster.Leader(); server != nil {
				for _, x := range server.Machine.State().Drains {
					first = append(first, fmt.Sprint(x.Scope, x.Stage))
				}
			}
			cluster.Clients.SetDrained("north", false, still)
		})
	}}
	cluster := runScenario(t, scenario)
	if !trap.fired {
		t.Fatal("the owner was never taken away")
	}
	for _, x := range cluster.Leader().Machine.State().Drains {
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
			scenario := Scenario{Seed: seed, Window: 30000, Recovery: 30000}
			for i := int64(0); i < 3; i++ {
				scenario.Faults = append(scenario.Faults, Fault{At: 8000 + i*7000 + seed*137, Duration: 1500, Kind: "power"})
			}
			cluster := runScenario(t, scenario)
			if n := cluster.Checker.Counts["event lapsed"]; n > 0 {
				t.Errorf("%d tasks were lost to an outage shorter than their grant", n)
			}
		})
	}
}

// TestServerReplacedEmpty: a core machine is replaced by an empty one at a new
// address; it takes the dead seat, after which another machine may go.
func TestServerReplacedEmpty(t *testing.T) {
	t.Parallel()
	scenario := Scenario{Seed: 3, Window: 45000, Recovery: 40000, Faults: []Fault{{At: 8000, Kind: "keeper-lost", Target: 1}}, Setup: func(cluster *Cluster) {
		cluster.At(30000, func() {
			server := cluster.Servers[1]
			m, ok := server.Machine.Raft().Member(server.Machine.Raft().Members()[0].ID)
			names := []string{}
			for _, one := range server.Machine.Raft().Members() {
				names = append(names, fmt.Sprint(one.Addr, one.Voter))
			}
			sort.Strings(names)
			if !ok || fmt.Sprint(names) != "[k1true k2btrue k3true]" {
				t.Errorf("members after 22 s: %v %v", names, m)
			}
			cluster.CrashServer(cluster.Servers[0])
			cluster.Servers[0].Removed = true
		})
	}}
	runScenario(t, scenario)
}

// TestSeedsReplaced: every seed is exchanged while gates and runners run on,
// and one started anew with a single live seed among dead ones finds its way.
func TestSeedsReplaced(t *testing.T) {
	t.Parallel()
	served := 0
	scenario := Scenario{Seed: 5, Window: 30000, Recovery: 40000, Setup: func(cluster *Cluster) {
		cluster.At(8000, func() {
			cluster.Seeds = []string{"nobody1", cluster.Gateways[1].Addr, "nobody2"}
			cluster.Kill(cluster.Gateways[0].Process)
			cluster.Gateways[0].Start()
		})
		cluster.At(12000, func() {
			cluster.CrashServer(cluster.Servers[0])
			cluster.Servers[0].Seeds = cluster.Seeds
			cluster.Servers[0].Start()
		})
		cluster.At(14000, func() {
			if !cluster.Gateways[0].Machine.Ready(cluster.Monotonic(cluster.Gateways[0].Process)) {
				t.Error("a gate with one live seed found no way in within 6 s")
			}
			served++
		})
	}}
	runScenario(t, scenario)
	if served == 0 {
		t.Error("never looked")
	}
}

// TestLatencies judges the timing promises on a calm site in virtual time.
func TestLatencies(t *testing.T) {
	t.Parallel()
	scenario := Scenario{Seed: 11, Window: 60000, Recovery: 30000}
	closed := int64(0)
	scenario.Setup = func(cluster *Cluster) {
		cluster.At(30000, func() { cluster.Clients.SetDrained("east", true, func() bool { return true }) })
		var look func()
		look = func() {
			if at, ok := cluster.Checker.DrainedSince("east"); ok && closed == 0 {
				if server := cluster.Leader(); server != nil {
					for _, c := range server.Machine.State().Drains {
						if free, loose := server.Machine.State().OpenLeases(c); c.PreflightDone && len(free)+len(loose) == 0 {
							closed = cluster.Now - at + 1
						}
					}
				}
			}
			if cluster.Now < 40000 {
				cluster.After(5, look)
			}
		}
		cluster.At(30000, look)
	}
	cluster := runScenario(t, scenario)
	if closed == 0 || closed > 1000 {
		t.Errorf("closing to last stop: %d ms", closed)
	}
	t.Logf("closing acknowledged to last stop confirmed: %d ms", closed)
	x := cluster.Checker.Spans
	if n := longest(x["cancel to gone"]); len(x["cancel to gone"]) < 3 || n > 300 {
		t.Errorf("cancel to gone: %v", x["cancel to gone"])
	}
	if n := median(x["admission to start"]); len(x["admission to start"]) < 300 || n > 100 {
		t.Errorf("admission to start: median %d of %d", n, len(x["admission to start"]))
	}
	secs := cluster.Now / 1000
	t.Logf("frames among processes: about %d bytes a second in all; polls and answers: %d bytes a second for each runner", cluster.Bytes/secs, cluster.PollBytes/secs/int64(len(cluster.Runners)))
	t.Logf("admission to start: median %d ms, worst %d ms of %d; cancel to gone: worst %d ms of %d",
		median(x["admission to start"]), longest(x["admission to start"]), len(x["admission to start"]), longest(x["cancel to gone"]), len(x["cancel to gone"]))
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
				scenario := Scenario{Seed: seed, Window: 20000, Recovery: 20000, Setup: func(cluster *Cluster) {
					cluster.At(8000+seed*31, func() { cluster.Inject(Fault{Duration: 10000, Kind: how}) })
					if how == "power" {
						cluster.At(8300, func() { cluster.Heal(); cluster.faultsOverAt = 0 })
					}
					cluster.MeasureOutage(7000, 19000, &gap)
				}}
				runScenario(t, scenario)
				gaps = append(gaps, gap)
			}
			t.Logf("%s: time without an answer: median %d ms, worst %d ms of %v", how, median(gaps), longest(gaps), gaps)
			if longest(gaps) > 12000 || longest(gaps) < 300 {
				t.Errorf("%s: %v", how, gaps)
			}
		})
	}
}

// TestSlowDisk: a leader whose disk has become slow hands leadership on.
func TestSlowDisk(t *testing.T) {
	t.Parallel()
	var was, is *Server
	scenario := Scenario{Seed: 9, Window: 25000, Recovery: 40000, Setup: func(cluster *Cluster) {
		cluster.At(9000, func() {
			was = cluster.Leader()
			was.DiskDelay = 3000
		})
		cluster.At(15000, func() { is = cluster.Leader() })
	}}
	runScenario(t, scenario)
	if was == nil || is == nil || was == is {
		t.Errorf("6 s after its disk became slow %v still leads", was.Name)
	}
}

// TestLoadSpike: ten times the usual load for ten seconds, large and impossible
// work among it. Operators are still served, buffers stay bounded, and all
// that was accepted ends.
func TestLoadSpike(t *testing.T) {
	t.Parallel()
	most, late := 0, 0
	scenario := Scenario{Seed: 13, Window: 30000, Recovery: 60000, Faults: []Fault{{At: 8000, Duration: 10000, Kind: "crowd"}}, Setup: func(cluster *Cluster) {
		var look func()
		look = func() {
			for _, g := range cluster.Gateways {
				most = max(most, g.Machine.InFlight())
			}
			asked := cluster.Now
			cluster.Request(cluster.Clients.Process, cluster.Clients.RandomGateway(), "GET", "/v1/closings", nil, 2000, func(status int, _ []byte) {
				if status != 200 || cluster.Now-asked > 1000 {
					late++
				}
			})
			if cluster.Now < 25000 {
				cluster.After(500, look)
			}
		}
		cluster.At(8000, look)
		cluster.At(9000, func() {
			text := []byte(`{"pending":"stock","steps":[{"name":"huge","tasks":64,"gang":true,"cores":16,"memMb":60000}]}`)
			cluster.Request(cluster.Clients.Process, cluster.Clients.RandomGateway(), "PUT", "/v1/jobs/x/huge", text, 2000, func(status int, _ []byte) {
				if status != 201 && status != 200 {
					t.Errorf("an impossible job got %d", status)
				}
			})
		})
		cluster.At(20000, func() {
			cluster.Request(cluster.Clients.Process, cluster.Clients.RandomGateway(), "GET", "/v1/jobs/x/huge", nil, 2000, func(status int, body []byte) {
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
	cluster := runScenario(t, scenario)
	if cluster.Checker.Counts["acked"] < 800 || late > 0 || most > 1000 {
		t.Errorf("accepted %d, operators' requests late %d, most in hand %d", cluster.Checker.Counts["acked"], late, most)
	}
	t.Logf("accepted %d, most in hand at one gate %d", cluster.Checker.Counts["acked"], most)
}

// TestAllDomainsDrained closes every zone at once over a leaving rack, and reopens.
func TestAllDomainsDrained(t *testing.T) {
	t.Parallel()
	scenario := Scenario{Seed: 17, Window: 35000, Recovery: 60000, Faults: []Fault{
		{At: 7000, Duration: 20000, Kind: "runner-drain", Target: 0, Parameter: 500}, {At: 7100, Duration: 20000, Kind: "runner-drain", Target: 1, Parameter: 501},
		{At: 9000, Duration: 12000, Kind: "zone", Parameter: 0}, {At: 9500, Duration: 12000, Kind: "zone", Parameter: 1}, {At: 10000, Duration: 12000, Kind: "zone", Parameter: 2},
		{At: 12000, Duration: 900, Kind: "runner-crash", Target: 4}, {At: 13000, Duration: 200, Kind: "zone", Parameter: 1},
	}}
	runScenario(t, scenario)
}

// TestResumedGateway: a gate that slept through a change of the table decides
// nothing by the old one.
func TestResumedGateway(t *testing.T) {
	t.Parallel()
	told := []int{}
	scenario := Scenario{Seed: 19, Window: 20000, Recovery: 30000, Setup: func(cluster *Cluster) {
		g := cluster.Gateways[0]
		cluster.At(8000, func() {
			cluster.Suspend(g.Process)
			text := []byte(fmt.Sprintf(`{"base":%d,"cells":{"probe.maxTasks":1}}`, cluster.Clients.Epoch))
			cluster.Request(cluster.Clients.Process, cluster.Gateways[1].Addr, "PATCH", "/v1/table", text, 2000, func(status int, _ []byte) {
				if status != 200 {
					t.Errorf("the change got %d", status)
				}
			})
			cluster.Clients.StopAt = 0
		})
		cluster.At(12000, func() {
			cluster.Request(cluster.Clients.Process, g.Addr, "PUT", "/v1/jobs/x/one", []byte(`{"pending":"probe","steps":[{"name":"s","tasks":2}]}`), 5000, func(status int, _ []byte) { told = append(told, status) })
			cluster.Request(cluster.Clients.Process, g.Addr, "PUT", "/v1/jobs/x/two", []byte(`{"pending":"probe","steps":[{"name":"s","tasks":1}]}`), 5000, func(status int, _ []byte) { told = append(told, status) })
		})
		cluster.At(12200, func() { cluster.Resume(g.Process) })
		cluster.At(15000, func() {
			cluster.Request(cluster.Clients.Process, g.Addr, "PUT", "/v1/jobs/x/three", []byte(`{"pending":"probe","steps":[{"name":"s","tasks":2}]}`), 5000, func(status int, _ []byte) { told = append(told, status) })
		})
	}}
	runScenario(t, scenario)
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
			runScenario(t, Scenario{Seed: seed, Window: 26000, Recovery: 35000, Setup: func(cluster *Cluster) {
				cluster.At(9000, func() {
					for _, server := range cluster.Servers {
						if server != cluster.Leader() {
							server.DiskDelay = 700
						}
					}
				})
				cluster.At(11000+seed*173, func() {
					lead := cluster.Leader()
					for _, server := range cluster.Servers {
						undo := cluster.CrashServer(server)
						server.DiskDelay = 0
						if server == lead {
							cluster.After(9000, undo)
						} else {
							cluster.After(500, undo)
						}
					}
				})
			}})
		})
	}
}

// TestRunnersCutOff: runners are cut off for longer than their grant while long work
// runs on them; they end it themselves before it runs anywhere else.
func TestRunnersCutOff(t *testing.T) {
	t.Parallel()
	scenario := Scenario{Seed: 23, Window: 40000, Recovery: 50000, Setup: func(cluster *Cluster) {
		cluster.At(10000, func() {
			for i := 0; i < 6; i++ {
				cluster.Clients.Submit("stock", job.Step{Name: "long", Tasks: 2, Demand: job.Demand{Cores: 1, Mem: 64}, ExpectedRun: 25000})
			}
		})
		cluster.At(12000, func() {
			for i, r := range cluster.Runners {
				if r.Machine.Running() > 0 {
					cluster.After(20000, cluster.Isolate(r.Process, i%2 == 0, i%2 == 1))
				}
			}
		})
	}}
	cluster := runScenario(t, scenario)
	if cluster.Checker.Counts["event lapsed"] < 2 {
		t.Errorf("too little evidence: %v", cluster.Checker.Counts)
	}
}

// TestDiskFails: the leader's disk takes no more, in the midst of writing. It
// steps aside at once, acknowledging nothing more; the others go on without it,
// and once its disk is mended it comes back with all it had.
func TestDiskFails(t *testing.T) {
	for seed := int64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runScenario(t, Scenario{Seed: seed, Window: 26000, Recovery: 35000, Setup: func(cluster *Cluster) {
				var server *Server
				cluster.At(9000+seed*41, func() {
					server = cluster.Leader()
					server.Disk.Full = true
				})
				cluster.At(10000, func() {
					if server.Up || server.QuitReason == "" {
						t.Error("a keeper whose disk takes nothing goes on")
					}
				})
				cluster.At(15000, func() {
					if lead := cluster.Leader(); lead == nil || lead == server {
						t.Error("nobody took over")
					}
				})
				cluster.At(18000, func() {
					server.Disk.Full = false
					server.Start()
				})
				cluster.At(24000, func() {
					if lead := cluster.Leader(); lead == nil || lead.Machine.Raft().CommitIndex()-server.Machine.Raft().CommitIndex() > 200 {
						t.Error("back again, it has not caught up")
					}
				})
			}})
		})
	}
}

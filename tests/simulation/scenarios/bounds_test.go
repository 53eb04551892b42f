package scenarios

import (
	"bytes"
	"fmt"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/invariants"
	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

// TestStalledDisksBoundBacklog: with every disk at a stand nothing is decided, and what comes
// in is kept only up to a bound: then callers are told so at once. When the
// disks go on, all that is resent is taken.
func TestStalledDisksBoundBacklog(t *testing.T) {
	t.Parallel()
	told := map[int]int{}
	simulationtest.RunScenario(t, simulation.Scenario{Seed: 31, Window: 25000, Recovery: 40000, Setup: func(cluster *simulation.Cluster) {
		cluster.At(8000, func() {
			for _, server := range cluster.Servers {
				server.DiskStalledUntil = cluster.Now + 3000
			}
		})
		pad := bytes.Repeat([]byte(" "), 1<<20)
		var put func(i int)
		put = func(i int) {
			body := append([]byte(fmt.Sprintf(`{"pending":"stock","steps":[{"name":"s%d","spanMs":50}]}`, i)), pad...)
			cluster.Request(cluster.Clients.Process, cluster.Gateways[i%3].Addr, "PUT", fmt.Sprintf("/v1/jobs/big/j%d", i), body, 1000, func(status int, _ []byte) {
				told[status]++
				if status != 200 && status != 201 {
					cluster.After(1500, func() { put(i) })
				}
			})
		}
		cluster.At(8500, func() {
			for i := 0; i < 50; i++ {
				st := job.Step{Name: "s", Tasks: 1, MaxDefects: 1, Demand: job.Demand{Cores: 1, Mem: 1}}
				cluster.Checker.Jobs[identifier.NewJobKey("big", identifier.JobID(fmt.Sprintf("j%d", i)))] = &invariants.Job{Spec: job.Spec{Steps: []job.Step{st}}, AckedAt: 1, EndState: "well"}
				put(i)
			}
		})
		cluster.At(9000, func() {
			if told[503] < 10 {
				t.Errorf("half a second after 50 MiB came in, told: %v", told)
			}
		})
	}})
	if told[200]+told[201] != 50 {
		t.Errorf("in the end told: %v", told)
	}
	t.Log(told)
}

// TestTooManyRunners: names no one knows cost a leader nothing past its bound.
func TestTooManyRunners(t *testing.T) {
	t.Parallel()
	told := map[int]int{}
	cluster := simulation.NewCluster(33, simulation.FastNetwork())
	cluster.Run(5000)
	for i := 0; i < 2300; i++ {
		cluster.At(5000+int64(i), func() {
			body := []byte(fmt.Sprintf(`{"incarnation":"a%d","seq":1,"cores":1,"memMb":1,"domain":"far","rack":"far","mode":"active"}`, i))
			cluster.Request(cluster.Clients.Process, cluster.Gateways[i%3].Addr, "POST", fmt.Sprintf("/v1/runners/x%d/poll", i), body, 3000, func(status int, _ []byte) { told[status]++ })
		})
	}
	cluster.Run(12000)
	if told[503] != 2300-(2048-11) || told[200] != 2048-11 {
		t.Errorf("told: %v", told)
	}
}

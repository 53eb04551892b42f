package scenarios

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/invariants"
	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

// TestStalledDisksBoundBacklog stalls every disk, so that nothing commits. Pending requests
// must be retained only up to a bound, beyond which clients get 503 at once. Once the disks
// recover, all retried requests must be accepted.
func TestStalledDisksBoundBacklog(t *testing.T) {
	t.Parallel()
	statuses := map[int]int{}
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
			cluster.Request(cluster.Clients.Process, cluster.Gateways[i%3].Addr, http.MethodPut, fmt.Sprintf("/v1/jobs/big/j%d", i), body, 1000, func(status int, _ []byte) {
				statuses[status]++
				if status != http.StatusOK && status != http.StatusCreated {
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
			if statuses[http.StatusServiceUnavailable] < 10 {
				t.Errorf("half a second after 50 MiB of requests, responses by status: %v", statuses)
			}
		})
	}})
	if statuses[http.StatusOK]+statuses[http.StatusCreated] != 50 {
		t.Errorf("at the end, responses by status: %v", statuses)
	}
	t.Log(statuses)
}

// TestTooManyRunners checks that a leader registers unknown runners only up to a bound.
func TestTooManyRunners(t *testing.T) {
	t.Parallel()
	statuses := map[int]int{}
	cluster := simulation.NewCluster(33, simulation.FastNetwork())
	cluster.Run(5000)
	for i := 0; i < 2300; i++ {
		cluster.At(5000+int64(i), func() {
			body := []byte(fmt.Sprintf(`{"incarnation":"a%d","seq":1,"cores":1,"memMb":1,"domain":"far","rack":"far","mode":"active"}`, i))
			cluster.Request(cluster.Clients.Process, cluster.Gateways[i%3].Addr, http.MethodPost, fmt.Sprintf("/v1/runners/x%d/poll", i), body, 3000, func(status int, _ []byte) { statuses[status]++ })
		})
	}
	cluster.Run(12000)
	if statuses[http.StatusServiceUnavailable] != 2300-(2048-11) || statuses[http.StatusOK] != 2048-11 {
		t.Errorf("responses by status: %v", statuses)
	}
}

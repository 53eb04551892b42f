package simulation_test

import (
	"fmt"
	"testing"

	"orchidward/tests/simulation"
)

// BenchmarkFleet measures the cost of one virtual second of an idle cluster with
// increasing numbers of runners; polls/s is the number of polls answered per virtual
// second.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{11, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			spec := simulation.FastNetwork()
			spec.Runners = n
			cluster := simulation.NewCluster(81, spec)
			cluster.Clients.StopAt = 0
			cluster.Run(8000)
			pollsBefore := cluster.Traffic.Polls
			b.ResetTimer()
			for i := 0; i < b.N; i++ {
				cluster.Run(cluster.Now + 1000)
			}
			b.ReportMetric(float64(cluster.Traffic.Polls-pollsBefore)/float64(b.N), "polls/s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(cluster.Traffic.Polls-pollsBefore), "us/poll")
		})
	}
}

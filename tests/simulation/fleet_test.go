package simulation_test

import (
	"fmt"
	"testing"

	"orchidward/tests/simulation"
)

// BenchmarkFleet is what a second of a cluster without load costs, at growing numbers of
// runners; polls/s is the count of polls answered in a virtual second.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{11, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			spec := simulation.FastNetwork()
			spec.Runners = n
			cluster := simulation.NewCluster(81, spec)
			cluster.Clients.StopAt = 0
			cluster.Run(8000)
			was := cluster.Traffic.Polls
			b.ResetTimer()
			for i := 0; i < b.N; i++ {
				cluster.Run(cluster.Now + 1000)
			}
			b.ReportMetric(float64(cluster.Traffic.Polls-was)/float64(b.N), "polls/s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(cluster.Traffic.Polls-was), "us/poll")
		})
	}
}

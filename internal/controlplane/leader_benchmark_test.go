package controlplane_test

import (
	"math/rand"
	"runtime"
	"testing"

	"golang.org/x/sys/unix"
)

// loadProfile describes a load on a leader. Tasks take from minRun to maxRun
// milliseconds.
type loadProfile struct {
	name           string
	agents         int
	tasksPerSecond int
	// initiallyRunning is the number of attempts that run before the measurement begins.
	initiallyRunning int
	minRun           int
	maxRun           int
}

// BenchmarkLeader measures the processor time, in microseconds, that a leader needs per
// second of virtual time, including garbage collection.
func BenchmarkLeader(b *testing.B) {
	for _, profile := range []loadProfile{
		{"74-agents-300-starts", 74, 300, 0, 600, 6000},
		{"600-agents-70-starts", 600, 70, 8200, 110000, 124000},
	} {
		b.Run(profile.name, func(b *testing.B) {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			measureLeader(b, warmedUpLoad(b, profile), profile.tasksPerSecond)
		})
	}
}

// warmedUpLoad returns a load that has reached a steady state.
func warmedUpLoad(b *testing.B, profile loadProfile) *leaderLoad {
	b.Helper()
	load := newLeaderLoad(b, profile.agents, func(random *rand.Rand) int {
		return profile.minRun + random.Intn(profile.maxRun-profile.minRun)
	})
	load.fillingUp = profile.initiallyRunning > 0
	for n := 0; n < profile.initiallyRunning; n += tasksPerJob {
		load.submitJob()
		load.run(1, 0)
	}
	load.run(5000, 0)
	load.fillingUp = false
	load.run(6000, profile.tasksPerSecond)
	return load
}

func measureLeader(b *testing.B, load *leaderLoad, tasksPerSecond int) {
	b.Helper()
	load.counts = loadCounts{}
	runtime.GC()
	processBefore := processorTime(unix.CLOCK_PROCESS_CPUTIME_ID)
	threadBefore := processorTime(unix.CLOCK_THREAD_CPUTIME_ID)
	b.ResetTimer()
	seconds := 0
	for b.Loop() {
		load.run(1000, tasksPerSecond)
		seconds++
	}
	process := processorTime(unix.CLOCK_PROCESS_CPUTIME_ID) - processBefore
	thread := processorTime(unix.CLOCK_THREAD_CPUTIME_ID) - threadBefore

	counts := load.counts
	if counts.refused > 0 || counts.started < seconds*tasksPerSecond*8/10 {
		b.Errorf("%d requests refused, %d starts in %d s", counts.refused, counts.started, seconds)
	}
	running := 0
	for _, a := range load.agents {
		running += len(a.runs)
	}
	// The other threads only collect garbage.
	collector := process - thread
	b.ReportMetric(float64(counts.serverNanos+collector)/1000/float64(seconds), "cpu-us/vs")
	b.ReportMetric(float64(counts.serverNanos)/1000/float64(seconds), "own-us/vs")
	b.ReportMetric(float64(counts.started)/float64(seconds), "starts/vs")
	b.ReportMetric(float64(counts.polls)/float64(seconds), "polls/vs")
	b.ReportMetric(float64(running), "running")
}

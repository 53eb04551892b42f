package controlplane

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/scheduler"
)

const (
	// maxCountedRate bounds the rate of one attempt, in thousandths.
	maxCountedRate = 2000
	// workRateTTL is how long a rate counts without new evidence.
	workRateTTL clock.Millis = 4000
	// fullEstimate is the progress, in percent, of an attempt that has taken as long as
	// was estimated; past that it tells no more.
	fullEstimate = 99
)

// runProgress is how an attempt has come along: its progress when first seen and now, in
// percent, and how long it had stalled at the last poll.
type runProgress struct {
	firstPercent int64
	percent      int64
	stalledFor   clock.Millis
	// rate is how fast it goes, in thousandths of its estimate; 0 for unknown.
	rate int64
}

// recordProgress takes what an attempt says of itself. An agent reports the rate in
// thousandths of the task a second, so that the expected run in milliseconds, divided by
// a thousand, makes thousandths of the estimate of it.
func (s *Server) recordProgress(agent *agentRunner, run *agentRun, reported runnerapi.RunState) {
	lease := s.state.Leases[run.lease]
	if lease == nil {
		return
	}
	if reported.StalledFor > 0 {
		agent.noStallBefore = min(agent.noStallBefore, s.now.Add(stallLimit(lease)-reported.StalledFor))
	}
	if run.progress == nil {
		run.progress = &runProgress{firstPercent: reported.ProgressPercent, percent: reported.ProgressPercent, stalledFor: reported.StalledFor}
		return
	}
	progress := run.progress
	progress.stalledFor = reported.StalledFor
	progress.percent = reported.ProgressPercent
	progress.rate = reported.ProgressRate * int64(lease.ExpectedRun) / 1000
	if reported.ProgressPercent >= fullEstimate {
		progress.rate = 0
	}
}

// updateWorkRate takes the rate of a runner from those of its attempts that tell one.
// Members of a gang that spans several runners go as fast as the slowest of them, and say
// nothing of their own. Old evidence is forgotten.
func (s *Server) updateWorkRate(agent *agentRunner) {
	var sum int64
	var count int64
	for id, run := range agent.runs {
		progress := run.progress
		lease := s.state.Leases[id]
		if progress != nil && progress.rate > 0 && lease != nil && !spansRunners(lease, s.state.Partners(lease)) {
			sum += min(progress.rate, maxCountedRate)
			count++
		}
	}
	switch {
	case count > 0:
		agent.workRate = sum / count
		agent.workRateAt = s.now
	case s.now.Since(agent.workRateAt) > workRateTTL:
		agent.workRate = scheduler.NominalWorkRate
	}
}

// workRate is how fast work goes on a runner, in thousandths of its estimates.
func (s *Server) workRate(name identifier.Runner) int64 {
	if contact := s.leader.runners[name]; contact != nil && contact.agent != nil {
		return contact.agent.workRate
	}
	return scheduler.NominalWorkRate
}

package controlplane

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/prediction"
	"orchidward/internal/state"
)

const (
	// workRateTTL is how long a rate counts without new evidence.
	workRateTTL clock.Millis = 4000
	// completePercent is the progress, in percent, of an attempt that is as good as done;
	// past that it tells no more.
	completePercent = 99
	// wholeTask is a whole task in the unit of rates, thousandths of a task, times the
	// milliseconds of a second: divided by a rate it is the run of the whole task.
	wholeTask = 1000 * 1000
)

// runProgress is how an attempt has come along: its progress when first seen and now, in
// percent of the task's work, and how long it had stalled at the last poll.
type runProgress struct {
	firstPercent int64
	percent      int64
	stalledFor   clock.Millis
	// rate is how fast it goes, in thousandths of the task a second; 0 for unknown.
	rate int64
}

// wholeRun is how long the whole task takes at the attempt's rate, 0 for unknown.
func (p *runProgress) wholeRun() clock.Millis {
	if p.rate <= 0 {
		return 0
	}
	return clock.Millis(wholeTask / p.rate)
}

// remaining is how long the rest of the task takes at the attempt's rate, 0 for unknown.
func (p *runProgress) remaining() clock.Millis {
	return p.wholeRun() * clock.Millis(100-p.percent) / 100
}

// recordProgress takes what an attempt says of itself.
func (s *Server) recordProgress(agent *agentRunner, run *agentRun, reported runnerapi.RunState) {
	lease := s.state.Leases[run.lease]
	if lease == nil {
		return
	}
	if reported.StalledFor > 0 {
		agent.noStallBefore = min(agent.noStallBefore, s.now.Add(s.stallLimit(lease)-reported.StalledFor))
	}
	if run.progress == nil {
		run.progress = &runProgress{firstPercent: reported.ProgressPercent, percent: reported.ProgressPercent, stalledFor: reported.StalledFor}
		return
	}
	progress := run.progress
	progress.stalledFor = reported.StalledFor
	progress.percent = reported.ProgressPercent
	progress.rate = reported.ProgressRate
	if reported.ProgressPercent >= completePercent {
		progress.rate = 0
	}
}

// updateWorkRate takes the rate of a runner from those of its attempts that tell one,
// against what was predicted of them. Members of a gang that spans several runners go as
// fast as the slowest of them, and say nothing of their own. Old evidence is forgotten.
func (s *Server) updateWorkRate(agent *agentRunner) {
	agent.rateEvidence = prediction.Evidence{}
	// In the poll's order, as sums of fractions depend on theirs.
	for _, run := range agent.inOrder {
		lease := s.state.Leases[run.lease]
		if run.progress == nil || run.progress.rate <= 0 || lease == nil || spansRunners(lease, s.state.Partners(lease)) {
			continue
		}
		predicted, deviation := s.predictedRun(lease)
		agent.rateEvidence.Add(float64(run.progress.rate), wholeTask/float64(predicted), deviation)
	}
	switch {
	case agent.rateEvidence.Any():
		agent.workRate = agent.rateEvidence.Rate(s.leader.commonRate)
		agent.workRateAt = s.now
	case s.now.Since(agent.workRateAt) > workRateTTL:
		agent.workRate = prediction.NominalRate
	}
}

// updateCommonRate takes what the runners' rates have in common.
func (s *Server) updateCommonRate() {
	var evidence []prediction.Evidence
	for _, name := range s.state.RunnerNames() {
		if contact := s.leader.runners[name]; contact != nil && contact.agent != nil {
			evidence = append(evidence, contact.agent.rateEvidence)
		}
	}
	s.leader.commonRate = prediction.CommonLogRate(evidence)
}

// predictedRun is how long an attempt was to run on a runner of the nominal rate, away from
// its data if it is, and by which deviation that is usually wrong.
func (s *Server) predictedRun(lease *state.Lease) (run clock.Millis, deviation float64) {
	j := s.state.Jobs[lease.Task.Job]
	run = lease.ExpectedRun
	if j.Terms == nil {
		return max(run, 1), 1
	}
	run, deviation = s.leader.durations.Predict(j.Terms.Queue, run)
	if s.state.Distant(lease) {
		run = clock.Millis(float64(run) * s.leader.durations.DistantFactor())
	}
	return run, deviation
}

const (
	// leastRemaining is what a run is expected to go on at least.
	leastRemaining clock.Millis = 20
	// overdueDivisor is the part of its predicted run that an attempt past it is expected
	// to go on.
	overdueDivisor = 4
)

// remaining is how long an attempt is expected to go on; not ok for services, which do not
// end by themselves.
func (s *Server) remaining(lease *state.Lease) (remaining clock.Millis, ok bool) {
	j := s.state.Jobs[lease.Task.Job]
	if j.Terms == nil || j.Spec.Steps[lease.Task.Step].Service {
		return 0, false
	}
	contact := s.leader.runners[lease.Runner]
	if contact != nil && contact.agent != nil {
		if run := contact.agent.runs[lease.ID]; run != nil && run.progress != nil && run.progress.rate > 0 {
			return max(run.progress.remaining()-s.now.Since(contact.lastHeard), leastRemaining), true
		}
	}
	run, _ := s.predictedRun(lease)
	run = run * prediction.NominalRate / clock.Millis(s.workRate(lease.Runner))
	left := run - s.state.Now.Since(lease.OpenedAt)
	return max(left, run/overdueDivisor, leastRemaining), true
}

// observeEnds takes the runs of the attempts that an entry is about to end well.
func (s *Server) observeEnds(command *state.Command) {
	if s.leader == nil || command.ReportEnds == nil {
		return
	}
	for _, end := range command.ReportEnds.Ends {
		lease := s.state.Leases[end.Lease]
		switch end.Outcome {
		case state.OutcomeSuccess:
			s.leader.successStreaks[command.ReportEnds.Runner]++
		case state.OutcomeDefect:
			s.leader.successStreaks[command.ReportEnds.Runner] = 0
		}
		if lease == nil || end.Outcome != state.OutcomeSuccess {
			continue
		}
		j := s.state.Jobs[lease.Task.Job]
		if j.Terms == nil || j.Task(lease.Task).Checkpoint != "" {
			continue
		}
		s.leader.durations.Observe(prediction.Run{
			Queue:      j.Terms.Queue,
			Estimate:   lease.ExpectedRun,
			Duration:   max(command.At, s.state.Now).Since(lease.OpenedAt),
			Distant:    s.state.Distant(lease),
			RunnerRate: s.workRate(lease.Runner),
		})
	}
}

// workRate is how fast work goes on a runner, in thousandths of the nominal rate.
func (s *Server) workRate(name identifier.Runner) int64 {
	if contact := s.leader.runners[name]; contact != nil && contact.agent != nil {
		return contact.agent.workRate
	}
	return prediction.NominalRate
}

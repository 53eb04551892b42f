package controlplane

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/prediction"
	"orchidward/internal/state"
)

const (
	// workRateTTL is how long a rate remains valid without new evidence.
	workRateTTL clock.Millis = 4000
	// completePercent is the progress, in percent, from which on an attempt counts as
	// almost done and its progress carries no further information.
	completePercent = 99
	// wholeTask is a whole task in the unit of rates (thousandths of a task per second)
	// times the milliseconds in a second: divided by a rate it yields the duration of the
	// whole task.
	wholeTask = 1000 * 1000
)

// runProgress is the progress of an attempt, in percent of the task's work, when first
// reported and now, and how long it had stalled at the last poll.
type runProgress struct {
	firstPercent int64
	percent      int64
	stalledFor   clock.Millis
	// rate is the speed of the attempt in thousandths of the task per second, 0 if
	// unknown.
	rate int64
}

// wholeRun returns how long the whole task takes at the attempt's rate, 0 if unknown.
func (p *runProgress) wholeRun() clock.Millis {
	if p.rate <= 0 {
		return 0
	}
	return clock.Millis(wholeTask / p.rate)
}

// remaining returns how long the rest of the task takes at the attempt's rate, 0 if
// unknown.
func (p *runProgress) remaining() clock.Millis {
	return p.wholeRun() * clock.Millis(100-p.percent) / 100
}

// recordProgress records the progress that an attempt reports.
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

// updateWorkRate estimates the rate of a runner by comparing the rates of its attempts
// with the predictions for them. Members of a gang that spans several runners run at the
// speed of the slowest member and are no evidence for their own runner. Old evidence
// expires.
func (s *Server) updateWorkRate(agent *agentRunner) {
	agent.rateEvidence = prediction.Evidence{}
	// In the poll's order, because a floating-point sum depends on the order of its
	// terms.
	for _, run := range agent.orderedRuns {
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

// updateCommonRate updates the factor that the rates of all runners have in common.
func (s *Server) updateCommonRate() {
	var evidence []prediction.Evidence
	for _, name := range s.state.RunnerNames() {
		if contact := s.leader.runners[name]; contact != nil && contact.agent != nil {
			evidence = append(evidence, contact.agent.rateEvidence)
		}
	}
	s.leader.commonRate = prediction.CommonLogRate(evidence)
}

// predictedRun returns how long an attempt was expected to run on a runner of the nominal
// rate, far from its data if it is distant, and the usual deviation of that prediction.
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
	// minRemaining is the minimum predicted remaining time of an attempt.
	minRemaining clock.Millis = 20
	// overdueDivisor determines the remaining time of an overdue attempt:
	// 1/overdueDivisor of its predicted duration.
	overdueDivisor = 4
)

// remaining returns how long an attempt is expected to continue. ok is false for
// services, which do not end by themselves.
func (s *Server) remaining(lease *state.Lease) (remaining clock.Millis, ok bool) {
	j := s.state.Jobs[lease.Task.Job]
	if j.Terms == nil || j.Spec.Steps[lease.Task.Step].Service {
		return 0, false
	}
	contact := s.leader.runners[lease.Runner]
	if contact != nil && contact.agent != nil {
		if run := contact.agent.runs[lease.ID]; run != nil && run.progress != nil && run.progress.rate > 0 {
			return max(run.progress.remaining()-s.now.Since(contact.lastHeard), minRemaining), true
		}
	}
	run, _ := s.predictedRun(lease)
	run = run * prediction.NominalRate / clock.Millis(s.workRate(lease.Runner))
	left := run - s.state.Now.Since(lease.OpenedAt)
	return max(left, run/overdueDivisor, minRemaining), true
}

// observeEnds records the outcomes of the attempts that an entry is about to end, and the
// durations of the successful ones.
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

// workRate returns how fast work progresses on a runner, in thousandths of the nominal
// rate.
func (s *Server) workRate(name identifier.Runner) int64 {
	if contact := s.leader.runners[name]; contact != nil && contact.agent != nil {
		return contact.agent.workRate
	}
	return prediction.NominalRate
}

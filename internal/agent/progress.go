package agent

import "orchidward/internal/clock"

const (
	// stallReportAfter is the minimum time without progress after which an attempt is
	// reported to the control plane as stalled.
	stallReportAfter clock.Millis = 400
	// The progress rate of an attempt is measured over at least minRateWindow. A measurement
	// is complete once the attempt has progressed by minRatePercent, or after maxRateWindow.
	minRateWindow  clock.Millis = 300
	maxRateWindow  clock.Millis = 800
	minRatePercent              = 4
	// rateScale converts percent per millisecond to thousandths of the task per second.
	rateScale = 10_000
	// finalPercent is the progress from which on the rate is no longer measured, since
	// progress that close to the end has no information.
	finalPercent = 99
)

// runProgress tracks the progress of one attempt.
type runProgress struct {
	percent   int64
	changedAt clock.Monotonic
	// interval is the time between the last two changes of percent.
	interval clock.Millis
	// stallReported is set once the stall has been queued for reporting to the control
	// plane.
	stallReported bool
	// rate is the most recent progress rate, in thousandths of the task per second. The
	// next measurement starts from ratePercent at rateSince.
	rate        int64
	ratePercent int64
	rateSince   clock.Monotonic
}

// measureRate updates the rate once the measurement is complete, and reports whether the
// rate has dropped to less than half.
func (p *runProgress) measureRate(percent int64, now clock.Monotonic) bool {
	elapsed := now.Since(p.rateSince)
	if percent >= finalPercent || elapsed < minRateWindow {
		return false
	}
	if percent-p.ratePercent < minRatePercent && elapsed < maxRateWindow {
		return false
	}
	previous := p.rate
	p.rate = max(1, (percent-p.ratePercent)*rateScale/int64(elapsed))
	p.ratePercent = percent
	p.rateSince = now
	return previous > 0 && p.rate*2 < previous
}

// stalled reports whether an attempt has made no progress for much longer than its previous
// progress took.
func (p runProgress) stalled(now clock.Monotonic) bool {
	return now.Since(p.changedAt) >= stallReportAfter+4*p.interval
}

// recordProgress updates the progress of the attempts that a heartbeat reports as running.
func (a *Agent) recordProgress(heartbeat *Heartbeat) {
	previous := a.progress
	a.progress = make(map[attempt]runProgress, len(heartbeat.Active))
	for _, active := range heartbeat.Active {
		name := attempt{active.Task, active.Attempt}
		percent := active.ProgressPercent
		p, known := previous[name]
		switch {
		case !known:
			p = runProgress{percent: percent, changedAt: a.now, ratePercent: percent, rateSince: a.now}
		case p.percent != percent:
			p.percent = percent
			p.interval = a.now.Since(p.changedAt)
			p.changedAt = a.now
			p.stallReported = false
		case !p.stallReported && p.stalled(a.now):
			p.stallReported = true
			a.unreported = true
		}
		if p.measureRate(percent, a.now) {
			a.unreported = true
		}
		a.progress[name] = p
	}
}

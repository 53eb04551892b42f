package agent

import "orchidward/internal/clock"

const (
	// stallReportAfter is how long an attempt makes no progress before the control plane
	// is told.
	stallReportAfter clock.Millis = 400
	// The rate of an attempt is measured over minRateSpan at least, and maxRateSpan at
	// most unless it has come minRatePercent further.
	minRateSpan    clock.Millis = 300
	maxRateSpan    clock.Millis = 800
	minRatePercent              = 4
	// rateScale turns percents a millisecond into thousandths of the task a second.
	rateScale = 10_000
	// finalPercent is where an attempt's progress tells no more.
	finalPercent = 99
)

// runProgress is how far an attempt had come when it last made progress.
type runProgress struct {
	percent   int64
	changedAt clock.Monotonic
	// interval is how long the last percent took.
	interval clock.Millis
	// stallReported says that the control plane is told that it makes none.
	stallReported bool
	// rate is how far it came lately, in thousandths of the task a second, measured from
	// ratePercent at rateSince.
	rate        int64
	ratePercent int64
	rateSince   clock.Monotonic
}

// measureRate takes the rate once enough has been seen of it, and reports whether it has
// fallen to less than half.
func (p *runProgress) measureRate(percent int64, now clock.Monotonic) bool {
	span := now.Since(p.rateSince)
	if percent >= finalPercent || span < minRateSpan {
		return false
	}
	if percent-p.ratePercent < minRatePercent && span < maxRateSpan {
		return false
	}
	previous := p.rate
	p.rate = max(1, (percent-p.ratePercent)*rateScale/int64(span))
	p.ratePercent = percent
	p.rateSince = now
	return previous > 0 && p.rate*2 < previous
}

// stalled reports whether an attempt has made no progress for far longer than it used to
// take.
func (p runProgress) stalled(now clock.Monotonic) bool {
	return now.Since(p.changedAt) >= stallReportAfter+4*p.interval
}

// recordProgress notes when each attempt last made progress.
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

package controlplane

import (
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
)

const (
	// slewFraction limits slewing: the cluster time moves towards the agreed wall-clock
	// time by at most one twentieth of the elapsed time.
	slewFraction = 20
	// minStep is the smallest difference, in milliseconds, by which a group that has just
	// started steps its clock forward instead of slewing it.
	minStep = 200
	// agreementWindow is how far apart, in milliseconds, wall clocks may be and still
	// agree.
	agreementWindow = 1000
	// minValidTime is 2000-01-01 00:00 UTC. A cluster time below it has never been set,
	// as no wall clock reads so little.
	minValidTime clock.ClusterTime = 946_684_800_000
	// maxReadingAge is the maximum age of a member's wall-clock reading.
	maxReadingAge clock.Millis = 2000
)

// clusterClock is the cluster time, which determines when scheduled starts are due. It
// starts from the last committed time, advances by the leader's monotonic clock and never
// goes back. It slews, by at most one part in twenty, towards the time that a majority of
// the servers' wall clocks agree on within a second; without such a majority it runs on
// unadjusted. When the whole group has just started, the clock may step forward once, to
// the first such agreement.
type clusterClock struct {
	// base is the cluster time at readAt.
	base   clock.ClusterTime
	readAt clock.Monotonic
	// unusedSlew is the elapsed time that is still too short to slew by.
	unusedSlew int64
	// clocksAgree is whether the wall clocks agreed at the last check, and agreedOnce
	// whether they have ever agreed under this leader; after that the clock never steps.
	clocksAgree bool
	agreedOnce  bool
	// canAppoint is false while a step is still possible. Until then no new job may have
	// a scheduled start, because the step would bring it forward.
	canAppoint bool
}

func newClusterClock(base clock.ClusterTime, now clock.Monotonic) clusterClock {
	return clusterClock{base: base, readAt: now}
}

// timeAt returns the cluster time at a moment.
func (c *clusterClock) timeAt(now clock.Monotonic) clock.ClusterTime {
	return c.base.Add(now.Since(c.readAt))
}

// advance moves the clock to now and slews or steps it according to the wall clocks.
func (c *clusterClock) advance(now clock.Monotonic, clocks wallClocks) {
	span := now.Since(c.readAt)
	if span <= 0 {
		return
	}
	c.base = c.base.Add(span)
	c.readAt = now
	agreed, ok := clocks.agree()
	c.clocksAgree = ok
	mayStep := !c.agreedOnce && (clocks.coldStart || c.base < minValidTime)
	c.canAppoint = ok || !mayStep
	if !ok {
		return
	}
	diff := int64(agreed - c.base)
	c.agreedOnce = true
	if mayStep && diff > minStep {
		c.base = agreed
		return
	}
	c.slew(span, diff)
}

// slew moves the clock by diff, limited to 1/slewFraction of span.
func (c *clusterClock) slew(span clock.Millis, diff int64) {
	c.unusedSlew += int64(span)
	maxSlew := c.unusedSlew / slewFraction
	c.unusedSlew -= maxSlew * slewFraction
	c.base += clock.ClusterTime(max(-maxSlew, min(maxSlew, diff)))
}

// wallClocks holds the readings of the voters' wall clocks at this moment.
type wallClocks struct {
	readings []clock.ClusterTime
	// majority is the number of voters that form a majority.
	majority int
	// coldStart means that no reachable voter has known an earlier leader since it
	// started, so that no server carries the cluster time from before.
	coldStart bool
}

// agree finds a majority of the readings that lie within agreementWindow, the one with
// the smallest spread, and returns its median.
func (w wallClocks) agree() (at clock.ClusterTime, ok bool) {
	slices.Sort(w.readings)
	minSpread := clock.ClusterTime(agreementWindow + 1)
	for i := 0; w.majority > 0 && i+w.majority <= len(w.readings); i++ {
		span := w.readings[i+w.majority-1] - w.readings[i]
		if span < minSpread {
			minSpread = span
			at = w.readings[i+(w.majority-1)/2]
			ok = true
		}
	}
	return at, ok
}

// gatherWallClocks collects the voters' readings, each advanced by its age.
func (s *Server) gatherWallClocks() wallClocks {
	clocks := wallClocks{coldStart: s.raft.FirstKnownTerm() == s.term}
	voters := 0
	for _, member := range s.raft.Members() {
		if !member.Voter {
			continue
		}
		voters++
		if member.ID == s.config.ID {
			clocks.readings = append(clocks.readings, clock.ClusterTime(s.wall))
		}
	}
	clocks.majority = voters/2 + 1
	for _, status := range s.raft.MemberStatuses() {
		if !status.Voter || status.WallTimeReadAt == 0 || s.now.Since(status.WallTimeReadAt) > maxReadingAge {
			continue
		}
		reading := clock.ClusterTime(status.WallTime).Add(s.now.Since(status.WallTimeReadAt))
		clocks.readings = append(clocks.readings, reading)
		clocks.coldStart = clocks.coldStart && status.FirstKnownTerm == s.term
	}
	return clocks
}

// carriedTime is the cluster time that this server extrapolates, by its own monotonic
// clock, from the last entry that advanced it.
type carriedTime struct {
	clock clusterClock
	// term is the term of that entry.
	term identifier.Term
	// arrivals records when entries that are not applied yet arrived: an entry's time
	// advances from its arrival, however late it is committed.
	arrivals []arrival
}

// arrival records when the log first reached an index.
type arrival struct {
	index identifier.Index
	at    clock.Monotonic
}

// recordArrivals records how far the log reaches, and since when. Entries that replaced a
// truncated tail arrived now, not when the tail did.
func (t *carriedTime) recordArrivals(r *raft.Raft, now clock.Monotonic) {
	last := r.LastIndex()
	truncatedFrom := r.TakeTruncatedFrom()
	n := len(t.arrivals)
	for n > 0 && (t.arrivals[n-1].index > last || truncatedFrom > 0 && t.arrivals[n-1].index >= truncatedFrom) {
		n--
	}
	t.arrivals = t.arrivals[:n]
	if n == 0 || t.arrivals[n-1].index < last {
		t.arrivals = append(t.arrivals, arrival{last, now})
	}
}

// takeArrival returns when an entry that is about to be applied arrived, and removes the
// records of earlier entries.
func (t *carriedTime) takeArrival(index identifier.Index, now clock.Monotonic) clock.Monotonic {
	n := 0
	for n < len(t.arrivals) && t.arrivals[n].index < index {
		n++
	}
	t.arrivals = t.arrivals[n:]
	if len(t.arrivals) == 0 {
		return now
	}
	return t.arrivals[0].at
}

// entryApplied restarts the extrapolation from an applied entry, unless the entry's time
// is behind the time already reached in the same term.
func (t *carriedTime) entryApplied(applied clock.ClusterTime, term identifier.Term, arrivedAt, now clock.Monotonic) {
	if term != t.term || applied > t.clock.timeAt(now) {
		t.clock = newClusterClock(applied, arrivedAt)
		t.term = term
	}
}

// carriedClusterTime returns the latest cluster time that any reachable voter has
// extrapolated from the last leader's term. A new leader that was out of contact must not
// set the time back for the others, and one that was suspended must not continue from
// before that term.
func (s *Server) carriedClusterTime() clock.ClusterTime {
	at := max(s.state.Now, s.clusterTime.clock.timeAt(s.now))
	for _, status := range s.raft.MemberStatuses() {
		if status.Voter && status.ClusterTime > 0 && status.ClusterTimeTerm >= s.raft.ClusterTimeTerm() {
			at = max(at, status.ClusterTime.Add(s.now.Since(status.WallTimeReadAt)))
		}
	}
	return at
}

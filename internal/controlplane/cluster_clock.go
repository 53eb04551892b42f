package controlplane

import (
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
)

const (
	// slewFraction is the part of the time that passed, one in twenty, by which the
	// cluster time moves towards what the wall clocks agree on.
	slewFraction = 20
	// minStep is the least difference, in milliseconds, for which a group that has
	// just started steps its clock forward at once.
	minStep = 200
	// agreementWindow is how far apart, in milliseconds, wall clocks may be that are
	// said to agree.
	agreementWindow = 1000
	// neverSet is a cluster time that was never set by anybody: no clock reads so
	// little.
	neverSet clock.ClusterTime = 946_684_800_000
	// maxReadingAge is how old a member's reading of its wall clock may be.
	maxReadingAge clock.Millis = 2000
)

// clusterClock is the cluster time, against which appointed starts are held. It
// starts from what was last committed, advances by the leader's monotonic clock and
// never goes back. It slews, by at most one part in twenty, towards what a majority
// of the servers' wall clocks agree on within a second; where no majority agrees it
// only goes on. A group that has just started as a whole may step forward, once, to
// the first such agreement.
type clusterClock struct {
	// base is the cluster time at readAt.
	base   clock.ClusterTime
	readAt clock.Monotonic
	// unusedSlew is the time that passed and is too short yet to slew by.
	unusedSlew int64
	// clocksAgree is whether the wall clocks last agreed, and agreedOnce whether they
	// ever did under this leader; from then on the clock never steps.
	clocksAgree bool
	agreedOnce  bool
	// canAppoint is false while a step may still come: until then no new job may have
	// an appointed start, which the step would bring forward.
	canAppoint bool
}

func newClusterClock(base clock.ClusterTime, now clock.Monotonic) clusterClock {
	return clusterClock{base: base, readAt: now}
}

// timeAt is the cluster time at a moment.
func (c *clusterClock) timeAt(now clock.Monotonic) clock.ClusterTime {
	return c.base.Add(now.Since(c.readAt))
}

// advance brings the clock to now and slews or steps it by the wall clocks.
func (c *clusterClock) advance(now clock.Monotonic, clocks wallClocks) {
	span := now.Since(c.readAt)
	if span <= 0 {
		return
	}
	c.base = c.base.Add(span)
	c.readAt = now
	agreed, ok := clocks.agree()
	c.clocksAgree = ok
	young := !c.agreedOnce && (clocks.coldStart || c.base < neverSet)
	c.canAppoint = ok || !young
	if !ok {
		return
	}
	diff := int64(agreed - c.base)
	c.agreedOnce = true
	if young && diff > minStep {
		c.base = agreed
		return
	}
	c.slew(span, diff)
}

// slew moves the clock by diff, but no more than the allowed part of span.
func (c *clusterClock) slew(span clock.Millis, diff int64) {
	c.unusedSlew += int64(span)
	most := c.unusedSlew / slewFraction
	c.unusedSlew -= most * slewFraction
	c.base += clock.ClusterTime(max(-most, min(most, diff)))
}

// wallClocks is the evidence: what the voters' wall clocks read at this moment.
type wallClocks struct {
	readings []clock.ClusterTime
	// majority is how many of all voters are one.
	majority int
	// coldStart says that no voter in reach has known an earlier leader since it
	// started, so that nobody has carried the cluster time on.
	coldStart bool
}

// agree finds a majority of the readings that lie within a second, the closest such,
// and returns the middle one of them.
func (w wallClocks) agree() (at clock.ClusterTime, ok bool) {
	slices.Sort(w.readings)
	low := clock.ClusterTime(agreementWindow + 1)
	for i := 0; w.majority > 0 && i+w.majority <= len(w.readings); i++ {
		span := w.readings[i+w.majority-1] - w.readings[i]
		if span < low {
			low = span
			at = w.readings[i+(w.majority-1)/2]
			ok = true
		}
	}
	return at, ok
}

// gatherWallClocks collects the voters' readings, each carried forward from when it
// was taken.
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

// carriedTime is the cluster time as this server carries it on by its own monotonic
// clock from the last entry that moved it.
type carriedTime struct {
	clock clusterClock
	// term is the term of that entry.
	term identifier.Term
	// arrivals notes when entries came, for those not yet applied: an entry's time
	// runs on from then, however late the entry is committed.
	arrivals []arrival
}

// arrival is when the log came to reach an index.
type arrival struct {
	index identifier.Index
	at    clock.Monotonic
}

// recordArrivals notes how far the log reaches, and since when. Entries that came in
// place of a truncated tail came now, not when the tail did.
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

// takeArrival tells when an entry about to be applied came here, and forgets those
// that came before it.
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

// entryApplied carries the time on from an entry that was applied, unless it reads
// less than what is carried already.
func (t *carriedTime) entryApplied(applied clock.ClusterTime, term identifier.Term, arrivedAt, now clock.Monotonic) {
	if term != t.term || applied > t.clock.timeAt(now) {
		t.clock = newClusterClock(applied, arrivedAt)
		t.term = term
	}
}

// carriedClusterTime is the furthest that any voter in reach has carried cluster time
// from the last leader's term: a leader that was away itself must not set it back for
// the others, and one that slept must not carry on from before that term.
func (s *Server) carriedClusterTime() clock.ClusterTime {
	at := max(s.state.Now, s.clusterTime.clock.timeAt(s.now))
	for _, status := range s.raft.MemberStatuses() {
		if status.Voter && status.ClusterTime > 0 && status.ClusterTimeTerm >= s.raft.ClusterTimeTerm() {
			at = max(at, status.ClusterTime.Add(s.now.Since(status.WallTimeReadAt)))
		}
	}
	return at
}

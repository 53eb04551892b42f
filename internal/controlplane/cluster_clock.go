// Cluster time: what appointed starts are held against. It starts from what was
// last committed, carried forward by the keeper's own monotonic clock for as
// long as it has known of it, advances by the leader's monotonic clock, never goes back,
// and leans, by at most one part in twenty, towards what a majority of the
// keepers' clocks agree on within a second; where no majority agrees it only
// goes on. A core that has just started as a whole may step forward, once, to
// the first such agreement.

package controlplane

import (
	"sort"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

type clusterClock struct {
	base       clock.ClusterTime
	readAt     clock.Monotonic
	unusedSlew int64
	// clocksAgree is whether the clocks last agreed; set that they once did under
	// this leader, after which it never steps.
	clocksAgree bool
	agreedOnce  bool
	// sure is false while a step may still come: until then no new job may
	// have an appointed start, which the step would bring forward.
	canAppoint bool
}

const (
	slewFraction = 20
	minStep      = 200
	// agreementWindow is how far apart clocks may be that are said to agree.
	agreementWindow = 1000
	// neverSet is a cluster time that nobody ever set: no clock reads so little.
	neverSet clock.ClusterTime = 946_684_800_000
)

func newClusterClock(base clock.ClusterTime, now clock.Monotonic) clusterClock {
	return clusterClock{base: base, readAt: now}
}

func (c *clusterClock) timeAt(now clock.Monotonic) clock.ClusterTime {
	return c.base.Add(now.Since(c.readAt))
}

// carriedClusterTime is the furthest that any voter in reach has carried cluster time from
// the last leader's term: a leader that was away itself must not set it back
// for the others, and one that slept must not carry on from before that term.
func (s *Server) carriedClusterTime() clock.ClusterTime {
	at := max(s.state.Now, s.clusterTime.timeAt(s.now))
	for _, status := range s.raft.MemberStatuses() {
		if status.Voter && status.ClusterTime > 0 && status.ClusterTimeTerm >= s.raft.ClusterTimeTerm() {
			at = max(at, status.ClusterTime.Add(s.now.Since(status.WallTimeReadAt)))
		}
	}
	return at
}

// arrival tells when the log came to reach an index.
type arrival struct {
	index identifier.Index
	at    clock.Monotonic
}

// recordArrival keeps track of how far the log reaches and since when. What came in
// place of a torn tail came now, not when the tail did.
func (s *Server) recordArrival() {
	last, n := s.raft.LastIndex(), len(s.arrivals)
	torn := s.raft.TakeTruncatedFrom()
	for n > 0 && (s.arrivals[n-1].index > last || torn > 0 && s.arrivals[n-1].index >= torn) {
		n--
	}
	s.arrivals = s.arrivals[:n]
	if n == 0 || s.arrivals[n-1].index < last {
		s.arrivals = append(s.arrivals, arrival{last, s.now})
	}
}

// takeArrival tells when an entry about to be applied came here, and forgets those
// that came before it.
func (s *Server) takeArrival(i identifier.Index) clock.Monotonic {
	n := 0
	for n < len(s.arrivals) && s.arrivals[n].index < i {
		n++
	}
	if s.arrivals = s.arrivals[n:]; len(s.arrivals) == 0 {
		return s.now
	}
	return s.arrivals[0].at
}

// walls is the evidence: what the members' clocks claim at this moment.
type wallClocks struct {
	readings  []clock.ClusterTime
	majority  int
	coldStart bool
}

func (c *clusterClock) advance(now clock.Monotonic, w wallClocks) {
	span := now.Since(c.readAt)
	if span <= 0 {
		return
	}
	c.base, c.readAt = c.base.Add(span), now
	mid, ok := w.agree()
	c.clocksAgree = ok
	young := !c.agreedOnce && (w.coldStart || c.base < neverSet)
	c.canAppoint = ok || !young
	if !ok {
		return
	}
	diff := int64(mid - c.base)
	c.agreedOnce = true
	if young && diff > minStep {
		c.base = mid
		return
	}
	c.unusedSlew += int64(span)
	most := c.unusedSlew / slewFraction
	c.unusedSlew -= most * slewFraction
	c.base += clock.ClusterTime(max(-most, min(most, diff)))
}

// agree finds a majority of the clocks that lie within a second, the closest
// such, and returns the middle one of them.
func (w wallClocks) agree() (at clock.ClusterTime, ok bool) {
	sort.Slice(w.readings, func(i, j int) bool { return w.readings[i] < w.readings[j] })
	low := clock.ClusterTime(agreementWindow + 1)
	for i := 0; w.majority > 0 && i+w.majority <= len(w.readings); i++ {
		if span := w.readings[i+w.majority-1] - w.readings[i]; span < low {
			low, at, ok = span, w.readings[i+(w.majority-1)/2], true
		}
	}
	return at, ok
}

// walls gathers the voters' clocks, each carried forward from when it was
// told. The core is cold while no voter in reach has known an earlier leader since it
// started: nobody carried time on.
func (s *Server) gatherWallClocks() wallClocks {
	var w wallClocks
	w.coldStart = s.raft.FirstKnownTerm() == s.term
	voters := 0
	for _, mem := range s.raft.Members() {
		if mem.Voter {
			voters++
		}
		if mem.Voter && mem.ID == s.config.ID {
			w.readings = append(w.readings, clock.ClusterTime(s.wall))
		}
	}
	for _, status := range s.raft.MemberStatuses() {
		if !status.Voter || status.WallTimeReadAt == 0 || s.now.Since(status.WallTimeReadAt) > 2000 {
			continue
		}
		w.readings = append(w.readings, clock.ClusterTime(status.WallTime).Add(s.now.Since(status.WallTimeReadAt)))
		w.coldStart = w.coldStart && status.FirstKnownTerm == s.term
	}
	w.majority = voters/2 + 1
	return w
}

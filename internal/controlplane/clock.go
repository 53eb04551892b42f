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
	base clock.ClusterTime
	at   clock.Monotonic
	lean int64
	// agreed is whether the clocks last agreed; set that they once did under
	// this leader, after which it never steps.
	agreed bool
	set    bool
	// sure is false while a step may still come: until then no new job may
	// have an appointed start, which the step would bring forward.
	sure bool
}

const (
	leanPart = 20
	coldGap  = 200
	// alike is how far apart clocks may be that are said to agree.
	alike = 1000
	// unset is a cluster time that nobody ever set: no clock reads so little.
	unset clock.ClusterTime = 946_684_800_000
)

func newClusterClock(base clock.ClusterTime, now clock.Monotonic) clusterClock {
	return clusterClock{base: base, at: now}
}

func (c *clusterClock) site(now clock.Monotonic) clock.ClusterTime {
	return c.base.Add(now.Since(c.at))
}

// carried is the furthest that any voter in reach has carried cluster time from
// the last leader's term: a leader that was away itself must not set it back
// for the others, and one that slept must not carry on from before that term.
func (m *Server) carried() clock.ClusterTime {
	at := max(m.state.Now, m.seen.site(m.now))
	for _, s := range m.raft.MemberStatuses() {
		if s.Voter && s.ClusterTime > 0 && s.ClusterTimeTerm >= m.raft.ClusterTimeTerm() {
			at = max(at, s.ClusterTime.Add(m.now.Since(s.WallTimeReadAt)))
		}
	}
	return at
}

// got tells when the log came to reach an index.
type got struct {
	index identifier.Index
	at    clock.Monotonic
}

// note keeps track of how far the log reaches and since when. What came in
// place of a torn tail came now, not when the tail did.
func (m *Server) note() {
	last, n := m.raft.LastIndex(), len(m.gots)
	torn := m.raft.TakeTruncatedFrom()
	for n > 0 && (m.gots[n-1].index > last || torn > 0 && m.gots[n-1].index >= torn) {
		n--
	}
	m.gots = m.gots[:n]
	if n == 0 || m.gots[n-1].index < last {
		m.gots = append(m.gots, got{last, m.now})
	}
}

// came tells when an entry about to be applied came here, and forgets those
// that came before it.
func (m *Server) came(i identifier.Index) clock.Monotonic {
	n := 0
	for n < len(m.gots) && m.gots[n].index < i {
		n++
	}
	if m.gots = m.gots[n:]; len(m.gots) == 0 {
		return m.now
	}
	return m.gots[0].at
}

// walls is the evidence: what the members' clocks claim at this moment.
type walls struct {
	list []clock.ClusterTime
	need int
	cold bool
}

func (c *clusterClock) tick(now clock.Monotonic, w walls) {
	span := now.Since(c.at)
	if span <= 0 {
		return
	}
	c.base, c.at = c.base.Add(span), now
	mid, ok := w.agree()
	c.agreed = ok
	young := !c.set && (w.cold || c.base < unset)
	c.sure = ok || !young
	if !ok {
		return
	}
	diff := int64(mid - c.base)
	c.set = true
	if young && diff > coldGap {
		c.base = mid
		return
	}
	c.lean += int64(span)
	most := c.lean / leanPart
	c.lean -= most * leanPart
	c.base += clock.ClusterTime(max(-most, min(most, diff)))
}

// agree finds a majority of the clocks that lie within a second, the closest
// such, and returns the middle one of them.
func (w walls) agree() (at clock.ClusterTime, ok bool) {
	sort.Slice(w.list, func(i, j int) bool { return w.list[i] < w.list[j] })
	low := clock.ClusterTime(alike + 1)
	for i := 0; w.need > 0 && i+w.need <= len(w.list); i++ {
		if span := w.list[i+w.need-1] - w.list[i]; span < low {
			low, at, ok = span, w.list[i+(w.need-1)/2], true
		}
	}
	return at, ok
}

// walls gathers the voters' clocks, each carried forward from when it was
// told. The core is cold while no voter in reach has known an earlier leader since it
// started: nobody carried time on.
func (m *Server) walls() walls {
	var w walls
	w.cold = m.raft.FirstKnownTerm() == m.term
	voters := 0
	for _, mem := range m.raft.Members() {
		if mem.Voter {
			voters++
		}
		if mem.Voter && mem.ID == m.config.ID {
			w.list = append(w.list, clock.ClusterTime(m.wall))
		}
	}
	for _, s := range m.raft.MemberStatuses() {
		if !s.Voter || s.WallTimeReadAt == 0 || m.now.Since(s.WallTimeReadAt) > 2000 {
			continue
		}
		w.list = append(w.list, clock.ClusterTime(s.WallTime).Add(m.now.Since(s.WallTimeReadAt)))
		w.cold = w.cold && s.FirstKnownTerm == m.term
	}
	w.need = voters/2 + 1
	return w
}

package invariants

// DrainAcked records that the drain of a failure domain was acknowledged.
func (c *Checker) DrainAcked(domain string) {
	if _, drained := c.drainedSince[domain]; drained {
		return
	}
	c.Counts[CountDrained]++
	c.drainedSince[domain] = c.cluster.Time()
}

// DrainedSince returns when the drain of a domain was acknowledged; ok is false for a
// domain that is not known to be drained.
func (c *Checker) DrainedSince(domain string) (since int64, ok bool) {
	since, ok = c.drainedSince[domain]
	return since, ok
}

// ReopenRequested records that a client sent a request to reopen a domain: from then on
// tasks may start there.
func (c *Checker) ReopenRequested(domain string) { delete(c.drainedSince, domain) }

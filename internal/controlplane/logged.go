// The events worth a line in a keeper's log, one line each.

package controlplane

import "orchidward/internal/state"

func (m *Machine) logged(c *state.Command, res state.Result) {
	if m.lead == nil {
		return
	}
	switch {
	case c.Submit != nil:
		m.event("job", "key", c.Submit.Key, "status", res.Status)
	case c.Cancel != nil:
		m.event("cancel", "key", c.Cancel.Key, "status", res.Status)
	case c.Table != nil:
		m.event("table", "status", res.Status, "epoch", m.book.Table.Epoch)
	case c.Catalog != nil:
		m.event("catalog", "status", res.Status, "base", c.Catalog.Base, "version", c.Catalog.Version, "why", res.Why)
	case c.Close != nil:
		m.event("close", "domain", c.Close.Domain, "status", res.Status)
	case c.Reopen != nil:
		m.event("reopen", "name", c.Reopen.Name, "status", res.Status)
	case c.Report != nil:
		m.event("runner", "name", c.Report.Runner, "incarnation", c.Report.Inc, "draining", c.Report.Drain)
	case c.Recall != nil:
		m.event("recall", "grants", len(c.Recall.Grants), "why", c.Recall.Why)
	case c.Step != nil:
		if x := m.book.Closings[c.Step.ID]; x != nil {
			m.event("closing", "id", x.ID, "from", c.Step.From, "stage", x.Stage, "fits", x.Fits, "displaced", len(x.Displaced), "verdict", x.Verdict)
		}
	}
}

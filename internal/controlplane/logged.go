// The events worth a line in a keeper's log, one line each.

package controlplane

import "orchidward/internal/state"

func (m *Server) logged(c *state.Command, res state.Result) {
	if m.lead == nil {
		return
	}
	switch {
	case c.SubmitJob != nil:
		m.event("job", "key", c.SubmitJob.Key, "status", res.Status)
	case c.CancelJob != nil:
		m.event("cancel", "key", c.CancelJob.Key, "status", res.Status)
	case c.ChangeLimits != nil:
		m.event("table", "status", res.Status, "epoch", m.state.Limits.Epoch)
	case c.ChangeCatalog != nil:
		m.event("catalog", "status", res.Status, "base", c.ChangeCatalog.Base, "version", c.ChangeCatalog.Version, "why", res.Message)
	case c.StartDrain != nil:
		m.event("close", "domain", c.StartDrain.Domain, "status", res.Status)
	case c.EndDrain != nil:
		m.event("reopen", "name", c.EndDrain.Name, "status", res.Status)
	case c.ReportRunner != nil:
		m.event("runner", "name", c.ReportRunner.Runner, "incarnation", c.ReportRunner.Incarnation, "draining", c.ReportRunner.Draining)
	case c.RevokeLeases != nil:
		m.event("recall", "grants", len(c.RevokeLeases.Leases), "why", c.RevokeLeases.Reason)
	case c.AdvanceDrain != nil:
		if x := m.state.Drains[c.AdvanceDrain.ID]; x != nil {
			m.event("closing", "id", x.ID, "from", c.AdvanceDrain.From, "stage", x.Stage, "fits", x.Fits, "displaced", len(x.Displaced), "verdict", x.Verdict)
		}
	}
}

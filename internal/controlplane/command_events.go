// The events worth a line in a keeper's log, one line each.

package controlplane

import "orchidward/internal/state"

func (s *Server) logCommand(c *state.Command, res state.Result) {
	if s.leader == nil {
		return
	}
	switch {
	case c.SubmitJob != nil:
		s.logEvent("job", "key", c.SubmitJob.Key, "status", res.Status)
	case c.CancelJob != nil:
		s.logEvent("cancel", "key", c.CancelJob.Key, "status", res.Status)
	case c.ChangeLimits != nil:
		s.logEvent("table", "status", res.Status, "epoch", s.state.Limits.Epoch)
	case c.ChangeCatalog != nil:
		s.logEvent("catalog", "status", res.Status, "base", c.ChangeCatalog.Base, "version", c.ChangeCatalog.Version, "why", res.Message)
	case c.StartDrain != nil:
		s.logEvent("close", "domain", c.StartDrain.Domain, "status", res.Status)
	case c.EndDrain != nil:
		s.logEvent("reopen", "name", c.EndDrain.Name, "status", res.Status)
	case c.ReportRunner != nil:
		s.logEvent("runner", "name", c.ReportRunner.Runner, "incarnation", c.ReportRunner.Incarnation, "draining", c.ReportRunner.Draining)
	case c.RevokeLeases != nil:
		s.logEvent("recall", "grants", len(c.RevokeLeases.Leases), "why", c.RevokeLeases.Reason)
	case c.AdvanceDrain != nil:
		if x := s.state.Drains[c.AdvanceDrain.ID]; x != nil {
			s.logEvent("closing", "id", x.ID, "from", c.AdvanceDrain.From, "stage", x.Stage, "fits", x.Fits, "displaced", len(x.Displaced), "verdict", x.Verdict)
		}
	}
}

package controlplane

import "orchidward/internal/state"

// logCommand logs what an applied command did, one line each. Only the leader does so.
func (s *Server) logCommand(c *state.Command, result state.Result) {
	if s.leader == nil {
		return
	}
	switch {
	case c.SubmitJob != nil:
		s.logEvent("job-submitted", "key", c.SubmitJob.Key, "status", result.Status)
	case c.CancelJob != nil:
		s.logEvent("job-cancelled", "key", c.CancelJob.Key, "status", result.Status)
	case c.ChangeLimits != nil:
		s.logEvent("limits-changed", "status", result.Status, "epoch", s.state.Limits.Epoch)
	case c.ChangeCatalog != nil:
		s.logEvent("catalog-changed", "status", result.Status, "base", c.ChangeCatalog.Base, "version", c.ChangeCatalog.Version, "why", result.Message)
	case c.StartDrain != nil:
		s.logEvent("drain-started", "domain", c.StartDrain.Domain, "status", result.Status)
	case c.EndDrain != nil:
		s.logEvent("drain-ended", "name", c.EndDrain.Name, "status", result.Status)
	case c.ReportRunner != nil:
		r := c.ReportRunner
		s.logEvent("runner", "name", r.Runner, "incarnation", r.Incarnation, "draining", r.Draining)
	case c.RevokeLeases != nil:
		s.logEvent("leases-revoked", "leases", len(c.RevokeLeases.Leases), "why", c.RevokeLeases.Reason)
	case c.AdvanceDrain != nil:
		s.logDrainStage(c.AdvanceDrain)
	}
}

func (s *Server) logDrainStage(step *state.AdvanceDrain) {
	drain := s.state.Drains[step.ID]
	if drain == nil {
		return
	}
	s.logEvent("drain-stage", "id", drain.ID, "from", step.From, "stage", drain.Stage, "fits", drain.Fits,
		"displaced", len(drain.Displaced), "verdict", drain.Verdict)
}

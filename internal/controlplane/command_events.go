package controlplane

import (
	"orchidward/internal/api/catalog"
	"orchidward/internal/state"
)

// logCommand logs the effect of an applied command, one line each. Only the leader logs.
func (s *Server) logCommand(command *state.Command, result state.Result) {
	if s.leader == nil {
		return
	}
	switch {
	case command.SubmitJob != nil:
		s.logEvent("job-submitted", "key", command.SubmitJob.Key, "status", result.Status)
	case command.CancelJob != nil:
		s.logEvent("job-cancelled", "key", command.CancelJob.Key, "status", result.Status)
	case command.ChangeLimits != nil:
		s.logEvent("limits-changed", "status", result.Status, "epoch", s.state.Limits.Epoch)
	case command.ChangeCatalog != nil:
		s.logCatalogChange(command.ChangeCatalog, result)
	case command.StartDrain != nil:
		s.logEvent("drain-started", "domain", command.StartDrain.Domain, "status", result.Status)
	case command.EndDrain != nil:
		s.logEvent("drain-ended", "name", command.EndDrain.Name, "status", result.Status)
	case command.ReportRunner != nil:
		r := command.ReportRunner
		s.logEvent("runner", "name", r.Runner, "incarnation", r.Incarnation, "draining", r.Draining)
	case command.RevokeLeases != nil:
		s.logEvent("leases-revoked", "leases", len(command.RevokeLeases.Leases), "why", command.RevokeLeases.Reason)
	case command.AdvanceDrain != nil:
		s.logDrainStage(command.AdvanceDrain)
	}
}

// logCatalogChange logs only the counts of a catalogue change, because API keys are
// secrets.
func (s *Server) logCatalogChange(change *catalog.Change, result state.Result) {
	s.logEvent("catalog-changed",
		"status", result.Status,
		"base", change.Base,
		"version", change.Version,
		"whole", change.Whole,
		"queuesPut", len(change.Queues),
		"queuesDropped", len(change.DropQueues),
		"tenantsPut", len(change.Tenants),
		"tenantsUpdated", len(change.TenantUpdates),
		"tenantsDropped", len(change.DropTenants),
		"why", result.Message)
}

func (s *Server) logDrainStage(step *state.AdvanceDrain) {
	drain := s.state.Drains[step.ID]
	if drain == nil {
		return
	}
	s.logEvent("drain-stage", "id", drain.ID, "from", step.From, "stage", drain.Stage, "fits", drain.Fits,
		"displaced", len(drain.Displaced), "verdict", drain.Verdict)
}

package serverd

import "orchidward/internal/consensus/raft"

// updateMetrics updates the metrics and the readiness on every tick.
func (d *Daemon) updateMetrics() {
	d.setReady(d.server.KnowsLeader())
	r := d.server.Raft()
	if r == nil {
		return
	}
	leads := 0.0
	if r.Role() == raft.Leader {
		leads = 1
	}
	store := d.server.State()
	d.gauges.Set("leader", leads)
	d.gauges.Set("term", float64(r.Term()))
	d.gauges.Set("commit_index", float64(r.CommitIndex()))
	d.gauges.Set("snapshot_index", float64(r.SnapshotIndex()))
	d.gauges.Set("jobs", float64(len(store.Jobs)))
	d.gauges.Set("remembered_ids", float64(store.Dedup.Len()))
	d.gauges.Set("leases", float64(len(store.Leases)))
	d.gauges.Set("table_epoch", float64(store.Limits.Epoch))
	d.gauges.Set("disk_backlog", float64(d.writes.Bytes()))
	waiting := int64(0)
	for _, row := range store.Limits.RowNames() {
		waiting += store.WaitingTasks(row)
	}
	d.gauges.Set("tasks_waiting", float64(waiting))
	d.gauges.Set("requests_unknown_key", float64(d.server.UnauthenticatedRequests))
	d.updateTenantMetrics()
	totals := d.server.JobTotals()
	d.gauges.Set("jobs_ended", float64(totals.Ended))
	d.gauges.Set("jobs_late", float64(totals.Late))
	d.gauges.Set("jobs_failed", float64(totals.Failed))
	d.gauges.Set("jobs_waited_ms", float64(totals.Waiting))
	d.gauges.Set("jobs_ran_ms", float64(totals.Running))
	d.gauges.Set("jobs_lost_ms", float64(totals.TotalLost()))
}

func (d *Daemon) setReady(ready bool) {
	d.ready.Store(ready)
	if d.http != nil {
		d.http.SetReady(ready)
	}
}

// The keeper's own numbers and its readiness, renewed at every tick.

package serverd

import "orchidward/internal/consensus/raft"

func (d *Daemon) gauge() {
	r := d.mach.Raft()
	d.tell(d.mach.KnowsLeader())
	if r == nil {
		return
	}
	b := d.mach.State()
	lead := 0.0
	if r.Role() == raft.Leader {
		lead = 1
	}
	g := d.gauges
	g.Set("leader", lead)
	g.Set("term", float64(r.Term()))
	g.Set("commit_index", float64(r.CommitIndex()))
	g.Set("view_index", float64(r.SnapshotIndex()))
	g.Set("jobs", float64(len(b.Jobs)))
	g.Set("remembered_ids", float64(b.Dedup.Len()))
	g.Set("grants", float64(len(b.Leases)))
	g.Set("table_epoch", float64(b.Limits.Epoch))
	g.Set("disk_backlog", float64(d.todo.Bytes()))
	waiting := int64(0)
	for _, row := range b.Limits.RowNames() {
		waiting += b.WaitingTasks(row)
	}
	g.Set("tasks_waiting", float64(waiting))
}

func (d *Daemon) tell(ready bool) {
	d.ready.Store(ready)
	if d.http != nil {
		d.http.SetReady(ready)
	}
}

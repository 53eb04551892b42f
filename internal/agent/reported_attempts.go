package agent

// reportedAttempts are the attempts that a heartbeat lists as running or ended. complete is
// set if the lists have all of them.
type reportedAttempts struct {
	listed   map[attempt]bool
	complete bool
}

// absent reports whether the runner certainly neither runs an attempt nor holds an end of it
// that is not observed yet.
func (r reportedAttempts) absent(name attempt) bool { return r.complete && !r.listed[name] }

// attempts returns the attempts that the heartbeat reports.
func (h *Heartbeat) attempts() reportedAttempts {
	reported := reportedAttempts{listed: map[attempt]bool{}, complete: !h.EndsTruncated}
	for _, active := range h.Active {
		reported.listed[attempt{active.Task, active.Attempt}] = true
	}
	for _, finished := range h.Finished {
		reported.listed[attempt{finished.Task, finished.Attempt}] = true
	}
	return reported
}

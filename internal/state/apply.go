// Apply takes one command and changes the book. What it returns is the answer
// for whoever asked: a status in HTTP's terms and a document.

package state

import (
	"encoding/json"

	"orchidward/internal/clock"
)

// Result is an outcome. Code names a refusal in one word.
type Result struct {
	Status     int
	Code       string
	Message    string
	Body       any
	RetryAfter clock.Millis
}

// OK tells whether the command was accepted.
func (r Result) OK() bool { return r.Status < 300 }

func refuse(status int, code, why string) Result {
	return Result{Status: status, Code: code, Message: why}
}

// Apply carries out one command. It must be called with the commands of the log
// in order. A refused command is not an error: the result bears a status of 400
// or more, and only what is due by cluster time changes (appointed starts, records
// whose time is up). Cluster time never goes back, whatever c.At says.
func (b *Store) Apply(c *Command) Result {
	var r Result
	b.Now = max(b.Now, c.At)
	b.wake()
	switch {
	case c.SubmitJob != nil:
		r = b.submit(c.SubmitJob)
	case c.CancelJob != nil:
		r = b.cancel(c.CancelJob)
	case c.ChangeLimits != nil:
		r = b.change(c.ChangeLimits)
	case c.StartDrain != nil:
		r = b.close(c.StartDrain)
	case c.EndDrain != nil:
		r = b.reopen(c.EndDrain)
	case c.ReportRunner != nil:
		r = b.report(c.ReportRunner)
	case c.ReportEnds != nil:
		b.ends(c.ReportEnds)
	case c.PlaceTasks != nil:
		b.place(c.PlaceTasks)
	case c.RevokeLeases != nil:
		for _, id := range c.RevokeLeases.Leases {
			if g := b.Leases[id]; g != nil {
				b.stop(g, c.RevokeLeases.Reason)
			}
		}
	case c.LoseRunner != nil:
		b.lost(c.LoseRunner)
	case c.AdvanceDrain != nil:
		b.step(c.AdvanceDrain)
	case c.ChangeCatalog != nil:
		r = b.publish(c.ChangeCatalog)
	case c.RaiseLevel != nil:
		b.raise(c.RaiseLevel.Level)
	}
	b.fold(uint64(b.Now), uint64(b.NextLease), uint64(b.NextJobSeq), uint64(b.Limits.Epoch), uint64(r.Status))
	b.tidy()
	return r
}

// raise lifts the level and brings the state to the form it has from there on.
func (b *Store) raise(level uint16) {
	b.Level = max(b.Level, level)
	if b.Level >= ResendLevel && b.Catalog != nil {
		b.Catalog = b.Catalog.Deduplicated()
	}
}

// wake moves jobs whose appointed time has come onto their lanes.
func (b *Store) wake() {
	b.spawn()
	for {
		it := b.later.Iterator()
		if !it.Next() {
			return
		}
		j := it.Value().(*Job)
		if j.StartAt > b.Now {
			return
		}
		b.index(j)
	}
}

// tidy forgets what its time has run out for, a little with every command.
func (b *Store) tidy() {
	retain := b.Limits.SiteMillis("retainMs")
	for n := 0; n < 8 && len(b.EndedJobs) > 0; n++ {
		j := b.Jobs[b.EndedJobs[0]]
		if j.EndedAt.Add(retain) > b.Now {
			break
		}
		if j.Parent == "" {
			b.Dedup.add(j, b.Now)
		}
		delete(b.Jobs, j.Key)
		b.names.Remove(j.Key)
		b.EndedJobs = b.EndedJobs[1:]
	}
	b.Dedup.drop(b.Now.Add(-b.Limits.SiteMillis("knownMs")))
	b.dropHolds()
	if len(b.Drains) <= closeKept {
		return
	}
	for _, id := range b.DrainIDs() {
		if b.Drains[id].Stage == Open && len(b.Drains) > closeKept {
			delete(b.Drains, id)
		}
	}
}

func (b *Store) close(c *StartDrain) Result {
	if c.ID != "" && b.Drains[c.ID] != nil {
		old := b.Drains[c.ID]
		if old.Kind != KindDomain || old.Domain != c.Domain {
			return refuse(409, "id-taken", "this id names another closing")
		}
		return b.show(old)
	}
	known := c.AllowUnknown
	for _, one := range b.Runners {
		known = known || one.Domain == c.Domain
	}
	if !known {
		return refuse(404, "no-domain", "no runner of this domain is known")
	}
	for _, id := range b.DrainIDs() {
		if one := b.Drains[id]; one.Kind == KindDomain && one.Domain == c.Domain && one.Stage.Cordons() && one.Stage != Preopen {
			return b.show(one)
		}
	}
	one := b.open(c.ID, KindDomain, c.Domain, "")
	b.refence()
	return b.show(one)
}

func (b *Store) show(c *Drain) Result {
	text, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return Result{Status: 200, Body: json.RawMessage(text)}
}

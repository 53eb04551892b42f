// Apply takes one command and changes the book. What it returns is the answer
// for whoever asked: a status in HTTP's terms and a document.

package state

import (
	"encoding/json"

	"orchidward/internal/clock"
)

// Result is an outcome. Code names a refusal in one word.
type Result struct {
	Status int
	Code   string
	Why    string
	Doc    any
	Retry  clock.Millis
}

// OK tells whether the command was accepted.
func (r Result) OK() bool { return r.Status < 300 }

func refuse(status int, code, why string) Result {
	return Result{Status: status, Code: code, Why: why}
}

// Apply carries out one command. It must be called with the commands of the log
// in order. A refused command is not an error: the result bears a status of 400
// or more, and only what is due by cluster time changes (appointed starts, records
// whose time is up). Cluster time never goes back, whatever c.At says.
func (b *Book) Apply(c *Command) Result {
	var r Result
	b.Now = max(b.Now, c.At)
	b.wake()
	switch {
	case c.Submit != nil:
		r = b.submit(c.Submit)
	case c.Cancel != nil:
		r = b.cancel(c.Cancel)
	case c.Table != nil:
		r = b.change(c.Table)
	case c.Close != nil:
		r = b.close(c.Close)
	case c.Reopen != nil:
		r = b.reopen(c.Reopen)
	case c.Report != nil:
		r = b.report(c.Report)
	case c.Ends != nil:
		b.ends(c.Ends)
	case c.Place != nil:
		b.place(c.Place)
	case c.Recall != nil:
		for _, id := range c.Recall.Grants {
			if g := b.Grants[id]; g != nil {
				b.stop(g, c.Recall.Why)
			}
		}
	case c.Lost != nil:
		b.lost(c.Lost)
	case c.Step != nil:
		b.step(c.Step)
	case c.Catalog != nil:
		r = b.publish(c.Catalog)
	case c.Raise != nil:
		b.raise(c.Raise.Level)
	}
	b.fold(uint64(b.Now), uint64(b.NextGrant), uint64(b.NextSeq), uint64(b.Table.Epoch), uint64(r.Status))
	b.tidy()
	return r
}

// raise lifts the level and brings the state to the form it has from there on.
func (b *Book) raise(level uint16) {
	b.Level = max(b.Level, level)
	if b.Level >= ResendLevel && b.Catalog != nil {
		b.Catalog = b.Catalog.Deduplicated()
	}
}

// wake moves jobs whose appointed time has come onto their lanes.
func (b *Book) wake() {
	b.spawn()
	for {
		it := b.later.Iterator()
		if !it.Next() {
			return
		}
		j := it.Value().(*Job)
		if j.Start > b.Now {
			return
		}
		b.index(j)
	}
}

// tidy forgets what its time has run out for, a little with every command.
func (b *Book) tidy() {
	retain := b.Table.Site("retainMs")
	for n := 0; n < 8 && len(b.Over) > 0; n++ {
		j := b.Jobs[b.Over[0]]
		if j.Ended.Add(retain) > b.Now {
			break
		}
		if j.Parent == "" {
			b.Known.add(j, b.Now)
		}
		delete(b.Jobs, j.Key)
		b.names.Remove(j.Key)
		b.Over = b.Over[1:]
	}
	b.Known.drop(b.Now.Add(-b.Table.Site("knownMs")))
	b.dropHolds()
	if len(b.Closings) <= closeKept {
		return
	}
	for _, id := range b.ClosingIDs() {
		if b.Closings[id].Stage == Open && len(b.Closings) > closeKept {
			delete(b.Closings, id)
		}
	}
}

func (b *Book) close(c *Close) Result {
	if c.ID != "" && b.Closings[c.ID] != nil {
		old := b.Closings[c.ID]
		if old.Kind != KindDomain || old.Domain != c.Domain {
			return refuse(409, "id-taken", "this id names another closing")
		}
		return b.show(old)
	}
	known := c.Unseen
	for _, one := range b.Runners {
		known = known || one.Domain == c.Domain
	}
	if !known {
		return refuse(404, "no-domain", "no runner of this domain is known")
	}
	for _, id := range b.ClosingIDs() {
		if one := b.Closings[id]; one.Kind == KindDomain && one.Domain == c.Domain && one.Stage.Down() && one.Stage != Preopen {
			return b.show(one)
		}
	}
	one := b.open(c.ID, KindDomain, c.Domain, "")
	b.refence()
	return b.show(one)
}

func (b *Book) show(c *Closing) Result {
	text, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return Result{Status: 200, Doc: json.RawMessage(text)}
}

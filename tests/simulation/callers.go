// Callers and operators: the users' mix of jobs, resends after silence,
// cancels, reads through any gate, table changes, and probes of the service.

package simulation

import (
	"encoding/json"
	"fmt"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
	"orchidward/internal/invariants"
)

type callers struct {
	w    *World
	node *node
	next int
	stop int64
	keys []identifier.JobKey

	weight   int
	ackedW   int
	rejected map[int]bool
	unsure   map[int]bool
	epoch    int64
	served   int64
	whole    int64
	Refused  map[int]int
}

func newCallers(w *World) *callers {
	c := &callers{w: w, node: w.add("out", "out"), rejected: map[int]bool{}, unsure: map[int]bool{}, Refused: map[int]int{}}
	c.node.up, c.node.life = true, 1
	return c
}

func (c *callers) gate() string { return c.w.gates[c.w.rnd.Intn(len(c.w.gates))].addr }

func (c *callers) begin(from, stop int64) {
	c.stop = stop
	c.w.at(from, c.load)
	c.w.at(1000, c.probe)
	c.w.at(from+500, c.operate)
	c.w.at(200, c.sweep)
}

func (c *callers) sweep() {
	c.w.Watch.Sweep()
	c.service()
	c.w.after(200, c.sweep)
}

// load hands in one second's mix.
func (c *callers) load() {
	if c.w.Now >= c.stop {
		return
	}
	pick := func(per int64) int {
		per = per * c.w.Site.Rate
		n := int(per / 100)
		if c.w.rnd.Int63n(100) < per%100 {
			n++
		}
		return n
	}
	for n := pick(1); n > 0; n-- {
		c.hand("stock", job.Step{Name: "run", Tasks: 2 + c.w.rnd.Int63n(3), Gang: true, Demand: job.Demand{Cores: 2 + c.w.rnd.Int63n(3), Mem: 2048}, ExpectedRun: clock.Millis(1000 + c.w.rnd.Int63n(4000))})
	}
	if c.w.rnd.Intn(4) == 0 {
		c.hand("stock", job.Step{Name: "sign", Tasks: 1, Demand: job.Demand{Cores: 1, Mem: 512}, ExpectedRun: clock.Millis(15000 + c.w.rnd.Int63n(10000))})
	}
	if c.w.rnd.Intn(6) == 0 {
		c.hand("stock", job.Step{Name: "night", Tasks: 3, Gang: true, Demand: job.Demand{Cores: 1, Mem: 512}, ExpectedRun: clock.Millis(22000 + c.w.rnd.Int63n(4000))})
	}
	for n := pick(2); n > 0; n-- {
		st := job.Step{Name: "price", Tasks: 1 + c.w.rnd.Int63n(3), Demand: job.Demand{Cores: 1, Mem: 256}, ExpectedRun: clock.Millis(100 + c.w.rnd.Int63n(400))}
		two := st
		two.Name, two.After = "plan", []string{"price"}
		c.hand("push", st, two)
	}
	for n := pick(8); n > 0; n-- {
		st := job.Step{Name: "check", Tasks: 1, Demand: job.Demand{Cores: 1, Mem: 128}, ExpectedRun: clock.Millis(50 + c.w.rnd.Int63n(300))}
		if c.w.rnd.Intn(4) == 0 {
			st.Labels = []identifier.Label{"ssd"}
		}
		c.hand("check", st)
	}
	c.w.after(1000, c.load)
}

func (c *callers) hand(row identifier.Row, steps ...job.Step) {
	s := job.Spec{Row: row, Urgency: c.w.rnd.Int63n(4)}
	for _, st := range steps {
		st.MaxDefects = 1 + c.w.rnd.Int63n(4)
		s.Steps = append(s.Steps, st)
	}
	c.next++
	j := &invariants.Job{Spec: s}
	doc := map[string]any{"pending": row, "urgency": s.Urgency, "steps": stepDocs(s.Steps)}
	j.SubmittedAt = c.w.Now + c.w.rnd.Int63n(1000)
	switch c.w.rnd.Intn(20) {
	case 0:
		d := 1000 + c.w.rnd.Int63n(5000)
		doc["delayMs"] = d
		j.StartAt = j.SubmittedAt + d
	case 1:
		at := clock.ClusterTime(epoch + j.SubmittedAt + 1000 + c.w.rnd.Int63n(5000))
		doc["notBefore"] = at.Time().Format("2006-01-02T15:04:05.000Z")
		j.StartAt = int64(at) - epoch
	}
	text, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	key := identifier.NewJobKey("gilde", identifier.JobID(fmt.Sprintf("j%d", c.next)))
	c.w.Watch.Jobs[key] = j
	c.w.at(j.SubmittedAt, func() { c.put(key, j, text) })
}

func stepDocs(steps []job.Step) []map[string]any {
	var out []map[string]any
	for _, st := range steps {
		out = append(out, map[string]any{"name": st.Name, "after": st.After, "tasks": st.Tasks, "gang": st.Gang, "cores": st.Demand.Cores,
			"memMb": st.Demand.Mem, "labels": st.Labels, "allowedDefects": st.MaxDefects, "spanMs": st.ExpectedRun})
	}
	return out
}

// put hands a job in and, after silence or a refusal to be waited out, again.
func (c *callers) put(key identifier.JobKey, j *invariants.Job, text []byte) {
	c.w.http(c.node, c.gate(), "PUT", endpoint.JobPath(key), text, 2000, func(status int, body []byte) {
		switch {
		case status == 200 || status == 201:
			if j.AckedAt == 0 {
				j.AckedAt = c.w.Now
				c.keys = append(c.keys, key)
				c.w.Watch.Counts["acked"]++
				c.follow(key, j, text)
			}
		case status == 0 || status == 503 || status == 504 || status == 429:
			c.Refused[status]++
			c.w.after(200+c.w.rnd.Int63n(600), func() { c.put(key, j, text) })
		default:
			c.Refused[status]++
			c.w.Watch.Violate("P9", "job %s refused with %d: %s", key, status, body)
		}
	})
}

// follow reads an accepted job through any gate, resends it now and then, and
// sometimes cancels it.
func (c *callers) follow(key identifier.JobKey, j *invariants.Job, text []byte) {
	c.w.after(c.w.rnd.Int63n(3000), func() { c.read(key) })
	if c.w.rnd.Intn(10) == 0 {
		c.w.after(c.w.rnd.Int63n(5000), func() { c.put(key, j, text) })
	}
	if c.w.rnd.Intn(12) == 0 {
		c.w.after(c.w.rnd.Int63n(4000), func() { c.cancel(key, j) })
	}
}

func (c *callers) read(key identifier.JobKey) {
	c.w.http(c.node, c.gate(), "GET", endpoint.JobPath(key), nil, 2000, func(status int, body []byte) {
		if status != 200 && status != 404 {
			c.w.after(500, func() { c.read(key) })
			return
		}
		var d struct {
			State string `json:"state"`
		}
		if status == 200 && json.Unmarshal(body, &d) != nil {
			c.w.Watch.Violate("P9", "job %s reads as %q", key, body)
		}
		c.w.Watch.JobStateReported(key, status, d.State)
		if status == 200 && c.w.Watch.Jobs[key].EndState == "" {
			c.w.after(1000+c.w.rnd.Int63n(2000), func() { c.read(key) })
		}
	})
}

func (c *callers) cancel(key identifier.JobKey, j *invariants.Job) {
	j.CancelSent = true
	c.w.http(c.node, c.gate(), "DELETE", endpoint.JobPath(key), nil, 2000, func(status int, _ []byte) {
		if status != 200 {
			c.w.after(500, func() { c.cancel(key, j) })
			return
		}
		if j.CancelledAt == 0 {
			j.CancelledAt = c.w.Now
		}
	})
}

// operate changes the table, one change after another: a good one, a stale
// one, a bad one, and a limit whose effect is then looked for.
func (c *callers) operate() {
	if c.w.Now >= c.stop {
		return
	}
	c.readTable(func(epoch int64) {
		switch c.w.rnd.Intn(5) {
		case 0:
			c.change(epoch-1, true)
		case 1:
			c.bad(epoch)
		default:
			c.change(epoch, false)
		}
	})
	c.w.after(700+c.w.rnd.Int63n(800), c.operate)
}

func (c *callers) readTable(then func(epoch int64)) {
	floor, low := c.epoch, c.ackedW
	c.w.http(c.node, c.gate(), "GET", endpoint.LimitsPath, nil, 1000, func(status int, body []byte) {
		if status != 200 {
			return
		}
		var d struct {
			Epoch int64 `json:"epoch"`
			Rows  map[string]struct {
				Weight int `json:"weight"`
			} `json:"rows"`
		}
		if json.Unmarshal(body, &d) != nil {
			c.w.Watch.Violate("P10", "table reads as %q", body)
			return
		}
		n := d.Rows["push"].Weight
		switch {
		case d.Epoch < floor:
			c.w.Watch.Violate("P10", "epoch %d was acknowledged, and %d is read", floor, d.Epoch)
		case c.rejected[n]:
			c.w.Watch.Violate("P10", "rejected weight %d is in effect", n)
		case n < low:
			c.w.Watch.Violate("P10", "weight %d was acknowledged, and %d is read", low, n)
		}
		if then != nil {
			then(d.Epoch)
		}
	})
}

// change sets a weight never used before, so that every value names the
// change it came from.
func (c *callers) change(base int64, _ bool) {
	c.weight++
	n := c.weight%9000 + 2
	c.unsure[n] = true
	c.patch(base, map[string]any{"push.weight": n}, func(status int, epoch int64) {
		switch {
		case status == 200:
			c.ackedW, c.epoch = max(c.ackedW, n), max(c.epoch, epoch)
			c.w.Watch.Counts["table acked"]++
		case status >= 400 && status < 500 && status != 429:
			c.rejected[n] = true
			c.w.Watch.Counts["table refused"]++
		}
	})
}

func (c *callers) bad(epoch int64) {
	c.weight++
	n := c.weight%9000 + 2
	c.patch(epoch, map[string]any{"push.weight": n, "push.onOutage": "explode"}, func(status int, _ int64) {
		if status == 200 {
			c.w.Watch.Violate("P10", "a bad table change was acknowledged")
		}
		c.rejected[n] = true
	})
}

func (c *callers) patch(base int64, cells map[string]any, done func(status int, epoch int64)) {
	text, err := json.Marshal(map[string]any{"base": base, "cells": cells})
	if err != nil {
		panic(err)
	}
	c.w.http(c.node, c.gate(), "PATCH", endpoint.LimitsPath, text, 2000, func(status int, body []byte) {
		var d struct {
			Epoch int64 `json:"epoch"`
		}
		_ = json.Unmarshal(body, &d)
		done(status, d.Epoch)
	})
}

// probe asks the service something every now and then.
func (c *callers) probe() {
	c.w.http(c.node, c.gate(), "GET", endpoint.LimitsPath, nil, 1000, func(status int, _ []byte) {
		if status == 200 {
			c.served = c.w.Now
		}
	})
	c.w.after(200, c.probe)
}

// service holds the time without an answer against the machines' standing.
func (c *callers) service() {
	if !c.w.owed() {
		c.whole = 0
		return
	}
	if c.whole == 0 {
		c.whole = c.w.Now
	}
	since := max(c.whole, c.served)
	if c.w.Now-since > 12000 {
		c.w.Watch.Violate("P11", "service owed since %d, last answer at %d", c.whole, c.served)
	}
}

// setUp makes the rows the callers use; done is called when they stand.
func (c *callers) setUp(done func()) {
	c.patch(1, map[string]any{"stock.weight": 2, "push.weight": 1, "push.onOutage": "wait", "check.weight": 4, "check.onOutage": "push", "stock.onOutage": "ride"}, func(status int, epoch int64) {
		if status == 200 || status == 409 {
			c.epoch = max(c.epoch, epoch)
			done()
			return
		}
		c.w.after(300, func() { c.setUp(done) })
	})
}

// zone closes or reopens one, until it is acknowledged.
func (c *callers) zone(zone string, shut bool, still func() bool) {
	verb := "PUT"
	if !shut {
		verb = "DELETE"
		c.w.Watch.ReopenRequested(zone)
	}
	c.w.http(c.node, c.gate(), verb, endpoint.DrainPath(zone), nil, 2000, func(status int, _ []byte) {
		switch {
		case !still():
		case status == 200 && shut:
			c.w.Watch.DrainAcked(zone)
		case status == 200 || status == 404 && !shut:
		default:
			c.w.after(400, func() {
				if still() {
					c.zone(zone, shut, still)
				}
			})
		}
	})
}

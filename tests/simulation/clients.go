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

type Clients struct {
	cluster    *Cluster
	Process *Process
	nextJob int
	StopAt int64
	keys []identifier.JobKey

	nextWeight   int
	ackedWeight   int
	rejectedWeights map[int]bool
	unsure   map[int]bool
	Epoch    int64
	ServedAt   int64
	serviceDueSince    int64
	Refused  map[int]int
}

func newCallers(cluster *Cluster) *Clients {
	c := &Clients{cluster: cluster, Process: cluster.addProcess("out", "out"), rejectedWeights: map[int]bool{}, unsure: map[int]bool{}, Refused: map[int]int{}}
	c.Process.Up, c.Process.incarnation = true, 1
	return c
}

func (c *Clients) RandomGateway() string { return c.cluster.Gateways[c.cluster.Random.Intn(len(c.cluster.Gateways))].Addr }

func (c *Clients) start(from, stop int64) {
	c.StopAt = stop
	c.cluster.At(from, c.submitLoad)
	c.cluster.At(1000, c.probe)
	c.cluster.At(from+500, c.changeLimits)
	c.cluster.At(200, c.sweep)
}

func (c *Clients) sweep() {
	c.cluster.Checker.Sweep()
	c.checkService()
	c.cluster.After(200, c.sweep)
}

// submitLoad hands in one second's mix.
func (c *Clients) submitLoad() {
	if c.cluster.Now >= c.StopAt {
		return
	}
	pick := func(per int64) int {
		per = per * c.cluster.Spec.LoadPercent
		n := int(per / 100)
		if c.cluster.Random.Int63n(100) < per%100 {
			n++
		}
		return n
	}
	for n := pick(1); n > 0; n-- {
		c.Submit("stock", job.Step{Name: "run", Tasks: 2 + c.cluster.Random.Int63n(3), Gang: true, Demand: job.Demand{Cores: 2 + c.cluster.Random.Int63n(3), Mem: 2048}, ExpectedRun: clock.Millis(1000 + c.cluster.Random.Int63n(4000))})
	}
	if c.cluster.Random.Intn(4) == 0 {
		c.Submit("stock", job.Step{Name: "sign", Tasks: 1, Demand: job.Demand{Cores: 1, Mem: 512}, ExpectedRun: clock.Millis(15000 + c.cluster.Random.Int63n(10000))})
	}
	if c.cluster.Random.Intn(6) == 0 {
		c.Submit("stock", job.Step{Name: "night", Tasks: 3, Gang: true, Demand: job.Demand{Cores: 1, Mem: 512}, ExpectedRun: clock.Millis(22000 + c.cluster.Random.Int63n(4000))})
	}
	for n := pick(2); n > 0; n-- {
		st := job.Step{Name: "price", Tasks: 1 + c.cluster.Random.Int63n(3), Demand: job.Demand{Cores: 1, Mem: 256}, ExpectedRun: clock.Millis(100 + c.cluster.Random.Int63n(400))}
		two := st
		two.Name, two.After = "plan", []string{"price"}
		c.Submit("push", st, two)
	}
	for n := pick(8); n > 0; n-- {
		st := job.Step{Name: "check", Tasks: 1, Demand: job.Demand{Cores: 1, Mem: 128}, ExpectedRun: clock.Millis(50 + c.cluster.Random.Int63n(300))}
		if c.cluster.Random.Intn(4) == 0 {
			st.Labels = []identifier.Label{"ssd"}
		}
		c.Submit("check", st)
	}
	c.cluster.After(1000, c.submitLoad)
}

func (c *Clients) Submit(row identifier.Row, steps ...job.Step) {
	s := job.Spec{Row: row, Urgency: c.cluster.Random.Int63n(4)}
	for _, st := range steps {
		st.MaxDefects = 1 + c.cluster.Random.Int63n(4)
		s.Steps = append(s.Steps, st)
	}
	c.nextJob++
	j := &invariants.Job{Spec: s}
	doc := map[string]any{"pending": row, "urgency": s.Urgency, "steps": stepDocs(s.Steps)}
	j.SubmittedAt = c.cluster.Now + c.cluster.Random.Int63n(1000)
	switch c.cluster.Random.Intn(20) {
	case 0:
		d := 1000 + c.cluster.Random.Int63n(5000)
		doc["delayMs"] = d
		j.StartAt = j.SubmittedAt + d
	case 1:
		at := clock.ClusterTime(WallClockStart + j.SubmittedAt + 1000 + c.cluster.Random.Int63n(5000))
		doc["notBefore"] = at.Time().Format("2006-01-02T15:04:05.000Z")
		j.StartAt = int64(at) - WallClockStart
	}
	text, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	key := identifier.NewJobKey("gilde", identifier.JobID(fmt.Sprintf("j%d", c.nextJob)))
	c.cluster.Checker.Jobs[key] = j
	c.cluster.At(j.SubmittedAt, func() { c.put(key, j, text) })
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
func (c *Clients) put(key identifier.JobKey, j *invariants.Job, text []byte) {
	c.cluster.Request(c.Process, c.RandomGateway(), "PUT", endpoint.JobPath(key), text, 2000, func(status int, body []byte) {
		switch {
		case status == 200 || status == 201:
			if j.AckedAt == 0 {
				j.AckedAt = c.cluster.Now
				c.keys = append(c.keys, key)
				c.cluster.Checker.Counts["acked"]++
				c.follow(key, j, text)
			}
		case status == 0 || status == 503 || status == 504 || status == 429:
			c.Refused[status]++
			c.cluster.After(200+c.cluster.Random.Int63n(600), func() { c.put(key, j, text) })
		default:
			c.Refused[status]++
			c.cluster.Checker.Violate("P9", "job %s refused with %d: %s", key, status, body)
		}
	})
}

// follow reads an accepted job through any gate, resends it now and then, and
// sometimes cancels it.
func (c *Clients) follow(key identifier.JobKey, j *invariants.Job, text []byte) {
	c.cluster.After(c.cluster.Random.Int63n(3000), func() { c.read(key) })
	if c.cluster.Random.Intn(10) == 0 {
		c.cluster.After(c.cluster.Random.Int63n(5000), func() { c.put(key, j, text) })
	}
	if c.cluster.Random.Intn(12) == 0 {
		c.cluster.After(c.cluster.Random.Int63n(4000), func() { c.cancel(key, j) })
	}
}

func (c *Clients) read(key identifier.JobKey) {
	c.cluster.Request(c.Process, c.RandomGateway(), "GET", endpoint.JobPath(key), nil, 2000, func(status int, body []byte) {
		if status != 200 && status != 404 {
			c.cluster.After(500, func() { c.read(key) })
			return
		}
		var d struct {
			State string `json:"state"`
		}
		if status == 200 && json.Unmarshal(body, &d) != nil {
			c.cluster.Checker.Violate("P9", "job %s reads as %q", key, body)
		}
		c.cluster.Checker.JobStateReported(key, status, d.State)
		if status == 200 && c.cluster.Checker.Jobs[key].EndState == "" {
			c.cluster.After(1000+c.cluster.Random.Int63n(2000), func() { c.read(key) })
		}
	})
}

func (c *Clients) cancel(key identifier.JobKey, j *invariants.Job) {
	j.CancelSent = true
	c.cluster.Request(c.Process, c.RandomGateway(), "DELETE", endpoint.JobPath(key), nil, 2000, func(status int, _ []byte) {
		if status != 200 {
			c.cluster.After(500, func() { c.cancel(key, j) })
			return
		}
		if j.CancelledAt == 0 {
			j.CancelledAt = c.cluster.Now
		}
	})
}

// changeLimits changes the table, one change after another: a good one, a stale
// one, a bad one, and a limit whose effect is then looked for.
func (c *Clients) changeLimits() {
	if c.cluster.Now >= c.StopAt {
		return
	}
	c.ReadLimits(func(epoch int64) {
		switch c.cluster.Random.Intn(5) {
		case 0:
			c.changeWeight(epoch-1, true)
		case 1:
			c.sendInvalidChange(epoch)
		default:
			c.changeWeight(epoch, false)
		}
	})
	c.cluster.After(700+c.cluster.Random.Int63n(800), c.changeLimits)
}

func (c *Clients) ReadLimits(then func(epoch int64)) {
	floor, low := c.Epoch, c.ackedWeight
	c.cluster.Request(c.Process, c.RandomGateway(), "GET", endpoint.LimitsPath, nil, 1000, func(status int, body []byte) {
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
			c.cluster.Checker.Violate("P10", "table reads as %q", body)
			return
		}
		n := d.Rows["push"].Weight
		switch {
		case d.Epoch < floor:
			c.cluster.Checker.Violate("P10", "epoch %d was acknowledged, and %d is read", floor, d.Epoch)
		case c.rejectedWeights[n]:
			c.cluster.Checker.Violate("P10", "rejected weight %d is in effect", n)
		case n < low:
			c.cluster.Checker.Violate("P10", "weight %d was acknowledged, and %d is read", low, n)
		}
		if then != nil {
			then(d.Epoch)
		}
	})
}

// changeWeight sets a weight never used before, so that every value names the
// change it came from.
func (c *Clients) changeWeight(base int64, _ bool) {
	c.nextWeight++
	n := c.nextWeight%9000 + 2
	c.unsure[n] = true
	c.PatchLimits(base, map[string]any{"push.weight": n}, func(status int, epoch int64) {
		switch {
		case status == 200:
			c.ackedWeight, c.Epoch = max(c.ackedWeight, n), max(c.Epoch, epoch)
			c.cluster.Checker.Counts["table acked"]++
		case status >= 400 && status < 500 && status != 429:
			c.rejectedWeights[n] = true
			c.cluster.Checker.Counts["table refused"]++
		}
	})
}

func (c *Clients) sendInvalidChange(epoch int64) {
	c.nextWeight++
	n := c.nextWeight%9000 + 2
	c.PatchLimits(epoch, map[string]any{"push.weight": n, "push.onOutage": "explode"}, func(status int, _ int64) {
		if status == 200 {
			c.cluster.Checker.Violate("P10", "a bad table change was acknowledged")
		}
		c.rejectedWeights[n] = true
	})
}

func (c *Clients) PatchLimits(base int64, cells map[string]any, done func(status int, epoch int64)) {
	text, err := json.Marshal(map[string]any{"base": base, "cells": cells})
	if err != nil {
		panic(err)
	}
	c.cluster.Request(c.Process, c.RandomGateway(), "PATCH", endpoint.LimitsPath, text, 2000, func(status int, body []byte) {
		var d struct {
			Epoch int64 `json:"epoch"`
		}
		_ = json.Unmarshal(body, &d)
		done(status, d.Epoch)
	})
}

// probe asks the service something every now and then.
func (c *Clients) probe() {
	c.cluster.Request(c.Process, c.RandomGateway(), "GET", endpoint.LimitsPath, nil, 1000, func(status int, _ []byte) {
		if status == 200 {
			c.ServedAt = c.cluster.Now
		}
	})
	c.cluster.After(200, c.probe)
}

// checkService holds the time without an answer against the machines' standing.
func (c *Clients) checkService() {
	if !c.cluster.serviceDue() {
		c.serviceDueSince = 0
		return
	}
	if c.serviceDueSince == 0 {
		c.serviceDueSince = c.cluster.Now
	}
	since := max(c.serviceDueSince, c.ServedAt)
	if c.cluster.Now-since > 12000 {
		c.cluster.Checker.Violate("P11", "service owed since %d, last answer at %d", c.serviceDueSince, c.ServedAt)
	}
}

// setUp makes the rows the callers use; done is called when they stand.
func (c *Clients) setUp(done func()) {
	c.PatchLimits(1, map[string]any{"stock.weight": 2, "push.weight": 1, "push.onOutage": "wait", "check.weight": 4, "check.onOutage": "push", "stock.onOutage": "ride"}, func(status int, epoch int64) {
		if status == 200 || status == 409 {
			c.Epoch = max(c.Epoch, epoch)
			done()
			return
		}
		c.cluster.After(300, func() { c.setUp(done) })
	})
}

// zone closes or reopens one, until it is acknowledged.
func (c *Clients) SetDrained(zone string, shut bool, still func() bool) {
	verb := "PUT"
	if !shut {
		verb = "DELETE"
		c.cluster.Checker.ReopenRequested(zone)
	}
	c.cluster.Request(c.Process, c.RandomGateway(), verb, endpoint.DrainPath(zone), nil, 2000, func(status int, _ []byte) {
		switch {
		case !still():
		case status == 200 && shut:
			c.cluster.Checker.DrainAcked(zone)
		case status == 200 || status == 404 && !shut:
		default:
			c.cluster.After(400, func() {
				if still() {
					c.SetDrained(zone, shut, still)
				}
			})
		}
	})
}

// The drill's load: the users' mix, handed in under the drill's own name,
// resent after silence, read through every gate, sometimes cancelled.
package main

import (
	"encoding/json"
	"fmt"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/jsondoc"
	"orchidward/internal/invariants"
	"orchidward/internal/transport/httpclient"
)

const agentName identifier.Client = "drill"

func (d *desk) load() {
	for n := d.share(1); n > 0; n-- {
		d.hand(map[string]any{"name": "run", "tasks": 2 + d.rnd.Intn(3), "gang": true, "cores": 2, "memMb": 512, "spanMs": 1000 + d.rnd.Intn(3000)})
	}
	for n := d.share(2); n > 0; n-- {
		d.hand(map[string]any{"name": "price", "tasks": 2, "spanMs": 100 + d.rnd.Intn(300)},
			map[string]any{"name": "plan", "after": []string{"price"}, "tasks": 2, "spanMs": 100 + d.rnd.Intn(300)})
	}
	for n := d.share(8); n > 0; n-- {
		d.hand(map[string]any{"name": "check", "allowedDefects": 2, "spanMs": 50 + d.rnd.Intn(300)})
	}
}

func (d *desk) share(per int64) int64 {
	sum := per * d.f.RatePct
	n := sum / 100
	if d.rnd.Int63n(100) < sum%100 {
		n++
	}
	return n
}

func (d *desk) hand(steps ...map[string]any) {
	body := map[string]any{"pending": d.f.Row, "urgency": d.rnd.Intn(3), "steps": steps}
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	var f jsondoc.FieldErrors
	spec := job.Read(text, &f)
	if f.Any() {
		panic(fmt.Sprint(f.List))
	}
	key := identifier.NewJobKey(agentName, identifier.JobID(fmt.Sprintf("%x-%d", d.begun^int64(d.rnd.Uint32()), d.asked)))
	j := &invariants.Job{Spec: *spec, SubmittedAt: d.at}
	d.watch.Jobs[key] = j
	d.left++
	d.put(key, j, text)
}

func (d *desk) put(key identifier.JobKey, j *invariants.Job, text []byte) {
	d.ask("PUT", endpoint.JobPath(key), text, func(got httpclient.Response, err error) {
		switch {
		case err == nil && got.OK():
			if j.AckedAt == 0 {
				j.AckedAt = d.at
				d.watch.Counts["acked"]++
				d.read(key, j)
				if d.rnd.Intn(12) == 0 {
					d.cancel(key, j)
				}
			}
		case err != nil || got.Status == 429 || got.Status >= 500:
			d.lost++
			d.after(300, func() { d.put(key, j, text) })
		default:
			d.watch.Violate("P9", "job %s refused: %s", key, got.Message())
			d.left--
		}
	})
}

// read reads a job until it has ended.
func (d *desk) read(key identifier.JobKey, j *invariants.Job) {
	d.ask("GET", endpoint.JobPath(key), nil, func(got httpclient.Response, err error) {
		var doc struct {
			State string `json:"state"`
		}
		if err == nil && (got.OK() || got.Status == 404) {
			if got.OK() && json.Unmarshal(got.Body, &doc) != nil {
				d.halves++
			}
			d.later = append(d.later, seen{d.at, func() { d.watch.JobStateReported(key, got.Status, doc.State) }})
		}
		if got.Status == 404 || doc.State == "well" || doc.State == "failed" || doc.State == "cancelled" {
			d.left--
			return
		}
		d.after(250, func() { d.read(key, j) })
	})
}

func (d *desk) cancel(key identifier.JobKey, j *invariants.Job) {
	j.CancelSent = true
	d.ask("DELETE", endpoint.JobPath(key), nil, func(got httpclient.Response, err error) {
		if err != nil || !got.OK() {
			d.after(300, func() { d.cancel(key, j) })
			return
		}
		if j.CancelledAt == 0 {
			j.CancelledAt = d.at
		}
	})
}

package main

import (
	"encoding/json"
	"fmt"
	"net/http"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/jsondoc"
	"orchidward/internal/invariants"
	"orchidward/internal/transport/httpclient"
)

// clientName is the client name under which the drill submits its jobs.
const clientName identifier.Client = "drill"

const (
	// cancelShare sets the share of jobs that are cancelled: one in cancelShare.
	cancelShare  = 12
	readInterval = 250
)

// jobDocument is the body of a job submission.
type jobDocument struct {
	Row     string         `json:"pending"`
	Steps   []stepDocument `json:"steps"`
	Urgency int            `json:"urgency"`
}

type stepDocument struct {
	Name           string   `json:"name"`
	After          []string `json:"after,omitempty"`
	Tasks          int      `json:"tasks,omitempty"`
	Gang           bool     `json:"gang,omitempty"`
	Cores          int      `json:"cores,omitempty"`
	MemMB          int      `json:"memMb,omitempty"`
	AllowedDefects int      `json:"allowedDefects,omitempty"`
	SpanMs         int      `json:"spanMs"`
}

// submitLoad submits the jobs of one second.
func (d *drill) submitLoad() {
	for range d.jobsPerSecond(1) {
		d.submit(stepDocument{Name: "run", Tasks: 2 + d.random.Intn(3), Gang: true, Cores: 2, MemMB: 512, SpanMs: 1000 + d.random.Intn(3000)})
	}
	for range d.jobsPerSecond(2) {
		d.submit(
			stepDocument{Name: "price", Tasks: 2, SpanMs: 100 + d.random.Intn(300)},
			stepDocument{Name: "plan", After: []string{"price"}, Tasks: 2, SpanMs: 100 + d.random.Intn(300)})
	}
	for range d.jobsPerSecond(8) {
		d.submit(stepDocument{Name: "check", AllowedDefects: 2, SpanMs: 50 + d.random.Intn(300)})
	}
}

// jobsPerSecond scales a rate of the usual load by the load percentage. A fractional job is
// submitted with the corresponding probability.
func (d *drill) jobsPerSecond(usual int64) int64 {
	percent := usual * d.flags.RatePct
	count := percent / 100
	if d.random.Int63n(100) < percent%100 {
		count++
	}
	return count
}

// submit submits a job with the given steps, and follows it until it ends.
func (d *drill) submit(steps ...stepDocument) {
	body, err := json.Marshal(jobDocument{Row: d.flags.Row, Urgency: d.random.Intn(3), Steps: steps})
	if err != nil {
		panic(programName + ": a job does not encode: " + err.Error())
	}
	var faults jsondoc.FieldErrors
	spec := job.Read(body, &faults)
	if faults.Any() {
		panic(fmt.Sprint(programName, ": a job of the load is invalid: ", faults.List))
	}
	id := fmt.Sprintf("%x-%d", d.startAt^int64(d.random.Uint32()), d.responses.sent)
	key := identifier.NewJobKey(clientName, identifier.JobID(id))
	submitted := &invariants.Job{Spec: *spec, SubmittedAt: d.now}
	d.checker.Jobs[key] = submitted
	d.openJobs++
	d.send(key, submitted, body)
}

// send submits a job, with retries, until it is accepted or rejected permanently.
func (d *drill) send(key identifier.JobKey, submitted *invariants.Job, body []byte) {
	d.request(http.MethodPut, endpoint.JobPath(key), body, func(response httpclient.Response, err error) {
		switch {
		case succeeded(response, err):
			if submitted.AckedAt == 0 {
				d.accepted(key, submitted)
			}
		case err != nil || response.Status == http.StatusTooManyRequests || response.Status >= http.StatusInternalServerError:
			d.responses.retried++
			d.after(retryDelay, func() { d.send(key, submitted, body) })
		default:
			d.checker.Violate(invariants.JobStateIsTrue, "job %s refused: %s", key, response.Message())
			d.openJobs--
		}
	})
}

func (d *drill) accepted(key identifier.JobKey, submitted *invariants.Job) {
	submitted.AckedAt = d.now
	d.checker.Counts[invariants.CountAcked]++
	d.follow(key)
	if d.random.Intn(cancelShare) == 0 {
		d.cancel(key, submitted)
	}
}

// follow reads the state of a job every readInterval until the job has ended.
func (d *drill) follow(key identifier.JobKey) {
	d.request(http.MethodGet, endpoint.JobPath(key), nil, func(response httpclient.Response, err error) {
		var document struct {
			State string `json:"state"`
		}
		if err == nil && (response.OK() || response.Status == http.StatusNotFound) {
			if response.OK() && json.Unmarshal(response.Body, &document) != nil {
				d.responses.broken++
			}
			d.events = append(d.events, scheduled{d.now, func() {
				d.checker.JobStateReported(key, response.Status, document.State)
			}})
		}
		if response.Status == http.StatusNotFound || invariants.JobEnded(document.State) {
			d.openJobs--
			return
		}
		d.after(readInterval, func() { d.follow(key) })
	})
}

// cancel sends a cancellation, with retries, until it is acknowledged.
func (d *drill) cancel(key identifier.JobKey, submitted *invariants.Job) {
	submitted.CancelSent = true
	d.request(http.MethodDelete, endpoint.JobPath(key), nil, func(response httpclient.Response, err error) {
		if !succeeded(response, err) {
			d.after(retryDelay, func() { d.cancel(key, submitted) })
			return
		}
		if submitted.CancelledAt == 0 {
			submitted.CancelledAt = d.now
		}
	})
}

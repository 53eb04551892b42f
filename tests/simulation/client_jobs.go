package simulation

import (
	"encoding/json"
	"fmt"
	"net/http"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
	"orchidward/internal/invariants"
)

// Rows of the limits table that the clients use.
const (
	RowStock identifier.Row = "stock"
	RowPush  identifier.Row = "push"
	RowCheck identifier.Row = "check"
)

// clientName is the client that submits the jobs.
const clientName identifier.Client = "gilde"

const (
	// loadInterval is the length in ms of the period whose jobs submitLoad submits.
	loadInterval = 1000
	// Shares of jobs and of the actions on them: a share of n means one in n.
	signJobShare  = 4
	nightJobShare = 6
	ssdShare      = 4
	resendShare   = 10
	cancelShare   = 12
	startChoices  = 20
)

// jobDocument is the submitted form of a job.
type jobDocument struct {
	Row       identifier.Row `json:"pending"`
	Urgency   int64          `json:"urgency"`
	Steps     []stepDocument `json:"steps"`
	DelayMs   int64          `json:"delayMs,omitempty"`
	NotBefore string         `json:"notBefore,omitempty"`
}

type stepDocument struct {
	Name           string             `json:"name"`
	After          []string           `json:"after"`
	Tasks          int64              `json:"tasks"`
	Gang           bool               `json:"gang"`
	Cores          int64              `json:"cores"`
	MemMB          int64              `json:"memMb"`
	Labels         []identifier.Label `json:"labels"`
	AllowedDefects int64              `json:"allowedDefects"`
	SpanMs         clock.Millis       `json:"spanMs"`
}

// submitLoad submits the jobs of one second.
func (c *Clients) submitLoad() {
	if c.cluster.Now >= c.StopAt {
		return
	}
	for range c.jobsPerSecond(1) {
		c.Submit(RowStock, job.Step{
			Name:        "run",
			Tasks:       2 + c.below(3),
			Gang:        true,
			Demand:      job.Demand{Cores: 2 + c.below(3), Mem: 2048},
			ExpectedRun: c.runTime(1000, 4000),
		})
	}
	if c.oneIn(signJobShare) {
		c.Submit(RowStock, job.Step{Name: "sign", Tasks: 1, Demand: job.Demand{Cores: 1, Mem: 512}, ExpectedRun: c.runTime(15000, 10000)})
	}
	if c.oneIn(nightJobShare) {
		c.Submit(RowStock, job.Step{
			Name:        "night",
			Tasks:       3,
			Gang:        true,
			Demand:      job.Demand{Cores: 1, Mem: 512},
			ExpectedRun: c.runTime(22000, 4000),
		})
	}
	for range c.jobsPerSecond(2) {
		price := job.Step{Name: "price", Tasks: 1 + c.below(3), Demand: job.Demand{Cores: 1, Mem: 256}, ExpectedRun: c.runTime(100, 400)}
		plan := price
		plan.Name = "plan"
		plan.After = []string{price.Name}
		c.Submit(RowPush, price, plan)
	}
	for range c.jobsPerSecond(8) {
		check := job.Step{Name: "check", Tasks: 1, Demand: job.Demand{Cores: 1, Mem: 128}, ExpectedRun: c.runTime(50, 300)}
		if c.oneIn(ssdShare) {
			check.Labels = []identifier.Label{ssdLabel}
		}
		c.Submit(RowCheck, check)
	}
	c.cluster.After(loadInterval, c.submitLoad)
}

// jobsPerSecond draws how many jobs to submit in a second where the usual load has the
// given number per second.
func (c *Clients) jobsPerSecond(usual int64) int {
	percent := usual * c.cluster.Spec.LoadPercent
	count := int(percent / 100)
	if c.below(100) < percent%100 {
		count++
	}
	return count
}

// below draws a number in [0, bound).
func (c *Clients) below(bound int64) int64 { return c.cluster.Random.Int63n(bound) }

func (c *Clients) oneIn(share int) bool { return c.cluster.Random.Intn(share) == 0 }

func (c *Clients) runTime(minimum, span int64) clock.Millis {
	return clock.Millis(minimum + c.below(span))
}

// Submit submits a job with the given steps within a second, some jobs with a start time.
// It sends the job until it is accepted.
func (c *Clients) Submit(row identifier.Row, steps ...job.Step) {
	spec := job.Spec{Row: row, Urgency: c.below(4)}
	for _, step := range steps {
		step.MaxDefects = 1 + c.below(4)
		spec.Steps = append(spec.Steps, step)
	}
	c.lastJob++
	submitted := &invariants.Job{Spec: spec}
	document := newJobDocument(spec)
	submitted.SubmittedAt = c.cluster.Now + c.below(1000)
	switch c.cluster.Random.Intn(startChoices) {
	case 0:
		document.DelayMs = 1000 + c.below(5000)
		submitted.StartAt = submitted.SubmittedAt + document.DelayMs
	case 1:
		start := clock.ClusterTime(WallClockStart + submitted.SubmittedAt + 1000 + c.below(5000))
		document.NotBefore = start.Time().Format("2006-01-02T15:04:05.000Z")
		submitted.StartAt = int64(start) - WallClockStart
	}
	key := identifier.NewJobKey(clientName, identifier.JobID(fmt.Sprintf("j%d", c.lastJob)))
	body := mustEncode(document)
	c.cluster.Checker.Jobs[key] = submitted
	c.cluster.At(submitted.SubmittedAt, func() { c.send(key, submitted, body) })
}

func newJobDocument(spec job.Spec) jobDocument {
	document := jobDocument{Row: spec.Row, Urgency: spec.Urgency}
	for _, step := range spec.Steps {
		document.Steps = append(document.Steps, stepDocument{
			Name:           step.Name,
			After:          step.After,
			Tasks:          step.Tasks,
			Gang:           step.Gang,
			Cores:          step.Demand.Cores,
			MemMB:          step.Demand.Mem,
			Labels:         step.Labels,
			AllowedDefects: step.MaxDefects,
			SpanMs:         step.ExpectedRun,
		})
	}
	return document
}

// send sends a job, and resends it after no response or a temporary rejection.
func (c *Clients) send(key identifier.JobKey, submitted *invariants.Job, body []byte) {
	c.request(http.MethodPut, endpoint.JobPath(key), body, requestTimeout, func(status int, response []byte) {
		switch status {
		case http.StatusOK, http.StatusCreated:
			if submitted.AckedAt == 0 {
				submitted.AckedAt = c.cluster.Now
				c.cluster.Checker.Counts[invariants.CountAcked]++
				c.follow(key, submitted, body)
			}
		case NoResponse, http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusTooManyRequests:
			c.cluster.After(200+c.below(600), func() { c.send(key, submitted, body) })
		default:
			c.cluster.Checker.Violate(invariants.JobStateIsTrue, "job %s rejected with %d: %s", key, status, response)
		}
	})
}

// follow reads an accepted job until it ends; it resends some jobs and cancels some.
func (c *Clients) follow(key identifier.JobKey, submitted *invariants.Job, body []byte) {
	c.cluster.After(c.below(3000), func() { c.readJob(key) })
	if c.oneIn(resendShare) {
		c.cluster.After(c.below(5000), func() { c.send(key, submitted, body) })
	}
	if c.oneIn(cancelShare) {
		c.cluster.After(c.below(4000), func() { c.cancel(key, submitted) })
	}
}

func (c *Clients) readJob(key identifier.JobKey) {
	const retryDelay = 500
	c.request(http.MethodGet, endpoint.JobPath(key), nil, requestTimeout, func(status int, body []byte) {
		if status != http.StatusOK && status != http.StatusNotFound {
			c.cluster.After(retryDelay, func() { c.readJob(key) })
			return
		}
		var document struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal(body, &document) != nil {
			c.cluster.Checker.Violate(invariants.JobStateIsTrue, "job %s reads as %q", key, body)
		}
		c.cluster.Checker.JobStateReported(key, status, document.State)
		if status == http.StatusOK && c.cluster.Checker.Jobs[key].EndState == "" {
			c.cluster.After(1000+c.below(2000), func() { c.readJob(key) })
		}
	})
}

func (c *Clients) cancel(key identifier.JobKey, submitted *invariants.Job) {
	const retryDelay = 500
	submitted.CancelSent = true
	c.request(http.MethodDelete, endpoint.JobPath(key), nil, requestTimeout, func(status int, _ []byte) {
		if status != http.StatusOK {
			c.cluster.After(retryDelay, func() { c.cancel(key, submitted) })
			return
		}
		if submitted.CancelledAt == 0 {
			submitted.CancelledAt = c.cluster.Now
		}
	})
}

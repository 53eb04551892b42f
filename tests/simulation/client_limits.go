package simulation

import (
	"encoding/json"
	"net/http"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/invariants"
)

const (
	// readLimitsTimeout is the timeout of a read in ms.
	readLimitsTimeout = 1000
	// Weights are assigned in sequence from firstWeight on, so that each weight
	// identifies the change that set it.
	firstWeight    = 2
	weightsInCycle = 9000
)

// limitsDocument has the parts of the limits table that the clients read.
type limitsDocument struct {
	Epoch int64 `json:"epoch"`
	Rows  map[string]struct {
		Weight int `json:"weight"`
	} `json:"rows"`
}

// limitsPatch changes cells of the limits table, named row.column.
type limitsPatch struct {
	Base  int64          `json:"base"`
	Cells map[string]any `json:"cells"`
}

// setUp creates the rows that the clients use; done is called when they exist.
func (c *Clients) setUp(done func()) {
	const retryDelay = 300
	rows := map[string]any{
		"stock.weight":   2,
		"stock.onOutage": "ride",
		"push.weight":    1,
		"push.onOutage":  "wait",
		"check.weight":   4,
		"check.onOutage": "push",
	}
	c.PatchLimits(1, rows, func(status int, epoch int64) {
		if status == http.StatusOK || status == http.StatusConflict {
			c.Epoch = max(c.Epoch, epoch)
			done()
			return
		}
		c.cluster.After(retryDelay, func() { c.setUp(done) })
	})
}

// changeLimits changes the limits table repeatedly: mostly with valid changes, sometimes
// on a stale base, sometimes with invalid changes.
func (c *Clients) changeLimits() {
	if c.cluster.Now >= c.StopAt {
		return
	}
	c.ReadLimits(func(epoch int64) {
		switch c.cluster.Random.Intn(5) {
		case 0:
			c.changeWeight(epoch - 1)
		case 1:
			c.sendInvalidChange(epoch)
		default:
			c.changeWeight(epoch)
		}
	})
	c.cluster.After(700+c.below(800), c.changeLimits)
}

// ReadLimits reads the limits table, checks it against the changes acknowledged and
// rejected before, and calls then with its epoch.
func (c *Clients) ReadLimits(then func(epoch int64)) {
	ackedEpoch := c.Epoch
	ackedWeight := c.ackedWeight
	c.request(http.MethodGet, endpoint.LimitsPath, nil, readLimitsTimeout, func(status int, body []byte) {
		if status != http.StatusOK {
			return
		}
		var document limitsDocument
		if json.Unmarshal(body, &document) != nil {
			c.cluster.Checker.Violate(invariants.LimitsTableNeverGoesBack, "table reads as %q", body)
			return
		}
		weight := document.Rows[string(RowPush)].Weight
		switch {
		case document.Epoch < ackedEpoch:
			c.cluster.Checker.Violate(invariants.LimitsTableNeverGoesBack, "epoch %d was acknowledged, but epoch %d is read", ackedEpoch, document.Epoch)
		case c.rejectedWeights[weight]:
			c.cluster.Checker.Violate(invariants.LimitsTableNeverGoesBack, "rejected weight %d is in effect", weight)
		case weight < ackedWeight:
			c.cluster.Checker.Violate(invariants.LimitsTableNeverGoesBack, "weight %d was acknowledged, but weight %d is read", ackedWeight, weight)
		}
		then(document.Epoch)
	})
}

// nextWeight returns the next weight of the sequence.
func (c *Clients) nextWeight() int {
	c.lastWeight++
	return c.lastWeight%weightsInCycle + firstWeight
}

func (c *Clients) changeWeight(base int64) {
	weight := c.nextWeight()
	c.PatchLimits(base, map[string]any{"push.weight": weight}, func(status int, epoch int64) {
		switch {
		case status == http.StatusOK:
			c.ackedWeight = max(c.ackedWeight, weight)
			c.Epoch = max(c.Epoch, epoch)
			c.cluster.Checker.Counts[CountLimitsAcked]++
		case status >= 400 && status < 500 && status != http.StatusTooManyRequests:
			c.rejectedWeights[weight] = true
			c.cluster.Checker.Counts[CountLimitsRejected]++
		}
	})
}

// Keys of the checker's counts: changes of the limits table that were acknowledged
// and rejected.
const (
	CountLimitsAcked    = "table acked"
	CountLimitsRejected = "table refused"
)

func (c *Clients) sendInvalidChange(base int64) {
	weight := c.nextWeight()
	cells := map[string]any{"push.weight": weight, "push.onOutage": "explode"}
	c.PatchLimits(base, cells, func(status int, _ int64) {
		if status == http.StatusOK {
			c.cluster.Checker.Violate(invariants.LimitsTableNeverGoesBack, "an invalid change was acknowledged")
		}
		c.rejectedWeights[weight] = true
	})
}

// PatchLimits changes cells of the limits table; done gets the status and, when it
// was acknowledged, the new epoch.
func (c *Clients) PatchLimits(base int64, cells map[string]any, done func(status int, epoch int64)) {
	body := mustEncode(limitsPatch{Base: base, Cells: cells})
	c.request(http.MethodPatch, endpoint.LimitsPath, body, requestTimeout, func(status int, response []byte) {
		var document limitsDocument
		_ = json.Unmarshal(response, &document)
		done(status, document.Epoch)
	})
}

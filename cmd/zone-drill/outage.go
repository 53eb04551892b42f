package main

import (
	"encoding/json"
	"net/http"
	"syscall"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/invariants"
	"orchidward/internal/transport/httpclient"
)

const (
	// minDrained is how long the domain is drained at least once that is acknowledged.
	minDrained = 6500
	retryDelay = 300

	// The domain is out for the middle third of the load: these are ms for each second
	// of it.
	outageStart = 333
	outageEnd   = 667
)

// outage is the time for which the domain is taken out.
type outage struct {
	startAt int64
	endAt   int64
	started bool
	ended   bool
}

func newOutage(now, loadSeconds int64) outage {
	return outage{
		startAt: now + loadSeconds*outageStart,
		endAt:   now + loadSeconds*outageEnd,
	}
}

// duration is how long the domain is out.
func (o outage) duration() int64 { return o.endAt - o.startAt }

// advanceOutage takes the domain out and brings it back when due.
func (d *drill) advanceOutage() {
	if !d.outage.started && d.now >= d.outage.startAt {
		d.outage.started = true
		d.takeOut()
	}
	if !d.outage.ended && d.now >= d.outage.endAt {
		d.outage.ended = true
		d.bringBack()
	}
}

// takeOut drains the domain, or kills the processes that were named.
func (d *drill) takeOut() {
	if d.flags.kills() {
		d.kill()
		return
	}
	d.request(http.MethodPut, endpoint.DrainPath(d.flags.Domain), nil, func(response httpclient.Response, err error) {
		if !succeeded(response, err) {
			d.after(retryDelay, d.takeOut)
			return
		}
		d.checker.DrainAcked(d.flags.Domain)
		d.outage.startAt = d.now
		d.outage.endAt = d.now + max(minDrained, d.flags.LoadS*outageStart)
	})
}

func (d *drill) kill() {
	for _, pid := range d.flags.Pids {
		if err := syscall.Kill(pid, syscall.SIGKILL); err != nil {
			warnf("pid %d: %v", pid, err)
		}
	}
}

// bringBack reopens the domain; killed processes are started by the operator.
func (d *drill) bringBack() {
	if d.flags.kills() {
		return
	}
	d.checker.ReopenRequested(d.flags.Domain)
	d.request(http.MethodDelete, endpoint.DrainPath(d.flags.Domain), nil, func(response httpclient.Response, err error) {
		if !succeeded(response, err) {
			d.after(retryDelay, d.bringBack)
		}
	})
}

// service is what probes of the limits table found.
type service struct {
	// epoch is the one that was last read, or that before it if the last went back.
	epoch        int64
	reads        int
	lastAnswerAt int64
	// longestGap is the longest time between two answers.
	longestGap int64
}

// probe reads the limits table, to see whether the cluster serves and whether its epoch
// goes back.
func (d *drill) probe() {
	epochBefore := d.service.epoch
	d.request(http.MethodGet, endpoint.LimitsPath, nil, func(response httpclient.Response, err error) {
		if !succeeded(response, err) {
			return
		}
		d.service.longestGap = max(d.service.longestGap, d.now-d.service.lastAnswerAt)
		d.service.lastAnswerAt = d.now
		var table struct {
			Epoch int64 `json:"epoch"`
		}
		if json.Unmarshal(response.Body, &table) != nil {
			d.responses.broken++
			return
		}
		if table.Epoch < epochBefore {
			d.checker.Violate(invariants.LimitsTableNeverGoesBack, "table epoch went back from %d to %d", epochBefore, table.Epoch)
		}
		d.service.epoch = max(epochBefore, table.Epoch)
		d.service.reads++
	})
}

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
	// minDrained is the least time for which the domain stays drained after the drain was
	// acknowledged.
	minDrained = 6500
	retryDelay = 300

	// The domain is out of service for the middle third of the load. These are the start
	// and end in ms per second of load.
	outageStart = 333
	outageEnd   = 667
)

// outage is the period in which the domain is out of service.
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

// duration returns how long the domain is out of service.
func (o outage) duration() int64 { return o.endAt - o.startAt }

// advanceOutage starts and ends the outage when due.
func (d *drill) advanceOutage() {
	if !d.outage.started && d.now >= d.outage.startAt {
		d.outage.started = true
		d.startOutage()
	}
	if !d.outage.ended && d.now >= d.outage.endAt {
		d.outage.ended = true
		d.endOutage()
	}
}

// startOutage drains the domain, or kills the processes given on the command line.
func (d *drill) startOutage() {
	if d.flags.kills() {
		d.kill()
		return
	}
	d.request(http.MethodPut, endpoint.DrainPath(d.flags.Domain), nil, func(response httpclient.Response, err error) {
		if !succeeded(response, err) {
			d.after(retryDelay, d.startOutage)
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

// endOutage reopens the domain. Killed processes are restarted by the operator.
func (d *drill) endOutage() {
	if d.flags.kills() {
		return
	}
	d.checker.ReopenRequested(d.flags.Domain)
	d.request(http.MethodDelete, endpoint.DrainPath(d.flags.Domain), nil, func(response httpclient.Response, err error) {
		if !succeeded(response, err) {
			d.after(retryDelay, d.endOutage)
		}
	})
}

// service holds the results of the probes of the limits table.
type service struct {
	// epoch is the last epoch read, or the one before it if the last read went back.
	epoch        int64
	reads        int
	lastAnswerAt int64
	// longestGap is the longest time between two successful responses.
	longestGap int64
}

// probe reads the limits table, to check that the cluster responds and that the table's
// epoch does not go back.
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

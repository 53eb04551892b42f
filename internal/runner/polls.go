package runner

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"

	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
)

// pollState is the state of the exchange with the control plane.
type pollState struct {
	// seq is the sequence number of the last poll, and open holds the send times of polls
	// that await a response.
	seq     uint64
	open    map[uint64]clock.Monotonic
	nextAt  clock.Monotonic
	backoff clock.Millis
	// lastContact is when the runner sent the last poll that was answered. lease is the
	// duration of the runner's leases from then on, and startTimeout how long a start order
	// is valid.
	lastContact  clock.Monotonic
	lease        clock.Millis
	startTimeout clock.Millis
}

func newPollState(now clock.Monotonic) pollState {
	return pollState{
		open:         map[uint64]clock.Monotonic{},
		lastContact:  now,
		lease:        initialLease,
		startTimeout: initialStartTimeout,
	}
}

// pollIfDue keeps one poll open. Unreported changes are sent in a new poll that replaces it.
func (r *Runner) pollIfDue() {
	r.dropOverdue()
	p := &r.polls
	if len(r.gateways.addrs) == 0 || r.Retired || r.now < r.isolatedUntil || r.now < p.nextAt {
		return
	}
	_, waiting := p.open[p.seq]
	if waiting && (!r.unreported || len(p.open) > maxOpenPolls) {
		return
	}
	p.seq++
	r.unreported = false
	p.open[p.seq] = r.now
	body, err := json.Marshal(r.pollRequest())
	if err != nil {
		panic("runner: encoding a poll: " + err.Error())
	}
	r.output.Polls = append(r.output.Polls, Poll{Gateway: r.gateways.addr(), Seq: p.seq, Body: body, Timeout: p.startTimeout})
}

// dropOverdue drops polls that have timed out.
func (r *Runner) dropOverdue() {
	p := &r.polls
	for seq, sentAt := range p.open {
		if r.now.Since(sentAt) > p.startTimeout {
			delete(p.open, seq)
			if seq == p.seq {
				r.pollFailed()
			}
		}
	}
}

// pollFailed switches to the next gateway, with exponential backoff and jitter.
func (r *Runner) pollFailed() {
	r.gateways.current++
	p := &r.polls
	p.backoff = min(max(minBackoff, p.backoff*2), maxBackoff)
	jitter := clock.Millis(r.random.Int63n(int64(p.backoff)))
	p.nextAt = r.now.Add(p.backoff/2 + jitter)
}

func (r *Runner) pollRequest() runnerapi.PollRequest {
	request := runnerapi.PollRequest{
		Incarnation: r.config.Incarnation,
		Seq:         r.polls.seq,
		Cores:       r.config.Capacity.Cores,
		Mem:         r.config.Capacity.Mem,
		Labels:      r.config.Labels,
		Domain:      r.config.Domain,
		Rack:        r.config.Rack,
		Mode:        r.mode,
		Running:     r.attempts.runningIDs(),
	}
	if r.mode == runnerapi.ModeDraining {
		request.DepartsIn = max(0, r.departsAt.Since(r.now))
	}
	ended := slices.Sorted(maps.Keys(r.attempts.ended))
	for _, id := range ended[:min(len(ended), maxReportedEnds)] {
		request.Ended = append(request.Ended, r.attempts.ended[id])
	}
	return request
}

// HandlePollResponse processes the response to a poll. A status of 0 means that there was no
// response.
func (r *Runner) HandlePollResponse(seq uint64, status int, body []byte, now clock.Monotonic) {
	r.advance(now)
	sentAt, ok := r.polls.open[seq]
	if !ok {
		r.pollIfDue()
		return
	}
	delete(r.polls.open, seq)
	var response runnerapi.PollResponse
	if r.now < r.isolatedUntil || status != http.StatusOK || json.Unmarshal(body, &response) != nil {
		if seq == r.polls.seq {
			r.pollFailed()
		}
		r.pollIfDue()
		return
	}
	r.polls.backoff = 0
	r.polls.nextAt = r.now
	r.polls.lastContact = max(r.polls.lastContact, sentAt)
	if response.Retired {
		r.retire()
		return
	}
	r.applyOrders(response, seq, sentAt)
	r.pollIfDue()
}

// applyOrders applies the orders of a response. It ignores starts unless the response is to
// the newest poll and within the start timeout.
func (r *Runner) applyOrders(response runnerapi.PollResponse, seq uint64, sentAt clock.Monotonic) {
	if response.Lease > 0 && response.StartTimeout > 0 {
		r.polls.lease = response.Lease
		r.polls.startTimeout = response.StartTimeout
	}
	r.LearnGateways(response.Gateways)
	for _, id := range response.AckedEnds {
		if end, ok := r.attempts.ended[id]; ok {
			delete(r.attempts.ended, id)
			r.logEvent(Event{Kind: EventAcked, Lease: id, Task: end.Task})
		}
	}
	for _, id := range response.CompleteGangs {
		if member := r.attempts.running[id]; member != nil {
			member.gangCompleteAt = max(member.gangCompleteAt, sentAt)
		}
	}
	for _, id := range response.Stops {
		r.stop(id)
	}
	if seq != r.polls.seq || r.now.Since(sentAt) > response.StartTimeout || len(r.attempts.ended) >= maxEnds {
		return
	}
	for _, start := range response.Starts {
		r.start(start, sentAt)
	}
}

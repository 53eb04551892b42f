package agent

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

const (
	// sentPollTTL is how long the send time of a poll is kept.
	sentPollTTL clock.Millis = 5000
	// minBackoff and maxBackoff bound the backoff after a failed poll.
	minBackoff clock.Millis = 50
	maxBackoff clock.Millis = 400
	// jitterFactor is a prime that maps the sequence numbers of polls, which start at a
	// different number in each agent, to jitter within the backoff.
	jitterFactor uint64 = 7919
)

// pollState is the state of the agent's polling of the control plane. One poll is kept open;
// the agent tries one server after another until one answers.
type pollState struct {
	servers []string
	current int
	// seq is the sequence number of the last poll or other request.
	seq  uint64
	open *openPoll
	// sentAt holds the send times of recent polls that have no response yet.
	sentAt  map[uint64]clock.Monotonic
	nextAt  clock.Monotonic
	backoff clock.Millis
	// timeout is how long to wait for the response to a poll.
	timeout clock.Millis
	// refusedStatus is the status of the last refusal that was logged.
	refusedStatus int
}

// openPoll is the poll that awaits its response.
type openPoll struct {
	seq         uint64
	sentAt      clock.Monotonic
	incarnation identifier.Incarnation
}

func newPollState(config Config) pollState {
	p := pollState{
		servers: config.Seeds,
		seq:     uint64(config.Seed),
		timeout: initialPollTimeout,
		sentAt:  map[uint64]clock.Monotonic{},
	}
	if n := len(config.Seeds); n > 0 {
		p.current = int(uint64(config.Seed) % uint64(n))
	}
	return p
}

// server returns the address of the server to send requests to.
func (p *pollState) server() string { return p.servers[p.current%len(p.servers)] }

// recordFailure switches to the next server, with exponential backoff and jitter that differs
// between agents.
func (p *pollState) recordFailure(now clock.Monotonic) {
	p.current++
	p.backoff = min(max(minBackoff, p.backoff*2), maxBackoff)
	jitter := clock.Millis(p.seq * jitterFactor % uint64(p.backoff))
	p.nextAt = now.Add(p.backoff/2 + jitter)
}

// begin opens a poll and discards the send times of old ones.
func (p *pollState) begin(incarnation identifier.Incarnation, now clock.Monotonic) {
	p.seq++
	p.open = &openPoll{seq: p.seq, sentAt: now, incarnation: incarnation}
	p.sentAt[p.seq] = now
	for seq, sentAt := range p.sentAt {
		if now.Since(sentAt) > sentPollTTL {
			delete(p.sentAt, seq)
		}
	}
}

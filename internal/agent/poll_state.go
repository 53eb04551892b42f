package agent

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

const (
	// sentPollTTL is how long the time of a poll is remembered.
	sentPollTTL clock.Millis = 5000
	// minBackoff and maxBackoff bound the pause after a failed poll.
	minBackoff clock.Millis = 50
	maxBackoff clock.Millis = 400
	// jitterFactor is a prime that spreads the numbers of polls, which begin at another
	// one in each agent, over the length of a pause.
	jitterFactor uint64 = 7919
)

// pollState is how the agent polls the control plane: one poll is kept open, and goes to
// one server after another until one answers.
type pollState struct {
	servers []string
	current int
	// seq is the number of the last poll or request.
	seq  uint64
	open *openPoll
	// sentAt is when each of the last polls was sent.
	sentAt  map[uint64]clock.Monotonic
	nextAt  clock.Monotonic
	backoff clock.Millis
	// timeout is how long a poll is awaited.
	timeout clock.Millis
	// refusedStatus is the status of the last refusal that was logged.
	refusedStatus int
}

// openPoll is the poll under way.
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

// server is the one to ask now.
func (p *pollState) server() string { return p.servers[p.current%len(p.servers)] }

// recordFailure turns to the next server, after a pause that grows and differs from one agent to
// another.
func (p *pollState) recordFailure(now clock.Monotonic) {
	p.current++
	p.backoff = min(max(minBackoff, p.backoff*2), maxBackoff)
	jitter := clock.Millis(p.seq * jitterFactor % uint64(p.backoff))
	p.nextAt = now.Add(p.backoff/2 + jitter)
}

// begin opens a poll and forgets when old ones were sent.
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

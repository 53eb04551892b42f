// Whether a keeper that follows can reach the leader. That it hears the leader
// does not show that the leader hears it: where a link carries one way only, what
// is passed on goes nowhere. While requests wait for the leader's reply the
// leader is asked for a sign of life; when none comes, the requests are given up
// and others are turned away at once, until the leader answers.

package controlplane

import (
	"orchidward/internal/clock"
	"orchidward/internal/transport/wire"
)

const (
	// unreachedAfter is how long a leader may leave requests and pings without
	// any answer, in milliseconds, before it counts as out of reach.
	unreachedAfter clock.Millis = 400
	// pingAfter is how long it may be silent before it is asked for a sign of
	// life, pingGap how often it then is, in milliseconds.
	pingAfter clock.Millis = 150
	pingGap   clock.Millis = 100
)

// reach is what a keeper knows of its way to the leader.
type reach struct {
	// waiting is since when some request has been passed on without a reply.
	waiting clock.Monotonic
	// heard is when the leader last answered anything, pinged when it was last
	// asked for a sign of life.
	heard, pinged clock.Monotonic
	lost          bool
}

// passed notes that a request goes to the leader; first says that none was
// waiting for it.
func (r *reach) passed(now clock.Monotonic, first bool) {
	if first {
		r.waiting = now
	}
}

// answered notes a reply or a sign of life.
func (r *reach) answered(now clock.Monotonic) { r.heard, r.lost = now, false }

// silent is how long the leader has owed an answer.
func (r *reach) silent(now clock.Monotonic) clock.Millis {
	return now.Since(max(r.waiting, r.heard))
}

// reachLeader asks a leader that owes answers for a sign of life, and gives up
// the requests passed to it when there has been none for too long.
func (m *Server) reachLeader() {
	if m.follows == "" || len(m.relays) == 0 && !m.reach.lost {
		return
	}
	silent := m.reach.silent(m.now)
	if silent > pingAfter && m.now.Since(m.reach.pinged) >= pingGap {
		m.reach.pinged = m.now
		m.send(m.follows, wire.Message{Announcement: m.self(true)})
	}
	if silent > unreachedAfter && !m.reach.lost {
		m.reach.lost = true
		m.event("leader-out-of-reach", "leader", m.follows, "requests", len(m.relays))
		m.abandon("")
	}
}

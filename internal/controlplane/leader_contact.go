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
	// life, pingInterval how often it then is, in milliseconds.
	pingAfter    clock.Millis = 150
	pingInterval clock.Millis = 100
)

// leaderContact is what a keeper knows of its way to the leader.
type leaderContact struct {
	// waiting is since when some request has been passed on without a reply.
	waitingSince clock.Monotonic
	// heard is when the leader last answered anything, pinged when it was last
	// asked for a sign of life.
	heardAt, pingedAt clock.Monotonic
	lost              bool
}

// requestSent notes that a request goes to the leader; first says that none was
// waiting for it.
func (r *leaderContact) requestSent(now clock.Monotonic, first bool) {
	if first {
		r.waitingSince = now
	}
}

// answered notes a reply or a sign of life.
func (r *leaderContact) answered(now clock.Monotonic) { r.heardAt, r.lost = now, false }

// silent is how long the leader has owed an answer.
func (r *leaderContact) silentFor(now clock.Monotonic) clock.Millis {
	return now.Since(max(r.waitingSince, r.heardAt))
}

// probeLeader asks a leader that owes answers for a sign of life, and gives up
// the requests passed to it when there has been none for too long.
func (s *Server) probeLeader() {
	if s.followedLeader == "" || len(s.forwarded) == 0 && !s.leaderContact.lost {
		return
	}
	silent := s.leaderContact.silentFor(s.now)
	if silent > pingAfter && s.now.Since(s.leaderContact.pingedAt) >= pingInterval {
		s.leaderContact.pingedAt = s.now
		s.send(s.followedLeader, wire.Message{Announcement: s.announcement(true)})
	}
	if silent > unreachedAfter && !s.leaderContact.lost {
		s.leaderContact.lost = true
		s.logEvent("leader-out-of-reach", "leader", s.followedLeader, "requests", len(s.forwarded))
		s.failForwardedExcept("")
	}
}

// Levels and sums. New commands and rules wait until every member, learners
// too, has said that it knows them; then one entry raises the level. A keeper
// that meets what it does not know steps aside rather than let its book part
// from the others'. And every so often the leader's entry says what the book's
// sum was: whoever has another sum at that index steps aside as well.

package controlplane

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/state"
)

const checksumsKept = 1024

// sums remembers the book's sum after each of the last entries.
type recentChecksums struct {
	indexes [checksumsKept]identifier.Index
	values  [checksumsKept]uint64
}

func (s *recentChecksums) put(i identifier.Index, sum uint64) {
	s.indexes[i%checksumsKept], s.values[i%checksumsKept] = i, sum
}

func (s *recentChecksums) get(i identifier.Index) (sum uint64, ok bool) {
	return s.values[i%checksumsKept], s.indexes[i%checksumsKept] == i && i > 0
}

// stepDown steps aside: what was handed out so far still goes, nothing more does.
func (s *Server) stepDown(why string, vals ...any) {
	if s.stopped {
		return
	}
	s.stopped = true
	s.out.Quit = why
	s.logEvent("step-aside", append([]any{"why", why}, vals...)...)
}

// checksumDiffers tells whether this keeper's book differs from the leader's.
func (s *Server) checksumDiffers(c *state.VerifyChecksum) bool {
	sum, ok := s.checksums.get(c.Index)
	if !ok || sum == c.Checksum {
		return false
	}
	s.stepDown("this keeper's book differs from the leader's", "index", c.Index)
	return true
}

// raiseLevel lifts the level once all members know a higher one.
func (s *Server) raiseLevel() {
	l := s.leader
	to := s.config.Level
	if l.levelProposal > s.appliedIndex || s.state.Level >= to || len(s.raft.MemberStatuses())+1 < len(s.raft.Members()) {
		return
	}
	for _, status := range s.raft.MemberStatuses() {
		if status.SilentFor > 2000 || status.Level <= s.state.Level {
			return
		}
		to = min(to, status.Level)
	}
	s.logEvent("level", "from", s.state.Level, "to", to)
	l.levelProposal = s.propose(&state.Command{RaiseLevel: &state.RaiseLevel{Level: to}})
}

// proposeChecksum lets the members compare their books.
func (s *Server) proposeChecksum() {
	l := s.leader
	if s.state.Level < 1 || s.now.Since(l.lastChecksum) < checksumInterval {
		return
	}
	l.lastChecksum = s.now
	if sum, ok := s.checksums.get(s.appliedIndex); ok {
		s.propose(&state.Command{VerifyChecksum: &state.VerifyChecksum{Index: s.appliedIndex, Checksum: sum}})
	}
}

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

const sumsKept = 1024

// sums remembers the book's sum after each of the last entries.
type sums struct {
	at  [sumsKept]identifier.Index
	sum [sumsKept]uint64
}

func (s *sums) put(i identifier.Index, sum uint64) { s.at[i%sumsKept], s.sum[i%sumsKept] = i, sum }

func (s *sums) get(i identifier.Index) (sum uint64, ok bool) {
	return s.sum[i%sumsKept], s.at[i%sumsKept] == i && i > 0
}

// quit steps aside: what was handed out so far still goes, nothing more does.
func (m *Server) quit(why string, vals ...any) {
	if m.over {
		return
	}
	m.over = true
	m.out.Quit = why
	m.event("step-aside", append([]any{"why", why}, vals...)...)
}

// parted tells whether this keeper's book differs from the leader's.
func (m *Server) parted(c *state.VerifyChecksum) bool {
	sum, ok := m.sums.get(c.Index)
	if !ok || sum == c.Checksum {
		return false
	}
	m.quit("this keeper's book differs from the leader's", "index", c.Index)
	return true
}

// raise lifts the level once all members know a higher one.
func (m *Server) raise() {
	l := m.lead
	to := m.config.Level
	if l.raising > m.at || m.state.Level >= to || len(m.raft.MemberStatuses())+1 < len(m.raft.Members()) {
		return
	}
	for _, s := range m.raft.MemberStatuses() {
		if s.SilentFor > 2000 || s.Level <= m.state.Level {
			return
		}
		to = min(to, s.Level)
	}
	m.event("level", "from", m.state.Level, "to", to)
	l.raising = m.propose(&state.Command{RaiseLevel: &state.RaiseLevel{Level: to}})
}

// check lets the members compare their books.
func (m *Server) check() {
	l := m.lead
	if m.state.Level < 1 || m.now.Since(l.checked) < checkGap {
		return
	}
	l.checked = m.now
	if sum, ok := m.sums.get(m.at); ok {
		m.propose(&state.Command{VerifyChecksum: &state.VerifyChecksum{Index: m.at, Checksum: sum}})
	}
}

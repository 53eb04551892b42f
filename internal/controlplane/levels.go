package controlplane

import (
	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/state"
)

// New commands and rules wait until every member, learners too, has said that it knows
// them; then one entry raises the level of the group. A server that meets a command it
// does not know halts rather than let its state differ from the others'. And every so
// often an entry of the leader says what the checksum of the state was: a server that
// has another one at that index halts as well. See docs/notes/versions.md.

const (
	// checksumsKept is how many of the last entries a server remembers the checksum of.
	checksumsKept = 1024
	// checksumInterval is how often the members compare the checksums of their states.
	checksumInterval clock.Millis = 2000
	// levelSilentLimit is how long a member may be silent while a level is raised.
	levelSilentLimit clock.Millis = 2000
)

// recentChecksums remembers the checksum of the state after each of the last entries.
type recentChecksums struct {
	indexes [checksumsKept]identifier.Index
	values  [checksumsKept]uint64
}

func (c *recentChecksums) put(index identifier.Index, checksum uint64) {
	c.indexes[index%checksumsKept] = index
	c.values[index%checksumsKept] = checksum
}

func (c *recentChecksums) get(index identifier.Index) (checksum uint64, ok bool) {
	known := c.indexes[index%checksumsKept] == index && index > 0
	return c.values[index%checksumsKept], known
}

// halt takes this server out of service for good: output that TakeOutput has yet to hand
// over is still carried out, no further input is taken. The owner ends the process.
func (s *Server) halt(reason string, fields ...any) {
	if s.halted {
		return
	}
	s.halted = true
	s.output.Quit = reason
	s.logEvent("server-halted", append([]any{"why", reason}, fields...)...)
}

// checksumDiffers reports whether this server's state differs from the leader's, and
// halts it if so.
func (s *Server) checksumDiffers(command *state.VerifyChecksum) bool {
	checksum, ok := s.checksums.get(command.Index)
	if !ok || checksum == command.Checksum {
		return false
	}
	s.halt("this server's state differs from the leader's", "index", command.Index)
	return true
}

// raiseLevel raises the level of the group once all members know a higher one. While the
// leader lacks the status of some member it does not know that member's level.
func (s *Server) raiseLevel() {
	l := s.leader
	to := s.config.Level
	statuses := s.raft.MemberStatuses()
	if l.levelProposal > s.appliedIndex || s.state.Level >= to || len(statuses)+1 < len(s.raft.Members()) {
		return
	}
	for _, status := range statuses {
		if status.SilentFor > levelSilentLimit || status.Level <= s.state.Level {
			return
		}
		to = min(to, status.Level)
	}
	s.logEvent("level", "from", s.state.Level, "to", to)
	l.levelProposal = s.propose(&state.Command{RaiseLevel: &state.RaiseLevel{Level: to}})
}

// tenantsTooNew reports whether a change needs a level that the group has yet to reach.
func (s *Server) tenantsTooNew(change *catalog.Change) bool {
	return change.TouchesTenants() && s.state.Level < state.TenantLevel
}

// proposeChecksum lets the members compare the checksums of their states.
func (s *Server) proposeChecksum() {
	l := s.leader
	if s.state.Level < state.ChecksumLevel || s.now.Since(l.lastChecksum) < checksumInterval {
		return
	}
	l.lastChecksum = s.now
	if checksum, ok := s.checksums.get(s.appliedIndex); ok {
		s.propose(&state.Command{VerifyChecksum: &state.VerifyChecksum{Index: s.appliedIndex, Checksum: checksum}})
	}
}

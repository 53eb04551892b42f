package controlplane

import (
	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/state"
)

// New commands and rules take effect only after every member, learners included, has
// reported that it supports them; then one entry raises the level of the group. A server
// that meets a command it does not know halts rather than let its state diverge. The
// leader also periodically commits an entry with the checksum of its state: a server
// whose state has another checksum at that index halts as well. See
// docs/notes/versions.md.

const (
	// checksumsKept is the number of recent entries for which a server keeps the
	// checksum.
	checksumsKept = 1024
	// checksumInterval is how often the members compare the checksums of their states.
	checksumInterval clock.Millis = 2000
	// levelSilentLimit is how long a member may be silent while the level is raised.
	levelSilentLimit clock.Millis = 2000
)

// recentChecksums holds the checksum of the state after each of the last checksumsKept
// entries.
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

// halt stops this server permanently: pending output is still carried out, but no further
// input is accepted. The owner ends the process.
func (s *Server) halt(reason string, fields ...any) {
	if s.halted {
		return
	}
	s.halted = true
	s.output.Quit = reason
	s.logEvent("server-halted", append([]any{"why", reason}, fields...)...)
}

// checksumDiffers reports whether this server's state differs from the leader's, and
// halts the server if so.
func (s *Server) checksumDiffers(command *state.VerifyChecksum) bool {
	checksum, ok := s.checksums.get(command.Index)
	if !ok || checksum == command.Checksum {
		return false
	}
	s.halt("this server's state differs from the leader's", "index", command.Index)
	return true
}

// raiseLevel raises the level of the group once all members support a higher one. It
// waits until the leader knows the status, and thus the level, of every member.
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

// tenantsTooNew reports whether a change needs a level that the group has not reached
// yet.
func (s *Server) tenantsTooNew(change *catalog.Change) bool {
	return change.TouchesTenants() && s.state.Level < state.TenantLevel
}

// proposeChecksum periodically proposes an entry by which the members compare the
// checksums of their states.
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

package controlplane

import (
	"fmt"

	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/state"
	"orchidward/internal/transport/wire"
)

const (
	// A snapshot is taken after snapshotEntries entries or snapshotBytes bytes.
	snapshotEntries = 8000
	snapshotBytes   = 8 << 20
	// A snapshot is also taken when the write-ahead log is snapshotLogPercent full and at
	// least minSnapshotEntries entries have been applied since the last one.
	snapshotLogPercent = 50
	minSnapshotEntries = 256
)

// process runs the leader's work and handles the output of the consensus until neither
// produces anything more.
func (s *Server) process() {
	if s.raft == nil {
		return
	}
	for more := true; more && !s.halted; {
		if s.leader != nil {
			s.actAsLeader()
		}
		s.raft.Flush()
		s.clusterTime.recordArrivals(s.raft, s.now)
		more = s.processRaftOutput(s.raft.TakeOutput())
	}
}

// processRaftOutput forwards the messages and writes of the consensus and applies the
// committed entries. It reports whether the leader may have more work as a result.
func (s *Server) processRaftOutput(out raft.Output) bool {
	if out.InstalledSnapshot != nil && !s.installSnapshot(out.InstalledSnapshot) {
		return false
	}
	for _, msg := range out.Messages {
		s.sendRaft(&msg)
	}
	if out.Write != nil {
		s.output.Writes = append(s.output.Writes, out.Write)
	}
	if out.LocalSnapshot != nil {
		s.output.Snapshot = out.LocalSnapshot
	}
	for _, entry := range out.Committed {
		s.applyEntry(entry)
		if s.halted {
			return false
		}
	}
	if len(out.Committed) > 0 {
		s.maybeSnapshot()
	}
	s.updateLeadership()
	return len(out.Committed) > 0 && s.leader != nil
}

// sendRaft sends a consensus message to a member, or to a leader that is not in the
// member list known here.
func (s *Server) sendRaft(msg *raft.Message) {
	member, ok := s.raft.Member(msg.To)
	switch {
	case ok:
		s.send(wire.Peer(member.Addr), wire.Message{Raft: msg})
	case msg.To == s.leaderLink.hint.id:
		s.send(s.leaderLink.hint.peer, wire.Message{Raft: msg})
	}
}

// installSnapshot replaces the state with the leader's snapshot. If the snapshot's level
// is above the one this program knows, it halts the server and returns false.
func (s *Server) installSnapshot(snapshot *raft.Snapshot) bool {
	installed, err := state.Decode(snapshot.Data)
	if err != nil {
		panic(fmt.Sprintf("controlplane: decode the leader's snapshot: %v", err))
	}
	if installed.Level > s.config.Level {
		s.halt(reasonLevelAbove, "level", installed.Level)
		return false
	}
	s.state = installed
	s.appliedIndex = snapshot.Index
	s.bytesSinceSnapshot = 0
	s.forgetRouting()
	s.logEvent("snapshot-installed", "index", snapshot.Index)
	return true
}

// Reasons for halting a server.
const (
	reasonUnknownEntry = "an entry that this program does not know"
	reasonLevelAbove   = "the group's level is above this program's"
)

// applyEntry applies a committed entry to the state and answers the request that proposed
// it.
func (s *Server) applyEntry(entry raft.Entry) {
	s.appliedIndex = entry.Index
	arrivedAt := s.clusterTime.takeArrival(entry.Index, s.now)
	s.bytesSinceSnapshot += int64(len(entry.Data))
	if entry.Kind != raft.EntryCommand {
		if entry.Kind == raft.EntryConfig {
			s.logEvent("members", "index", entry.Index, "list", entry.Members())
		}
		return
	}
	command, ok := s.decodeCommand(entry)
	if !ok {
		return
	}
	firstLease := s.state.NextLease
	s.observeEnds(command)
	result := s.state.Apply(command)
	s.clusterTime.entryApplied(s.state.Now, entry.Term, arrivedAt, s.now)
	s.trackRouting()
	s.checksums.put(entry.Index, s.state.Checksum)
	s.logCommand(command, result)
	s.recordChanges(firstLease)
	s.recordEndedJobs()
	s.answerProposal(entry, result)
}

// decodeCommand decodes the command of an entry. If this server must not apply the
// command, it halts the server and returns false.
func (s *Server) decodeCommand(entry raft.Entry) (command *state.Command, ok bool) {
	command, err := state.DecodeCommand(entry.Data)
	switch {
	case err != nil:
		s.halt(reasonUnknownEntry, "index", entry.Index, "error", err)
		return nil, false
	case command.RaiseLevel != nil && command.RaiseLevel.Level > s.config.Level:
		s.halt(reasonLevelAbove, "level", command.RaiseLevel.Level)
		return nil, false
	case command.VerifyChecksum != nil && s.checksumDiffers(command.VerifyChecksum):
		return nil, false
	}
	return command, true
}

// recordChanges records what an applied command changed, for the leader's next round of
// work. Leases from firstLease on are new.
func (s *Server) recordChanges(firstLease identifier.LeaseID) {
	l := s.leader
	s.state.TakeChangedRunners(func(name identifier.Runner) {
		if l != nil {
			l.changedRunners[name] = true
		}
	})
	if l == nil {
		return
	}
	l.cycle.needed = true
	for id := firstLease; id < s.state.NextLease; id++ {
		l.leases.opened(id, s.now)
	}
}

// answerProposal answers the request that an entry was proposed for. An entry of another
// term has replaced the one that this server proposed, so the outcome is unknown.
func (s *Server) answerProposal(entry raft.Entry, result state.Result) {
	p, ok := s.proposals.take(entry.Index)
	switch {
	case !ok:
	case p.term != entry.Term:
		s.replyOutcomeUnknown(p)
	default:
		s.replyResult(p.peer, p.id, result)
	}
}

// maybeSnapshot takes a snapshot when the number of entries, their size or the used part
// of the write-ahead log calls for one.
func (s *Server) maybeSnapshot() {
	entries := s.appliedIndex - s.raft.SnapshotIndex()
	logFull := entries >= minSnapshotEntries && s.LogPercentUsed() >= snapshotLogPercent
	if entries < snapshotEntries && s.bytesSinceSnapshot < snapshotBytes && !logFull {
		return
	}
	s.bytesSinceSnapshot = 0
	s.raft.Compact(s.appliedIndex, s.state.Encode())
	s.logEvent("snapshot", "index", s.appliedIndex)
}

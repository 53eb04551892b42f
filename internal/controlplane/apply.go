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
	// A snapshot is also taken when the write-ahead log is snapshotLogPercent full and
	// minSnapshotEntries entries have come since the last one.
	snapshotLogPercent = 50
	minSnapshotEntries = 256
)

// process carries out what the consensus decided, until nothing more comes of it.
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

// processRaftOutput hands on what the consensus sends and writes, and applies what it
// committed. It reports whether a leader may have more to do because of it.
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

// sendRaft sends a message of the consensus to a member, or to a leader that is not
// among the members known here.
func (s *Server) sendRaft(msg *raft.Message) {
	member, ok := s.raft.Member(msg.To)
	switch {
	case ok:
		s.send(wire.Peer(member.Addr), wire.Message{Raft: msg})
	case msg.To == s.leaderLink.hint.id:
		s.send(s.leaderLink.hint.peer, wire.Message{Raft: msg})
	}
}

// installSnapshot replaces the state by the leader's. It returns false, and halts this
// server, when this program is too old for it.
func (s *Server) installSnapshot(snapshot *raft.Snapshot) bool {
	installed, err := state.Decode(snapshot.Data)
	if err != nil {
		panic(fmt.Sprintf("controlplane: the leader's snapshot does not decode: %v", err))
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

// Reasons for which a server halts.
const (
	reasonUnknownEntry = "an entry that this program does not know"
	reasonLevelAbove   = "the group's level is above this program's"
)

// applyEntry applies a committed entry to the state, and answers the request that it was
// proposed for.
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

// decodeCommand reads the command of an entry. It is not ok when this server must not
// apply it: the server is halted then.
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

// recordChanges tells the leader's periodic work what an applied command changed. Leases
// from firstLease on are new.
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
// term has replaced the one that was proposed here.
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

// maybeSnapshot takes a snapshot when there is reason to: it bounds the log by entries, by
// bytes, and by how full the disk says the log has become.
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

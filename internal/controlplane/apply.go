// What agreement decided is applied to the state, and answered to whoever
// proposed it.

package controlplane

import (
	"fmt"
	"sort"

	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/state"
	"orchidward/internal/transport/wire"
)

func (s *Server) applyEntry(e raft.Entry) {
	s.appliedIndex = e.Index
	at := s.takeArrival(e.Index)
	s.bytesSinceSnapshot += int64(len(e.Data))
	if e.Kind != raft.EntryCommand {
		if e.Kind == raft.EntryConfig {
			s.logEvent("members", "list", s.raft.Members())
		}
		return
	}
	c, err := state.DecodeCommand(e.Data)
	if err != nil {
		s.stepDown("an entry that this program does not know", "index", e.Index, "error", err)
		return
	}
	if c.RaiseLevel != nil && c.RaiseLevel.Level > s.config.Level {
		s.stepDown("the group's level is above this program's", "level", c.RaiseLevel.Level)
		return
	}
	if c.VerifyChecksum != nil && s.checksumDiffers(c.VerifyChecksum) {
		return
	}
	first := s.state.NextLease
	res := s.state.Apply(c)
	if e.Term != s.clusterTimeTerm || s.state.Now > s.clusterTime.timeAt(s.now) {
		s.clusterTime, s.clusterTimeTerm = newClusterClock(s.state.Now, at), e.Term
	}
	s.trackRouting()
	s.checksums.put(e.Index, s.state.Checksum)
	s.logCommand(c, res)
	s.state.TakeChangedRunners(func(n identifier.Runner) {
		if s.leader != nil {
			s.leader.changedRunners[n] = true
		}
	})
	if s.leader != nil {
		s.leader.needsScheduling = true
		for id := first; id < s.state.NextLease; id++ {
			s.leader.unconfirmedSince[id] = s.now
		}
	}
	w, ok := s.proposals[e.Index]
	if !ok {
		return
	}
	s.dropProposal(e.Index)
	if w.term != e.Term {
		s.replyOutcomeUnknown(w)
		return
	}
	s.replyResult(w.peer, w.id, res)
}

// waiting lists the proposals under way in the order they were made.
func (s *Server) proposalIndexes() []identifier.Index {
	var list []identifier.Index
	for i := range s.proposals {
		list = append(list, i)
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}

func (s *Server) dropProposal(i identifier.Index) {
	if s.proposals[i].configChange {
		s.configChanges--
	}
	s.proposalBytes -= s.proposals[i].size
	delete(s.proposals, i)
}

// maybeSnapshot bounds the ring: by entries, by bytes, and by how full the disk says
// the ring has become.
func (s *Server) maybeSnapshot() {
	n := s.appliedIndex - s.raft.SnapshotIndex()
	if n < snapshotEntries && s.bytesSinceSnapshot < snapshotBytes && (s.LogPercentUsed() < 50 || n < 256) {
		return
	}
	s.bytesSinceSnapshot = 0
	s.raft.Compact(s.appliedIndex, s.state.Encode())
	s.logEvent("view", "index", s.appliedIndex)
}

func (s *Server) processRaftOutput(out raft.Output) bool {
	if out.InstalledSnapshot != nil {
		b, err := state.Decode(out.InstalledSnapshot.Data)
		if err != nil {
			panic(fmt.Sprintf("keeper: view from the leader does not decode: %v", err))
		}
		if b.Level > s.config.Level {
			s.stepDown("the group's level is above this program's", "level", b.Level)
			return false
		}
		s.state, s.appliedIndex, s.bytesSinceSnapshot = b, out.InstalledSnapshot.Index, 0
		s.forgetRouting()
		s.logEvent("view-loaded", "index", out.InstalledSnapshot.Index)
	}
	for _, msg := range out.Messages {
		mem, ok := s.raft.Member(msg.To)
		switch {
		case ok:
			s.send(wire.Peer(mem.Addr), wire.Message{Raft: &msg})
		case msg.To == s.leaderHint.id:
			s.send(s.leaderHint.peer, wire.Message{Raft: &msg})
		}
	}
	if out.Write != nil {
		s.out.Writes = append(s.out.Writes, out.Write)
	}
	if out.LocalSnapshot != nil {
		s.out.Snapshot = out.LocalSnapshot
	}
	for _, e := range out.Committed {
		if s.applyEntry(e); s.stopped {
			return false
		}
	}
	if len(out.Committed) > 0 {
		s.maybeSnapshot()
	}
	s.updateLeadership()
	return len(out.Committed) > 0 && s.leader != nil
}

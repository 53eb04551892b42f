package controlplane

import (
	"maps"
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/state"
	"orchidward/internal/transport/wire"
)

const (
	// maxProposals bounds the requests that wait for their entry to be applied.
	maxProposals = 4096
	// maxProposalBytes bounds the total size of these requests' bodies, so that they
	// cannot exhaust memory or fill the write-ahead log: a snapshot frees no log space
	// before the entries are committed.
	maxProposalBytes = 8 << 20
	// maxConfigChanges bounds the pending changes of the limits table and the catalogue.
	maxConfigChanges = 64
)

// leaderChangedRetryAfter is when a client may retry a request whose leader was replaced
// before it answered.
const leaderChangedRetryAfter clock.Millis = 200

// proposal is a request whose command has been proposed but not applied yet.
type proposal struct {
	peer         wire.Peer
	id           uint64
	term         identifier.Term
	configChange bool
	size         int
}

// proposalTable holds this server's pending proposals by log index. It is bounded by
// their number and by the total size of the requests' bodies.
type proposalTable struct {
	byIndex       map[identifier.Index]proposal
	configChanges int
	bytes         int
}

// full reports whether a request with a body of the given size must be refused.
func (t *proposalTable) full(size int) bool {
	return len(t.byIndex) >= maxProposals || t.bytes+size > maxProposalBytes
}

func (t *proposalTable) add(index identifier.Index, p proposal) {
	t.byIndex[index] = p
	t.bytes += p.size
	if p.configChange {
		t.configChanges++
	}
}

// take removes and returns the proposal at an index.
func (t *proposalTable) take(index identifier.Index) (p proposal, ok bool) {
	p, ok = t.byIndex[index]
	if !ok {
		return p, false
	}
	delete(t.byIndex, index)
	t.bytes -= p.size
	if p.configChange {
		t.configChanges--
	}
	return p, true
}

// indexes lists the indexes of the proposals in the order in which they were proposed.
func (t *proposalTable) indexes() []identifier.Index {
	return slices.Sorted(maps.Keys(t.byIndex))
}

// propose appends a command to the log. Only an active leader may propose.
func (s *Server) propose(command *state.Command) identifier.Index {
	command.At = s.leader.clock.timeAt(s.now)
	index, ok := s.raft.Propose(command.Encode())
	if !ok {
		panic("controlplane: propose called on a server that is not the leader")
	}
	return index
}

// proposeFor proposes a command on behalf of a request. The request is answered once the
// command is applied.
func (s *Server) proposeFor(r *apiRequest, command *state.Command) {
	if s.proposals.full(len(r.Body)) {
		s.replyError(r.peer, r.ID, errBusy)
		return
	}
	index := s.propose(command)
	s.proposals.add(index, proposal{
		peer:         r.peer,
		id:           r.ID,
		term:         s.term,
		configChange: command.ChangeLimits != nil || command.ChangeCatalog != nil,
		size:         len(r.Body),
	})
}

// replyOutcomeUnknown answers a request whose entry was proposed by a leader that has
// since lost leadership: the entry may or may not be committed.
func (s *Server) replyOutcomeUnknown(p proposal) {
	s.replyError(p.peer, p.id, errLeaderChanged)
}

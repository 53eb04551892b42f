package raft

import (
	"orchidward/internal/clock"
)

// Step handles one message from another member. It ignores messages that are addressed
// to another member. Messages of an older term change nothing, but a stale leader is
// informed of the newer term. On a message of a newer term this member becomes a
// follower in that term, except that it ignores vote requests while a leader may still
// hold its lease.
func (r *Raft) Step(m Message, now clock.Monotonic, wall clock.WallTime) {
	r.now = now
	r.wall = wall
	if m.To != r.id {
		return
	}
	switch m.Kind {
	case RequestPreVote:
		r.handlePreVoteRequest(m)
		return
	case PreVoteReply:
		r.handlePreVoteReply(m)
		return
	case RequestVote:
		if !m.LeaderTransfer && r.leaseMayBeActive() {
			return
		}
	}
	if m.Term < r.hardState.Term {
		r.rejectStaleLeader(m)
		return
	}
	if m.Term > r.hardState.Term {
		r.followNewerTerm(m)
	}
	r.handleCurrentTerm(m)
}

// rejectStaleLeader informs the leader of an older term of the current term. The reply
// echoes no send time, so that it does not renew the lease.
func (r *Raft) rejectStaleLeader(m Message) {
	if fromLeader(m) {
		r.sendAfterSync(Message{Kind: AppendReply, To: m.From, Reject: true, NextHint: r.log.last(), SentAt: never})
	}
}

func (r *Raft) followNewerTerm(m Message) {
	leader := noLeader
	if fromLeader(m) {
		leader = m.From
	}
	r.becomeFollower(m.Term, leader)
}

// fromLeader reports whether a message is of a kind that only the leader of its
// term sends.
func fromLeader(m Message) bool { return m.Kind == AppendEntries || m.Kind == InstallSnapshot }

// handleCurrentTerm handles a message of the current term. It ignores messages of
// kinds that this version does not know.
func (r *Raft) handleCurrentTerm(m Message) {
	switch m.Kind {
	case AppendEntries:
		r.followLeader(m)
		r.handleAppend(m)
	case InstallSnapshot:
		r.followLeader(m)
		r.handleSnapshot(m)
	case RequestVote:
		r.handleVoteRequest(m)
	case VoteReply:
		r.handleVoteReply(m)
	case AppendReply:
		r.handleAppendReply(m)
	case SnapshotReply:
		r.handleSnapshotReply(m)
	case TimeoutNow:
		r.handleTimeoutNow()
	}
}

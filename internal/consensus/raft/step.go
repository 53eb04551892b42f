// Step takes one message from another keeper.

package raft

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// Step passes in one message from another member. Messages to another member or
// of an older term change nothing; a stale leader is told of the newer term. A
// message of a newer term makes this member a follower in it, except that a vote
// request is ignored while a leader may still hold its lease.
func (r *Raft) Step(m Message, now clock.Monotonic, wall clock.WallTime) {
	r.now, r.wall = now, wall
	if m.To != r.id {
		return
	}
	switch m.Kind {
	case RequestPreVote:
		r.handlePreVoteRequest(m)
		return
	case RequestVote:
		if !m.LeaderTransfer && r.leaseMayBeActive() {
			return
		}
	case PreVoteReply:
		if m.Reject && m.Term > r.hardState.Term {
			r.becomeFollower(m.Term, 0)
		}
		if r.role == PreCandidate && !m.Reject && m.Term == r.hardState.Term+1 {
			r.countVote(m.From)
		}
		return
	}
	if m.Term < r.hardState.Term {
		if m.Kind == AppendEntries || m.Kind == InstallSnapshot {
			r.sendAfterSync(Message{Kind: AppendReply, To: m.From, Reject: true, NextHint: r.log.last(), SentAt: never})
		}
		return
	}
	if m.Term > r.hardState.Term {
		leader := identifier.Node(0)
		if m.Kind == AppendEntries || m.Kind == InstallSnapshot {
			leader = m.From
		}
		r.becomeFollower(m.Term, leader)
	}
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
		if r.role == Candidate && !m.Reject {
			r.countVote(m.From)
		}
	case AppendReply:
		r.handleAppendReply(m)
	case SnapshotReply:
		r.handleSnapshotReply(m)
	case TimeoutNow:
		if r.isVoter(r.id) && r.role != Leader && !r.leaving {
			r.campaign(RequestVote, true)
		}
	}
}

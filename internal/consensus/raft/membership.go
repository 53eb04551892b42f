// Membership: the list in force, which takes effect as soon as it is logged, and
// how the next one is proposed.

package raft

import (
	"encoding/json"

	"orchidward/internal/api/identifier"
)

func (r *Raft) recordConfiguration(e Entry) {
	if e.Kind != EntryConfig {
		return
	}
	var members []Member
	if err := json.Unmarshal(e.Data, &members); err != nil {
		panic("raft: unreadable member list in a committed log")
	}
	r.configurations = append(r.configurations, configuration{e.Index, members})
}

// Members is the list in force, which takes effect as soon as it is logged.
func (r *Raft) Members() []Member { return r.configurations[len(r.configurations)-1].members }

// Member finds a member, voter or learner, in the member list in force.
func (r *Raft) Member(id identifier.Node) (m Member, ok bool) {
	for _, m := range r.Members() {
		if m.ID == id {
			return m, true
		}
	}
	return m, false
}

func (r *Raft) isVoter(id identifier.Node) bool {
	m, ok := r.Member(id)
	return ok && m.Voter
}

func (r *Raft) voterCount() int {
	var n int
	for _, m := range r.Members() {
		if m.Voter {
			n++
		}
	}
	return n
}

// ProposeMembers logs a new member list, one member different from the last, and only
// when no earlier change is under way.
func (r *Raft) ProposeMembers(members []Member) bool {
	if r.role != Leader || r.commit < r.termStart || r.configurations[len(r.configurations)-1].index > r.commit {
		return false
	}
	data, err := json.Marshal(members)
	if err != nil {
		panic(err)
	}
	r.append(EntryConfig, data)
	r.addPeers()
	return true
}

package raft

import (
	"encoding/json"

	"orchidward/internal/api/identifier"
)

// configuration is a member list and the index of the entry that carries it.
type configuration struct {
	index   identifier.Index
	members []Member
}

// recordConfiguration puts the member list that an entry carries, if any, in
// force.
func (r *Raft) recordConfiguration(e Entry) {
	if e.Kind != EntryConfig {
		return
	}
	r.configurations = append(r.configurations, configuration{e.Index, e.Members()})
}

// Members is the member list that an entry of kind EntryConfig carries.
func (e Entry) Members() []Member {
	var members []Member
	if err := json.Unmarshal(e.Data, &members); err != nil {
		panic("raft: unreadable member list in the log: " + err.Error())
	}
	return members
}

// truncateConfigurations goes back to the list before an index, as the entries
// from there on are dropped.
func (r *Raft) truncateConfigurations(from identifier.Index) {
	for len(r.configurations) > 1 && r.lastConfiguration().index >= from {
		r.configurations = r.configurations[:len(r.configurations)-1]
	}
}

// compactConfigurations drops the lists that no truncation can bring back: all
// before the one in force at an index that a snapshot covers.
func (r *Raft) compactConfigurations(index identifier.Index) {
	for len(r.configurations) > 1 && r.configurations[1].index <= index {
		r.configurations = r.configurations[1:]
	}
}

// membersAt is the member list in force at an index of the log.
func (r *Raft) membersAt(index identifier.Index) []Member {
	var members []Member
	for _, c := range r.configurations {
		if c.index <= index {
			members = c.members
		}
	}
	return members
}

func (r *Raft) lastConfiguration() configuration { return r.configurations[len(r.configurations)-1] }

// Members is the member list in force: the last one in the log, committed or not.
func (r *Raft) Members() []Member { return r.lastConfiguration().members }

// Member finds a member, voter or learner, in the member list in force.
func (r *Raft) Member(id identifier.Node) (member Member, ok bool) {
	for _, m := range r.Members() {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

func (r *Raft) isVoter(id identifier.Node) bool {
	m, ok := r.Member(id)
	return ok && m.Voter
}

func (r *Raft) voterCount() int {
	var count int
	for _, m := range r.Members() {
		if m.Voter {
			count++
		}
	}
	return count
}

// ProposeMembers appends a new member list to the log, which must differ by one
// member from the last (Ongaro's thesis, section 4.1). It returns false unless
// this member leads, an entry of its own term is committed and no earlier change
// is under way.
func (r *Raft) ProposeMembers(members []Member) bool {
	if r.role != Leader || r.commit < r.leadership.termStart || r.lastConfiguration().index > r.commit {
		return false
	}
	data, err := json.Marshal(members)
	if err != nil {
		panic("raft: a member list cannot be encoded: " + err.Error())
	}
	r.append(EntryConfig, data)
	r.matchPeers()
	return true
}

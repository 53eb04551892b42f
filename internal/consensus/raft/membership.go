package raft

import (
	"encoding/json"

	"orchidward/internal/api/identifier"
)

// configuration is a member list and the index of the entry that contains it.
type configuration struct {
	index   identifier.Index
	members []Member
}

// recordConfiguration puts the member list of an EntryConfig entry into effect. It
// ignores entries of other kinds.
func (r *Raft) recordConfiguration(e Entry) {
	if e.Kind != EntryConfig {
		return
	}
	r.configurations = append(r.configurations, configuration{e.Index, e.Members()})
}

// Members returns the member list in an entry of kind EntryConfig.
func (e Entry) Members() []Member {
	var members []Member
	if err := json.Unmarshal(e.Data, &members); err != nil {
		panic("raft: unreadable member list in the log: " + err.Error())
	}
	return members
}

// truncateConfigurations reverts to the member list in effect before an index, when the
// entries from that index on are removed.
func (r *Raft) truncateConfigurations(from identifier.Index) {
	for len(r.configurations) > 1 && r.lastConfiguration().index >= from {
		r.configurations = r.configurations[:len(r.configurations)-1]
	}
}

// compactConfigurations discards the member lists that no truncation can restore: all
// before the one in effect at an index that a snapshot covers.
func (r *Raft) compactConfigurations(index identifier.Index) {
	for len(r.configurations) > 1 && r.configurations[1].index <= index {
		r.configurations = r.configurations[1:]
	}
}

// membersAt returns the member list in effect at an index of the log.
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

// Members returns the member list in effect: the latest in the log, committed or not.
func (r *Raft) Members() []Member { return r.lastConfiguration().members }

// Member returns the member with an ID, voter or learner, from the member list in effect.
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

// ProposeMembers appends a new member list to the log, which must differ from the latest
// by one member (Ongaro's thesis, section 4.1). It returns false unless this member is
// the leader, an entry of its own term is committed and no earlier change is pending.
func (r *Raft) ProposeMembers(members []Member) bool {
	if r.role != Leader || r.commit < r.leadership.termStart || r.lastConfiguration().index > r.commit {
		return false
	}
	data, err := json.Marshal(members)
	if err != nil {
		panic("raft: cannot encode member list: " + err.Error())
	}
	r.append(EntryConfig, data)
	r.matchPeers()
	return true
}

package controlplane

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/raft"
)

// Marks before a member in the text form of a group.
const (
	goneMark   = '-'
	silentMark = '?'
)

// learnerOffset is the offset from a voter's letter to a learner's.
const learnerOffset = 'a' - 'A'

// parseGroup parses the text form of a group. Its first member is the leader. "A" is a
// live voter in domain A, "a" a caught-up learner there. A preceding "-" means that the
// member is dead: a replaceable voter or an abandoned learner. A preceding "?" means that
// it is silent.
func parseGroup(text string) []memberState {
	var members []memberState
	mark := rune(0)
	for _, letter := range text {
		if letter == goneMark || letter == silentMark {
			mark = letter
			continue
		}
		members = append(members, parseMember(letter, mark, len(members)))
		mark = 0
	}
	return members
}

func parseMember(letter, mark rune, position int) memberState {
	voter := letter >= 'A' && letter <= 'Z'
	domain := letter
	if !voter {
		domain -= learnerOffset
	}
	return memberState{
		Member:      raft.Member{ID: identifier.Node(position + 1), Domain: identifier.Domain(domain), Voter: voter},
		self:        position == 0,
		live:        mark == 0,
		replaceable: voter && mark == goneMark,
		abandoned:   !voter && mark == goneMark,
		caughtUp:    !voter && mark == 0,
	}
}

// String returns the member in the form that parseGroup accepts.
func (s memberState) String() string {
	letter := []rune(s.Domain)[0]
	if !s.Voter {
		letter += learnerOffset
	}
	switch {
	case s.replaceable, s.abandoned:
		return string(goneMark) + string(letter)
	case !s.live:
		return string(silentMark) + string(letter)
	}
	return string(letter)
}

func formatGroup(members []memberState) string {
	var text strings.Builder
	for _, member := range members {
		text.WriteString(member.String())
	}
	return text.String()
}

// afterChange returns the group as its leader sees it once a change is committed.
func afterChange(members []memberState, next []raft.Member) []memberState {
	var changed []memberState
	for _, member := range next {
		for _, current := range members {
			if current.ID != member.ID {
				continue
			}
			if current.Voter != member.Voter {
				current.caughtUp = !member.Voter && current.live
			}
			current.Member = member
			changed = append(changed, current)
		}
	}
	return changed
}

// TestMembershipPlan applies the changes that the leader, in domain A, plans for a group
// until no further change is planned, and checks the resulting group.
func TestMembershipPlan(t *testing.T) {
	for _, test := range []struct {
		group  string
		voters int
		want   string
	}{
		{"ABC", 3, "ABC"},
		{"AB-C", 3, "AB-C"},
		{"AB-Cc", 3, "ABC"},
		{"AB-Cab", 3, "ABAb"},
		{"ABCabc", 5, "ABCABc"},
		{"ABCa", 5, "ABCa"},
		{"ABCabcdd", 5, "ABCAbcDd"},
		{"AABcd", 3, "AaBCd"},
		{"AAB", 3, "AAB"},
		{"ABC-A-Bc", 5, "ABC-BC"},
		{"ABCAB-c", 5, "ABCAB"},
		{"ABCA-B", 3, "ABCa"},
		{"ABC-A-B", 3, "ABC"},
		{"ABC?A?B", 3, "ABC?A?B"},
		{"ABC-Acb", 5, "ABCCB"},
		{"ABCDa", 3, "AbCDa"},
	} {
		members := parseGroup(test.group)
		for i := 0; i < 20; i++ {
			next := nextMembers(members, test.voters, true)
			if next == nil {
				break
			}
			members = afterChange(members, next)
		}
		if got := formatGroup(members); got != test.want {
			t.Errorf("%s with %d voters wanted ends as %s, want %s", test.group, test.voters, got, test.want)
		}
	}
}

// changeCounts counts the planned changes by kind.
type changeCounts struct {
	promoted int
	demoted  int
	removed  int
}

// TestMembershipPlanRandomGroups checks every change planned for random groups: it
// affects one member, the live members are a majority of the voters after it, only
// caught-up learners are promoted, and the sequence of changes ends.
func TestMembershipPlanRandomGroups(t *testing.T) {
	const (
		groups     = 50000
		maxChanges = 30
		minCount   = 1000
	)
	random := rand.New(rand.NewSource(1))
	var counts changeCounts
	for n := 0; n < groups; n++ {
		members := randomGroup(random)
		voters := minVoters + 2*random.Intn(2)
		initial := formatGroup(members)
		for changes := 0; ; changes++ {
			next := nextMembers(members, voters, random.Intn(4) > 0)
			if next == nil {
				break
			}
			if fault := checkChange(members, next, &counts); fault != "" {
				t.Fatalf("%s, then %s with %d voters wanted: %s", initial, formatGroup(members), voters, fault)
			}
			members = afterChange(members, next)
			if changes > maxChanges {
				t.Fatalf("%s with %d voters wanted keeps changing, last %s", initial, voters, formatGroup(members))
			}
		}
	}
	if counts.promoted < minCount || counts.demoted < minCount || counts.removed < minCount {
		t.Errorf("fewer than the minimum number of changes of some kind: %+v", counts)
	}
}

func randomGroup(random *rand.Rand) []memberState {
	var text strings.Builder
	domains := 1 + random.Intn(4)
	count := 1 + random.Intn(9)
	voters := 1 + random.Intn(6)
	for i := 0; i < count; i++ {
		if i > 0 {
			marks := []string{"", "", "", string(goneMark), string(silentMark)}
			text.WriteString(marks[random.Intn(len(marks))])
		}
		letter := 'A' + rune(random.Intn(domains))
		if i >= voters {
			letter += learnerOffset
		}
		text.WriteRune(letter)
	}
	return parseGroup(text.String())
}

// checkChange returns what is wrong with a change, empty if it is valid.
func checkChange(members []memberState, next []raft.Member, counts *changeCounts) (fault string) {
	current := map[identifier.Node]memberState{}
	for _, member := range members {
		current[member.ID] = member
	}
	voters := 0
	liveVoters := 0
	changed := len(members) - len(next)
	counts.removed += min(changed, 1)
	for _, member := range next {
		before, known := current[member.ID]
		if !known {
			return "an unknown member"
		}
		if member.Voter {
			voters++
		}
		if member.Voter && before.live {
			liveVoters++
		}
		switch {
		case member.Voter && !before.Voter && (!before.caughtUp || !before.live):
			return "promoted a learner that has not caught up"
		case member.Voter && !before.Voter:
			counts.promoted++
			changed++
		case !member.Voter && before.Voter && before.self:
			return "the leader demoted itself"
		case !member.Voter && before.Voter:
			counts.demoted++
			changed++
		}
	}
	if changed != 1 {
		return fmt.Sprintf("%d members differ", changed)
	}
	if liveVoters <= voters/2 {
		return fmt.Sprintf("%d of %d voters would be live", liveVoters, voters)
	}
	return ""
}

// TestVotersSpreadOverDomains checks that if all members are live and caught up, the
// voters end up spread over the domains as evenly as possible.
func TestVotersSpreadOverDomains(t *testing.T) {
	random := rand.New(rand.NewSource(2))
	for n := 0; n < 20000; n++ {
		domains := 3 + random.Intn(2)
		members := randomHealthyGroup(random, domains)
		want := minVoters + 2*random.Intn(2)
		for i := 0; i < 30; i++ {
			if next := nextMembers(members, want, true); next != nil {
				members = afterChange(members, next)
			}
		}
		voters := 0
		votersIn := map[identifier.Domain]int{}
		for _, member := range members {
			if member.Voter {
				voters++
				votersIn[member.Domain]++
			}
		}
		mostPerDomain := (want + domains - 1) / domains
		for domain, count := range votersIn {
			if count > mostPerDomain || voters != want {
				t.Fatalf("%d of %d voters are in domain %s, one of %d domains: %s", count, voters, domain, domains, formatGroup(members))
			}
		}
	}
}

// randomHealthyGroup returns a group with two members in each domain, in random order.
// The first member is the leader and the first three are voters.
func randomHealthyGroup(random *rand.Rand, domains int) []memberState {
	var text strings.Builder
	for i := 0; i < 2*domains; i++ {
		text.WriteRune('a' + rune(i%domains))
	}
	members := parseGroup(text.String())
	random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for i := range members {
		members[i].self = i == 0
		members[i].Voter = i < minVoters
		members[i].caughtUp = !members[i].Voter
	}
	return members
}

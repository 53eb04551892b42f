package controlplane

import (
	"fmt"
	"math/rand"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/raft"
)

// seatsOf makes a group, its first member the leader:
// "A" is a voter of zone A that lives, "a" a learner that is ready; after "-"
// comes one that is dead or idle, after "?" one that is not heard of.
func seatsOf(text string) []memberState {
	var list []memberState
	mark := rune(0)
	for _, c := range text {
		if c == '-' || c == '?' {
			mark = c
			continue
		}
		voter := c >= 'A' && c <= 'Z'
		zone := c
		if !voter {
			zone += 'A' - 'a'
		}
		s := memberState{Member: raft.Member{ID: identifier.Node(len(list) + 1), Domain: identifier.Domain(zone), Voter: voter}, live: mark == 0, self: len(list) == 0}
		s.replaceable, s.abandoned, s.caughtUp = voter && mark == '-', !voter && mark == '-', !voter && mark == 0
		list = append(list, s)
		mark = 0
	}
	return list
}

func (s memberState) String() string {
	c := []rune(s.Domain)[0]
	if !s.Voter {
		c += 'a' - 'A'
	}
	switch {
	case s.replaceable, s.abandoned:
		return "-" + string(c)
	case !s.live:
		return "?" + string(c)
	}
	return string(c)
}

func textOf(list []memberState) string {
	var text string
	for _, s := range list {
		text += s.String()
	}
	return text
}

// after is the group as it would be seen once a change is committed.
func after(list []memberState, next []raft.Member) []memberState {
	var out []memberState
	for _, mem := range next {
		for _, s := range list {
			if s.ID == mem.ID {
				if s.Voter != mem.Voter {
					s.caughtUp = !mem.Voter && s.live
				}
				s.Member = mem
				out = append(out, s)
			}
		}
	}
	return out
}

// TestReseat walks groups to where they come to rest, by the changes that the
// leader of zone A would make.
func TestReseat(t *testing.T) {
	for _, c := range []struct {
		from string
		want int
		to   string
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
		list := seatsOf(c.from)
		for i := 0; i < 20; i++ {
			next := nextMembers(list, c.want, true)
			if next == nil {
				break
			}
			list = after(list, next)
		}
		if got := textOf(list); got != c.to {
			t.Errorf("%s with %d voters wanted comes to %s, want %s", c.from, c.want, got, c.to)
		}
	}
}

// TestReseatAnyGroup judges every change in groups drawn at random: it is of
// one member, the live are a majority after it, nobody is promoted who is not
// ready, and it comes to rest.
func TestReseatAnyGroup(t *testing.T) {
	rnd := rand.New(rand.NewSource(1))
	changes := map[string]int{}
	for n := 0; n < 50000; n++ {
		list, want := drawSeats(rnd), minVoters+2*rnd.Intn(2)
		begun := textOf(list)
		for i := 0; ; i++ {
			next := nextMembers(list, want, rnd.Intn(4) > 0)
			if next == nil {
				break
			}
			if fault := judgeChange(list, next, changes); fault != "" {
				t.Fatalf("%s, then %s with %d wanted: %s", begun, textOf(list), want, fault)
			}
			if list = after(list, next); i > 30 {
				t.Fatalf("%s with %d wanted never comes to rest, last %s", begun, want, textOf(list))
			}
		}
	}
	for _, kind := range []string{"promoted", "demoted", "left"} {
		if changes[kind] < 1000 {
			t.Errorf("too little evidence: %v", changes)
		}
	}
}

func drawSeats(rnd *rand.Rand) []memberState {
	text := ""
	zones := 1 + rnd.Intn(4)
	count, voters := 1+rnd.Intn(9), 1+rnd.Intn(6)
	for i := 0; i < count; i++ {
		if i > 0 {
			text += []string{"", "", "", "-", "?"}[rnd.Intn(5)]
		}
		c := 'A' + rune(rnd.Intn(zones))
		if i >= voters {
			c += 'a' - 'A'
		}
		text += string(c)
	}
	return seatsOf(text)
}

// judgeChange says what is wrong with a change. Where the live are no majority
// to begin with, nothing can be committed, and nothing is judged.
func judgeChange(list []memberState, next []raft.Member, changes map[string]int) string {
	was, live := map[identifier.Node]memberState{}, 0
	for _, s := range list {
		was[s.ID] = s
	}
	voters, differ := 0, len(list)-len(next)
	for _, mem := range next {
		s, known := was[mem.ID]
		if !known {
			return "a stranger"
		}
		if mem.Voter {
			voters++
			if s.live {
				live++
			}
		}
		switch {
		case mem.Voter && !s.Voter && (!s.caughtUp || !s.live):
			return "promoted a learner that is not ready"
		case mem.Voter && !s.Voter:
			changes["promoted"]++
			differ++
		case !mem.Voter && s.Voter && s.self:
			return "the leader demoted itself"
		case !mem.Voter && s.Voter:
			changes["demoted"]++
			differ++
		}
	}
	if len(next) < len(list) {
		changes["left"]++
	}
	if differ != 1 {
		return fmt.Sprintf("%d members differ", differ)
	}
	if live <= voters/2 {
		return fmt.Sprintf("%d of %d voters would be live", live, voters)
	}
	return ""
}

// TestSpread: with all alive and ready, the voters come to lie as evenly over
// the zones as there are keepers in them.
func TestSpread(t *testing.T) {
	rnd := rand.New(rand.NewSource(2))
	for n := 0; n < 20000; n++ {
		zones, text := 3+rnd.Intn(2), ""
		for i := 0; i < 2*zones; i++ {
			text += string('a' + rune(i%zones))
		}
		list := seatsOf(text)
		rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		for i := range list {
			list[i].self, list[i].Voter, list[i].caughtUp = i == 0, i < 3, i >= 3
		}
		want := minVoters + 2*rnd.Intn(2)
		for i := 0; i < 30; i++ {
			if next := nextMembers(list, want, true); next != nil {
				list = after(list, next)
			}
		}
		held, voters := map[identifier.Domain]int{}, 0
		for _, s := range list {
			if s.Voter {
				voters++
				held[s.Domain]++
			}
		}
		for zone, have := range held {
			if most := (want + zones - 1) / zones; have > most || voters != want {
				t.Fatalf("%d of %d voters in zone %s of %d: %s", have, voters, zone, zones, textOf(list))
			}
		}
	}
}

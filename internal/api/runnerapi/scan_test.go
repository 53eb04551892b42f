package runnerapi

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"reflect"
	"slices"
	"strings"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/jsondoc"
	"orchidward/internal/clock"
)

// TestPlaces: the places that the scanner knows by number are those of the
// fields it means.
func TestPlaces(t *testing.T) {
	if askFields[rackAt] != "rack" || askFields[agentAt] != "agent" || endFields[2] != "how" || overFields[3] != "how" {
		t.Error("a field has moved")
	}
	for i, name := range askFields {
		if want := slices.Contains([]string{"incarnation", "seq", "cores", "memMb", "domain"}, name); mustAsk.has(i) != want {
			t.Errorf("%s: must is %v", name, !want)
		}
	}
}

// sample is a sound poll, most of whose fields are left out at random.
func sample(rnd *rand.Rand) PollRequest {
	texts := []string{"", "x", "a b", "q\"uo\\te", "ünï", "\u2028<&>", "a\x01b", strings.Repeat("s", 40)}
	some := func() string { return texts[rnd.Intn(len(texts))] }
	task := func() identifier.TaskRef {
		return identifier.TaskRef{Job: identifier.JobKey("q/" + some()), Step: rnd.Intn(3), Num: rnd.Intn(1 << 20)}
	}
	a := PollRequest{Incarnation: "i-1", Seq: 1 + uint64(rnd.Int63n(1<<53)), Cores: 1 + rnd.Int63n(64), Mem: 1 + rnd.Int63n(maxRoom), Domain: "d", Rack: "r.1", Mode: []string{ModeActive, ModeDraining}[rnd.Intn(2)], DepartsIn: clock.Millis(rnd.Intn(3))}
	for i := rnd.Intn(4); i > 0; i-- {
		a.Labels = append(a.Labels, identifier.Label(fmt.Sprintf("l%d", rnd.Intn(9))))
		a.Running = append(a.Running, identifier.LeaseID(rnd.Intn(3)))
		a.Ended = append(a.Ended, End{identifier.LeaseID(1 + rnd.Intn(9)), task(), []string{OutcomeSuccess, OutcomeDefect, OutcomeStopped, OutcomeLeaseLapsed}[rnd.Intn(4)], ""})
	}
	if a.Agent = rnd.Intn(4) > 0; !a.Agent {
		return a
	}
	a.Cores, a.MilliCores, a.GPUs, a.Pool, a.AgentAddr, a.SilentFor = rnd.Int63n(2), rnd.Int63n(3), rnd.Int63n(2), some(), some(), clock.Millis(rnd.Intn(2))
	a.LeftInOrder, a.PresumedDead = rnd.Intn(3) == 0, rnd.Intn(3) == 0
	for i := rnd.Intn(5); i > 0; i-- {
		a.Active = append(a.Active, RunState{task(), uint64(rnd.Intn(3)), some(), rnd.Int63n(100), clock.Millis(rnd.Intn(2) * 700), rnd.Int63n(2) * 9})
		a.Finished = append(a.Finished, RunEnd{1 + uint64(rnd.Intn(9)), task(), uint64(rnd.Intn(3)), []string{OutcomeSuccess, OutcomeDefect, OutcomeStopped, OutcomeLeaseLapsed, OutcomeGangBroken, OutcomeGangIncomplete, OutcomeRejected}[rnd.Intn(7)], some()})
		a.Cleared = append(a.Cleared, RunStop{task(), uint64(rnd.Intn(3))})
	}
	return a
}

// parts is what mutants are made of.
var parts = []string{"{", "}", "[", "]", ",", ":", `"`, `\`, "\\u0041", "\\ud800", " ", "\n", "\t", "\x00", "\xff", "é", "0", "00", "-", "-0", "1", ".5", "e3", "9007199254740992", "9007199254740993", "1073741824", "1073741825",
	"99999999999999999999", "1099511627776", "1048577", "true", "false", "null", `""`, `"x"`, `"well"`, `"alone"`, `"agent":true,`, `"agent":false,`, `"seq":1,`, `"Seq":1,`, `"rack":"",`, `"run":1,`, `"how":"well",`, `"task":{},`, `"extra":1,`, `"left":true,`, "[]", "{}"}

// mutate spoils a text, or may: parts put in or taken out, values changed.
func mutate(rnd *rand.Rand, text string) string {
	for n := 1 + rnd.Intn(2); n > 0 && len(text) > 0; n-- {
		at := rnd.Intn(len(text) + 1)
		part := parts[rnd.Intn(len(parts))]
		switch rnd.Intn(5) {
		case 0:
			text = text[:at] + part + text[at:]
		case 1:
			text = text[:at] + text[min(len(text), at+1+rnd.Intn(4)):]
		case 2:
			// A value, wherever one stands.
			if i := strings.IndexByte(text[at:], ':'); i >= 0 {
				from := at + i + 1
				to := from + max(0, strings.IndexAny(text[from:], ",}]"))
				text = text[:from] + part + text[to:]
			}
		case 3:
			// A field, before another one.
			if i := strings.IndexByte(text[at:], '{'); i >= 0 {
				text = text[:at+i+1] + part + text[at+i+1:]
			}
		case 4:
			// A whole field taken out, from its quote to the next one's.
			if i := strings.Index(text[at:], `,"`); i >= 0 {
				from := at + i
				if j := strings.Index(text[from+2:], `,"`); j >= 0 {
					text = text[:from] + text[from+2+j:]
				}
			}
		}
	}
	return text
}

// TestReadersAgree plays the two readers against each other, on sound polls and
// on spoilt ones: what the scanner takes, the other takes too and reads alike;
// what has a fault the scanner leaves alone; and what agents and runners write
// it does take.
func TestReadersAgree(t *testing.T) {
	rnd := rand.New(rand.NewSource(1))
	sound, taken := 0, 0
	both := func(text string, must bool) {
		var f jsondoc.FieldErrors
		slow, quick := readSlowly([]byte(text), &f), scan([]byte(text))
		if !f.Any() {
			sound++
		}
		switch {
		case quick == nil && must:
			t.Fatalf("not taken: %s\n%v", text, f.List)
		case quick == nil:
			return
		case f.Any():
			t.Fatalf("taken with faults: %s\n%v", text, f.List)
		case !reflect.DeepEqual(quick, slow):
			t.Fatalf("%s\nquick %+v\nslow  %+v", text, quick, slow)
		}
		taken++
		var g jsondoc.FieldErrors
		if a := Read([]byte(text), &g); !reflect.DeepEqual(a, slow) || g.Any() {
			t.Fatalf("Read differs: %s", text)
		}
	}
	for range 10_000 {
		text, err := json.Marshal(sample(rnd))
		if err != nil {
			t.Fatal(err)
		}
		both(string(text), true)
		both(mutate(rnd, string(text)), false)
	}
	t.Logf("%d of 20,000 polls were sound, %d were scanned", sound, taken)
	if sound == 20_000 || taken < 10_000 {
		t.Errorf("of 20,000 %d sound, %d taken", sound, taken)
	}
}

// TestBounds: at each bound both readers agree, just within it and just past it.
func TestBounds(t *testing.T) {
	long := func(n int, one string) string { return strings.TrimSuffix(strings.Repeat(one+",", n), ",") }
	base := `{"incarnation":"i","seq":1,"cores":1,"memMb":1,"domain":"d","rack":"r","agent":true,`
	for _, c := range []struct {
		in, past string
	}{
		{`"running":[` + long(most, "1") + `]`, `"running":[` + long(most+1, "1") + `]`},
		{`"labels":[` + long(64, `"l"`) + `]`, `"labels":[` + long(65, `"l"`) + `]`},
		{`"active":[` + long(most, "{}") + `]`, `"active":[` + long(most+1, "{}") + `]`},
		{`"gone":[` + long(most, "{}") + `]`, `"gone":[` + long(most+1, "{}") + `]`},
		{`"active":[{"saved":"` + strings.Repeat("s", MaxCheckpointBytes) + `"}]`, `"active":[{"saved":"` + strings.Repeat("s", MaxCheckpointBytes+1) + `"}]`},
		{`"running":[9007199254740992]`, `"running":[9007199254740993]`},
		{`"gpus":1073741824`, `"gpus":1073741825`},
		{`"active":[{"speed":1073741824}]`, `"active":[{"speed":1073741825}]`},
		{`"silentMs":1099511627776`, `"silentMs":1099511627777`},
		{`"labels":["` + strings.Repeat("l", 64) + `"]`, `"labels":["` + strings.Repeat("l", 65) + `"]`},
		{`"active":[{"task":{"job":"j","num":1048576}}]`, `"active":[{"task":{"job":"j","num":1048577}}]`},
		{`"finished":[{"n":1,"how":"well"}]`, `"finished":[{"n":0,"how":"well"}]`},
		{`"left":true`, `"left":true,"left":true`},
		{`"left":false`, `"left":0`},
	} {
		var f, g jsondoc.FieldErrors
		a, b := Read([]byte(base+c.in+"}"), &f), readSlowly([]byte(base+c.in+"}"), &g)
		if f.Any() || g.Any() || scan([]byte(base+c.in+"}")) == nil || !reflect.DeepEqual(a, b) {
			t.Errorf("%.40s: %v %v", c.in, f.List, g.List)
		}
		f, g = jsondoc.FieldErrors{}, jsondoc.FieldErrors{}
		Read([]byte(base+c.past+"}"), &f)
		readSlowly([]byte(base+c.past+"}"), &g)
		if !f.Any() || !reflect.DeepEqual(f, g) {
			t.Errorf("%.40s: %v %v", c.past, f.List, g.List)
		}
	}
}

func BenchmarkRead(b *testing.B) {
	a := PollRequest{Incarnation: "i", Seq: 1, Mem: 1, Domain: "d", Rack: "r", Mode: ModeActive, Agent: true, MilliCores: 4000, Pool: "x", AgentAddr: "a:1"}
	for i := range 14 {
		a.Active = append(a.Active, RunState{Task: identifier.TaskRef{Job: identifier.JobKey(fmt.Sprintf("q/%016x.0", i)), Num: i}, Attempt: 1, ProgressPercent: 50, StalledFor: 40, ProgressRate: 9})
	}
	text, err := json.Marshal(a)
	if err != nil {
		b.Fatal(err)
	}
	for name, read := range map[string]func([]byte, *jsondoc.FieldErrors) *PollRequest{"read": Read, "slowly": readSlowly} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				if read(text, &jsondoc.FieldErrors{}) == nil {
					b.Fatal("not read")
				}
			}
		})
	}
}

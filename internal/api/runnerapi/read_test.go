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

// TestFieldPositions checks the scanner's constants for the positions of fields.
func TestFieldPositions(t *testing.T) {
	if pollFields[pollRackField] != "rack" || pollFields[pollAgentField] != "agent" {
		t.Error("a poll field is not at its constant's position")
	}
	if endFields[endOutcomeField] != "how" || runEndFields[runEndOutcomeField] != "how" {
		t.Error("the outcome field of an end is not at its constant's position")
	}
	required := []string{"incarnation", "seq", "cores", "memMb", "domain"}
	for i, name := range pollFields {
		if want := slices.Contains(required, name); requiredPollFields.has(i) != want {
			t.Errorf("%s: required is %v", name, !want)
		}
	}
}

// texts holds strings with escapes, multi-byte characters and other difficult content.
var texts = []string{"", "x", "a b", "q\"uo\\te", "ünï", "\u2028<&>", "a\x01b", strings.Repeat("s", 40)}

func pick[T any](rnd *rand.Rand, list []T) T { return list[rnd.Intn(len(list))] }

func randomTask(rnd *rand.Rand) identifier.TaskRef {
	return identifier.TaskRef{
		Job:  identifier.JobKey("q/" + pick(rnd, texts)),
		Step: rnd.Intn(3),
		Num:  rnd.Intn(maxTaskNumber),
	}
}

// randomPoll returns a valid poll in which optional fields are omitted at random.
func randomPoll(rnd *rand.Rand) PollRequest {
	p := PollRequest{
		Incarnation: "i-1",
		Seq:         1 + uint64(rnd.Int63n(maxID)),
		Cores:       1 + rnd.Int63n(64),
		Mem:         1 + rnd.Int63n(maxAmount),
		Domain:      "d",
		Rack:        "r.1",
		Mode:        pick(rnd, []string{ModeActive, ModeDraining}),
		DepartsIn:   clock.Millis(rnd.Intn(3)),
	}
	for range rnd.Intn(4) {
		p.Labels = append(p.Labels, identifier.Label(fmt.Sprintf("l%d", rnd.Intn(9))))
		p.Running = append(p.Running, identifier.LeaseID(rnd.Intn(3)))
		p.Ended = append(p.Ended, End{
			Lease:   identifier.LeaseID(1 + rnd.Intn(9)),
			Task:    randomTask(rnd),
			Outcome: pick(rnd, runnerOutcomes),
		})
	}
	if rnd.Intn(4) > 0 {
		addAgentFields(rnd, &p)
	}
	return p
}

func addAgentFields(rnd *rand.Rand, p *PollRequest) {
	p.Agent = true
	p.Cores = rnd.Int63n(2)
	p.MilliCores = rnd.Int63n(3)
	p.GPUs = rnd.Int63n(2)
	p.Pool = pick(rnd, texts)
	p.AgentAddr = pick(rnd, texts)
	p.SilentFor = clock.Millis(rnd.Intn(2))
	p.LeftInOrder = rnd.Intn(3) == 0
	p.PresumedDead = rnd.Intn(3) == 0
	for range rnd.Intn(5) {
		p.Active = append(p.Active, RunState{
			Task:            randomTask(rnd),
			Attempt:         uint64(rnd.Intn(3)),
			Checkpoint:      pick(rnd, texts),
			ProgressPercent: rnd.Int63n(100),
			StalledFor:      clock.Millis(rnd.Intn(2) * 700),
			ProgressRate:    rnd.Int63n(2) * 9,
		})
		p.Finished = append(p.Finished, RunEnd{
			Seq:        1 + uint64(rnd.Intn(9)),
			Task:       randomTask(rnd),
			Attempt:    uint64(rnd.Intn(3)),
			Outcome:    pick(rnd, agentOutcomes),
			Checkpoint: pick(rnd, texts),
		})
		p.Cleared = append(p.Cleared, RunStop{Task: randomTask(rnd), Attempt: uint64(rnd.Intn(3))})
	}
}

// fragments holds the texts that mutate inserts.
var fragments = []string{
	"{", "}", "[", "]", ",", ":", `"`, `\`, "\\u0041", "\\ud800", " ", "\n", "\t", "\x00", "\xff", "é",
	"0", "00", "-", "-0", "1", ".5", "e3",
	"9007199254740992", "9007199254740993", "1073741824", "1073741825", "99999999999999999999", "1099511627776", "1048577",
	"true", "false", "null", `""`, `"x"`, `"well"`, `"alone"`,
	`"agent":true,`, `"agent":false,`, `"seq":1,`, `"Seq":1,`, `"rack":"",`, `"run":1,`,
	`"how":"well",`, `"task":{},`, `"extra":1,`, `"left":true,`,
	"[]", "{}",
}

// mutate inserts fragments, removes parts or replaces values, once or twice. The result may
// still be valid.
func mutate(rnd *rand.Rand, text string) string {
	for range 1 + rnd.Intn(2) {
		if text == "" {
			break
		}
		text = mutateOnce(rnd, text)
	}
	return text
}

func mutateOnce(rnd *rand.Rand, text string) string {
	pos := rnd.Intn(len(text) + 1)
	fragment := pick(rnd, fragments)
	switch rnd.Intn(5) {
	case 0:
		return text[:pos] + fragment + text[pos:]
	case 1:
		return text[:pos] + text[min(len(text), pos+1+rnd.Intn(4)):]
	case 2:
		return replaceValue(text, pos, fragment)
	case 3:
		return insertField(text, pos, fragment)
	}
	return removeField(text, pos)
}

// replaceValue replaces the next value after the position.
func replaceValue(text string, pos int, value string) string {
	colon := strings.IndexByte(text[pos:], ':')
	if colon < 0 {
		return text
	}
	start := pos + colon + 1
	end := start + max(0, strings.IndexAny(text[start:], ",}]"))
	return text[:start] + value + text[end:]
}

// insertField inserts a field at the beginning of the next object after the position.
func insertField(text string, pos int, field string) string {
	brace := strings.IndexByte(text[pos:], '{')
	if brace < 0 {
		return text
	}
	start := pos + brace + 1
	return text[:start] + field + text[start:]
}

// removeField removes the next field after the position, up to the following field.
func removeField(text string, pos int) string {
	comma := strings.Index(text[pos:], `,"`)
	if comma < 0 {
		return text
	}
	start := pos + comma
	following := strings.Index(text[start+2:], `,"`)
	if following < 0 {
		return text
	}
	return text[:start] + text[start+2+following:]
}

// readBoth reads a text with both readers and fails the test if they disagree.
func readBoth(t *testing.T, text string) (scanned *PollRequest, faults jsondoc.FieldErrors) {
	t.Helper()
	checked := readChecked([]byte(text), &faults)
	scanned = scanPoll([]byte(text))
	if scanned == nil {
		return nil, faults
	}
	if faults.Any() {
		t.Fatalf("the scanner accepted an invalid poll: %s\n%v", text, faults.List)
	}
	if !reflect.DeepEqual(scanned, checked) {
		t.Fatalf("%s\nscanned %+v\nchecked %+v", text, scanned, checked)
	}
	var readFaults jsondoc.FieldErrors
	if read := Read([]byte(text), &readFaults); !reflect.DeepEqual(read, checked) || readFaults.Any() {
		t.Fatalf("Read differs: %s", text)
	}
	return scanned, faults
}

// TestReadersAgree compares the two readers on valid polls and on mutated ones. Every poll
// that the scanner accepts must be accepted by the other reader with the same result, the
// scanner must not accept a poll with errors, and it must accept what agents and runners send.
func TestReadersAgree(t *testing.T) {
	rnd := rand.New(rand.NewSource(1))
	valid, taken := 0, 0
	for range 10_000 {
		text, err := json.Marshal(randomPoll(rnd))
		if err != nil {
			t.Fatal(err)
		}
		if scanned, faults := readBoth(t, string(text)); scanned == nil {
			t.Fatalf("the scanner rejected a valid poll: %s\n%v", text, faults.List)
		}
		valid++
		taken++
		scanned, faults := readBoth(t, mutate(rnd, string(text)))
		if !faults.Any() {
			valid++
		}
		if scanned != nil {
			taken++
		}
	}
	t.Logf("%d of 20,000 polls were valid, %d were scanned", valid, taken)
	if valid == 20_000 || taken < 10_000 {
		t.Errorf("of 20,000 %d valid, %d scanned", valid, taken)
	}
}

// TestReadersAgreeAtBounds checks that both readers accept a value at its bound and reject one
// past it.
func TestReadersAgreeAtBounds(t *testing.T) {
	list := func(count int, element string) string {
		return "[" + strings.TrimSuffix(strings.Repeat(element+",", count), ",") + "]"
	}
	checkpoint := func(size int) string {
		return `"active":[{"saved":"` + strings.Repeat("s", size) + `"}]`
	}
	label := func(size int) string {
		return `"labels":["` + strings.Repeat("l", size) + `"]`
	}
	poll := func(field string) []byte {
		return []byte(`{"incarnation":"i","seq":1,"cores":1,"memMb":1,"domain":"d","rack":"r","agent":true,` + field + "}")
	}
	for _, c := range []struct{ within, past string }{
		{`"running":` + list(MaxItems, "1"), `"running":` + list(MaxItems+1, "1")},
		{`"labels":` + list(64, `"l"`), `"labels":` + list(65, `"l"`)},
		{`"active":` + list(MaxItems, "{}"), `"active":` + list(MaxItems+1, "{}")},
		{`"gone":` + list(MaxItems, "{}"), `"gone":` + list(MaxItems+1, "{}")},
		{checkpoint(MaxCheckpointBytes), checkpoint(MaxCheckpointBytes + 1)},
		{`"running":[9007199254740992]`, `"running":[9007199254740993]`},
		{`"gpus":1073741824`, `"gpus":1073741825`},
		{`"active":[{"speed":1073741824}]`, `"active":[{"speed":1073741825}]`},
		{`"silentMs":1099511627776`, `"silentMs":1099511627777`},
		{label(64), label(65)},
		{`"active":[{"task":{"job":"j","num":1048576}}]`, `"active":[{"task":{"job":"j","num":1048577}}]`},
		{`"finished":[{"n":1,"how":"well"}]`, `"finished":[{"n":0,"how":"well"}]`},
		{`"left":true`, `"left":true,"left":true`},
		{`"left":false`, `"left":0`},
	} {
		var faults, checkedFaults jsondoc.FieldErrors
		read := Read(poll(c.within), &faults)
		checked := readChecked(poll(c.within), &checkedFaults)
		if faults.Any() || checkedFaults.Any() || scanPoll(poll(c.within)) == nil || !reflect.DeepEqual(read, checked) {
			t.Errorf("%.40s: %v %v", c.within, faults.List, checkedFaults.List)
		}
		faults, checkedFaults = jsondoc.FieldErrors{}, jsondoc.FieldErrors{}
		Read(poll(c.past), &faults)
		readChecked(poll(c.past), &checkedFaults)
		if !faults.Any() || !reflect.DeepEqual(faults, checkedFaults) {
			t.Errorf("%.40s: %v %v", c.past, faults.List, checkedFaults.List)
		}
	}
}

// BenchmarkRead compares the readers on the poll of an agent with 14 running attempts.
func BenchmarkRead(b *testing.B) {
	poll := PollRequest{
		Incarnation: "i",
		Seq:         1,
		Mem:         1,
		Domain:      "d",
		Rack:        "r",
		Mode:        ModeActive,
		Agent:       true,
		MilliCores:  4000,
		Pool:        "x",
		AgentAddr:   "a:1",
	}
	for i := range 14 {
		poll.Active = append(poll.Active, RunState{
			Task:            identifier.TaskRef{Job: identifier.JobKey(fmt.Sprintf("q/%016x.0", i)), Num: i},
			Attempt:         1,
			ProgressPercent: 50,
			StalledFor:      40,
			ProgressRate:    9,
		})
	}
	text, err := json.Marshal(poll)
	if err != nil {
		b.Fatal(err)
	}
	for name, read := range map[string]func([]byte, *jsondoc.FieldErrors) *PollRequest{"read": Read, "checked": readChecked} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				if read(text, &jsondoc.FieldErrors{}) == nil {
					b.Fatal("not read")
				}
			}
		})
	}
}

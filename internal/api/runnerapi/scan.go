// A poll comes once or twice a second from every runner, and nearly all are
// sound. Those are read in one pass over the text, straight into an Ask. The
// pass gives up at whatever is not plainly sound, and says nothing about why:
// such a poll is read again by way of package doc, which names every fault.

package runnerapi

import (
	"encoding/json"
	"slices"
	"strings"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/jsondoc"
	"orchidward/internal/clock"
)

// Read checks a poll and gathers its faults.
func Read(text []byte, f *jsondoc.FieldErrors) *PollRequest {
	if a := scan(text); a != nil {
		return a
	}
	return readSlowly(text, f)
}

// scanner reads JSON whose shape is known. Once bad, it stays so, and what it
// returned means nothing.
type scanner struct {
	text string
	at   int
	bad  bool
}

// scan reads a sound poll, or gives nil.
func scan(text []byte) *PollRequest {
	s := &scanner{text: string(text)}
	a := &PollRequest{Mode: ModeActive}
	seen := s.object(askFields, func(i int) {
		switch askFields[i] {
		case "incarnation":
			a.Incarnation = identifier.Incarnation(strings.Clone(s.name()))
		case "seq":
			a.Seq = uint64(s.int(1, 1<<53))
		case "cores":
			a.Cores = s.int(0, maxRoom)
		case "memMb":
			a.Mem = s.int(0, maxRoom)
		case "labels":
			s.list(64, func() { a.Labels = append(a.Labels, identifier.Label(s.name())) })
		case "domain":
			a.Domain = identifier.Domain(s.name())
		case "rack":
			a.Rack = identifier.Rack(s.name())
		case "mode":
			a.Mode = s.word(ModeActive, ModeDraining)
		case "departsMs":
			a.DepartsIn = clock.Millis(s.int(0, 1<<40))
		case "running":
			s.list(most, func() { a.Running = append(a.Running, identifier.LeaseID(s.int(0, 1<<53))) })
		case "ended":
			s.list(most, func() { a.Ended = append(a.Ended, s.end()) })
		case "agent":
			a.Agent = s.bool()
		default:
			s.agentField(a, askFields[i])
		}
	})
	s.space()
	agent := seen.has(agentAt)
	low := int64(1)
	if agent {
		low = 0
	}
	whole := seen&mustAsk == mustAsk && (agent || seen.has(rackAt)) && a.Cores >= low && a.Mem >= low
	if s.bad || s.at != len(s.text) || !whole || !a.Agent && seen>>(agentAt+1) != 0 {
		return nil
	}
	slices.Sort(a.Labels)
	return a
}

// What stands after "agent" is for agents alone.
var (
	askFields  = []string{"incarnation", "seq", "cores", "memMb", "labels", "domain", "rack", "mode", "departsMs", "running", "ended", "agent", "milliCores", "gpus", "pool", "addr", "silentMs", "active", "finished", "gone", "left", "dead"}
	endFields  = []string{"grant", "task", "how"}
	runFields  = []string{"task", "run", "saved", "percent", "stillMs", "speed"}
	overFields = []string{"n", "task", "run", "how", "saved"}
	goneFields = []string{"task", "run"}
	taskFields = []string{"job", "step", "num"}
)

// Places in askFields, and the fields that every poll has.
const (
	rackAt        = 6
	agentAt       = 11
	mustAsk given = 1<<0 | 1<<1 | 1<<2 | 1<<3 | 1<<5
)

func (s *scanner) agentField(a *PollRequest, name string) {
	switch name {
	case "milliCores":
		a.MilliCores = s.int(0, maxRoom)
	case "gpus":
		a.GPUs = s.int(0, maxRoom)
	case "pool":
		a.Pool = s.string()
	case "addr":
		a.AgentAddr = s.string()
	case "silentMs":
		a.SilentFor = clock.Millis(s.int(0, 1<<40))
	case "active":
		s.list(most, func() { a.Active = append(a.Active, s.runState()) })
	case "finished":
		s.list(most, func() { a.Finished = append(a.Finished, s.runEnd()) })
	case "gone":
		s.list(most, func() { a.Cleared = append(a.Cleared, s.runStop()) })
	case "left":
		a.LeftInOrder = s.bool()
	case "dead":
		a.PresumedDead = s.bool()
	}
}

func (s *scanner) end() End {
	var e End
	seen := s.object(endFields, func(i int) {
		switch endFields[i] {
		case "grant":
			e.Lease = identifier.LeaseID(s.int(1, 1<<53))
		case "task":
			e.Task = s.task()
		case "how":
			e.Outcome = s.word(OutcomeSuccess, OutcomeDefect, OutcomeStopped, OutcomeLeaseLapsed)
		}
	})
	s.bad = s.bad || !seen.has(2)
	return e
}

func (s *scanner) runState() RunState {
	var r RunState
	s.object(runFields, func(i int) {
		switch runFields[i] {
		case "task":
			r.Task = s.task()
		case "run":
			r.Attempt = uint64(s.int(0, 1<<53))
		case "saved":
			r.Checkpoint = s.saved()
		case "percent":
			r.ProgressPercent = s.int(0, 1<<20)
		case "stillMs":
			r.StalledFor = clock.Millis(s.int(0, 1<<40))
		case "speed":
			r.ProgressRate = s.int(0, 1<<30)
		}
	})
	return r
}

func (s *scanner) runEnd() RunEnd {
	var e RunEnd
	seen := s.object(overFields, func(i int) {
		switch overFields[i] {
		case "n":
			e.Seq = uint64(s.int(1, 1<<53))
		case "task":
			e.Task = s.task()
		case "run":
			e.Attempt = uint64(s.int(0, 1<<53))
		case "how":
			e.Outcome = s.word(OutcomeSuccess, OutcomeDefect, OutcomeStopped, OutcomeLeaseLapsed, OutcomeGangBroken, OutcomeGangIncomplete, OutcomeRejected)
		case "saved":
			e.Checkpoint = s.saved()
		}
	})
	s.bad = s.bad || !seen.has(3)
	return e
}

func (s *scanner) runStop() RunStop {
	var r RunStop
	s.object(goneFields, func(i int) {
		switch goneFields[i] {
		case "task":
			r.Task = s.task()
		case "run":
			r.Attempt = uint64(s.int(0, 1<<53))
		}
	})
	return r
}

func (s *scanner) task() identifier.TaskRef {
	var r identifier.TaskRef
	s.object(taskFields, func(i int) {
		switch taskFields[i] {
		case "job":
			r.Job = identifier.JobKey(s.string())
		case "step":
			r.Step = int(s.int(0, 1<<20))
		case "num":
			r.Num = int(s.int(0, 1<<20))
		}
	})
	return r
}

// given is a set of an object's fields, by their places in its list.
type given uint32

func (g given) has(i int) bool { return g&(1<<i) != 0 }

// object reads an object that has none but these fields, and each at most once.
func (s *scanner) object(names []string, value func(i int)) given {
	var seen given
	if s.token('{'); s.next('}') {
		return 0
	}
	last := -1
	for !s.bad {
		key := s.string()
		s.token(':')
		// Fields mostly come in the order of the list.
		i := last + 1
		if i >= len(names) || names[i] != key {
			i = slices.Index(names, key)
		}
		if s.bad || i < 0 || seen.has(i) {
			s.bad = true
			return seen
		}
		last = i
		seen |= 1 << i
		value(i)
		if s.next('}') {
			return seen
		}
		s.token(',')
	}
	return seen
}

// list reads a list of at most so many values.
func (s *scanner) list(limit int, value func()) {
	if s.token('['); s.next(']') {
		return
	}
	for n := 1; !s.bad; n++ {
		if n > limit {
			s.bad = true
			return
		}
		value()
		if s.next(']') {
			return
		}
		s.token(',')
	}
}

func (s *scanner) space() {
	for s.at < len(s.text) {
		switch s.text[s.at] {
		case ' ', '\t', '\r', '\n':
			s.at++
		default:
			return
		}
	}
}

// next takes a token if it comes next.
func (s *scanner) next(c byte) bool {
	s.space()
	if s.at >= len(s.text) || s.text[s.at] != c {
		return false
	}
	s.at++
	return true
}

func (s *scanner) token(c byte) { s.bad = !s.next(c) || s.bad }

// string is a part of the text wherever that holds the string as it is.
func (s *scanner) string() string {
	s.token('"')
	from := s.at
	plain := true
	for ; s.at < len(s.text) && !s.bad; s.at++ {
		switch c := s.text[s.at]; {
		case c == '"':
			s.at++
			if plain {
				return s.text[from : s.at-1]
			}
			return s.unquote(s.text[from-1 : s.at])
		case c == '\\':
			plain = false
			s.at++
		case c >= 0x80:
			plain = false
		case c < ' ':
			s.bad = true
		}
	}
	s.bad = true
	return ""
}

func (s *scanner) unquote(quoted string) string {
	var out string
	s.bad = json.Unmarshal([]byte(quoted), &out) != nil
	return out
}

func (s *scanner) name() string {
	out := s.string()
	s.bad = s.bad || !identifier.ValidName(out)
	return out
}

func (s *scanner) saved() string {
	out := s.string()
	s.bad = s.bad || len(out) > MaxCheckpointBytes
	return out
}

func (s *scanner) word(words ...string) string {
	out := s.string()
	for _, w := range words {
		if out == w {
			return w
		}
	}
	s.bad = true
	return ""
}

// int reads a whole number without sign, point or exponent; none here may be
// below 0, and 17 digits hold the greatest.
func (s *scanner) int(low, high int64) int64 {
	var n int64
	s.space()
	from := s.at
	for ; s.at < len(s.text) && s.text[s.at] >= '0' && s.text[s.at] <= '9'; s.at++ {
		if s.at-from > 16 {
			s.bad = true
			return 0
		}
		n = n*10 + int64(s.text[s.at]-'0')
	}
	if s.at == from || s.at-from > 1 && s.text[from] == '0' || n < low || n > high {
		s.bad = true
		return 0
	}
	return n
}

func (s *scanner) bool() bool {
	s.space()
	switch rest := s.text[min(s.at, len(s.text)):]; {
	case strings.HasPrefix(rest, "true"):
		s.at += 4
		return true
	case strings.HasPrefix(rest, "false"):
		s.at += 5
		return false
	}
	s.bad = true
	return false
}

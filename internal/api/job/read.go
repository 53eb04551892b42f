// Read checks a job's JSON and gathers every fault. What it passes is in
// normal form, so that equal jobs have equal sums whatever their spelling.

package job

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/jsondoc"
	"orchidward/internal/clock"
)

const (
	// MaxSteps bounds the steps of a job.
	MaxSteps = 32
	// MaxTasks bounds the tasks of all steps together.
	MaxTasks = 4096
	// MaxPayloadBytes bounds the text that a job hands to its tasks, in bytes.
	MaxPayloadBytes = 16 << 10
	// MaxQueueNameBytes bounds the name of a queue, in bytes.
	MaxQueueNameBytes = 128
	// MaxRepeats bounds how often a repeated job runs.
	MaxRepeats = 1 << 20
	maxRoom    = 1 << 30
	maxSpan    = int64(30 * 24 * time.Hour / time.Millisecond)
)

// Read reads and checks the JSON of a job. Faults are added to f; the result is
// nil when the text is not one JSON object, and must not be used when there are
// any faults.
func Read(text []byte, f *jsondoc.FieldErrors) *Spec {
	o := jsondoc.Parse(text, f)
	if o == nil {
		return nil
	}
	queued := o.Has("queue")
	s := &Spec{Row: identifier.Row(o.Name("pending", !queued)), Urgency: o.Int("urgency", 0, 0, 1000)}
	if queued {
		readQueued(o, s)
	}
	readStart(o, s)
	names := map[string]int{}
	for i, one := range o.List("steps", MaxSteps) {
		st := readStep(one, queued)
		if _, dup := names[st.Name]; dup {
			f.Invalid(one.Path("name"), "step name used twice")
		}
		names[st.Name] = i
		s.Steps = append(s.Steps, st)
	}
	if len(s.Steps) == 0 && !f.Any() {
		f.Invalid("steps", "want at least one step")
	}
	if s.TaskCount() > MaxTasks {
		f.Invalid("steps", "at most %d tasks in a job", MaxTasks)
	}
	o.Done()
	order(s, names, f)
	return s
}

func readStart(o *jsondoc.Object, s *Spec) {
	if o.Has("notBefore") && o.Has("delayMs") {
		o.Errors().Invalid("delayMs", "give notBefore or delayMs, not both")
	}
	s.Delay = clock.Millis(o.Int("delayMs", 0, 0, maxSpan))
	if text := o.Text("notBefore", ""); text != "" {
		at, err := time.Parse(time.RFC3339, text)
		if err != nil || at.UnixMilli() <= 0 {
			o.Errors().Invalid("notBefore", "want an RFC 3339 time")
			return
		}
		s.NotBefore = clock.ClusterTime(at.UnixMilli())
	}
}

// readQueued reads what only a job for a queue of the catalogue may bear.
func readQueued(o *jsondoc.Object, s *Spec) {
	s.Queue = o.Text("queue", "")
	switch {
	case s.Queue == "" || len(s.Queue) > MaxQueueNameBytes:
		o.Errors().Invalid("queue", "want a name of 1 to %d bytes", MaxQueueNameBytes)
	case s.Row != "":
		o.Errors().Invalid("queue", "give pending or queue, not both")
	}
	if s.Payload = o.Text("text", ""); len(s.Payload) > MaxPayloadBytes {
		o.Errors().Invalid("text", "at most %d bytes", MaxPayloadBytes)
	}
	if r := o.Object("repeat"); r != nil {
		s.Repeat = &Repeat{Count: r.Int("times", 1, 1, MaxRepeats), First: clock.ClusterTime(r.Int("firstMs", 0, 0, 1<<45)), Every: clock.Millis(r.Int("everyMs", 0, 0, maxSpan))}
		r.Done()
		if s.Repeat.Count > 1 && s.Repeat.Every == 0 {
			r.Errors().Invalid("repeat.everyMs", "want a span between two times")
		}
	}
}

// readPlace reads where a step's tasks would best stand, and how they end.
func readPlace(o *jsondoc.Object, s *Step) {
	s.Demand.Cores = o.Int("cores", 0, 0, maxRoom)
	s.Demand.MilliCores = o.Int("milliCores", 0, 0, maxRoom)
	s.Demand.Mem = o.Int("memMb", 0, 0, maxRoom)
	s.Demand.GPUs = o.Int("gpus", 0, 0, maxRoom)
	s.PreferredRack = identifier.Rack(o.Text("near", ""))
	s.OneRack = o.Bool("oneRack", false)
	s.MaxPerRunner = o.Int("apart", 0, 0, MaxTasks)
	s.AllowDuplicates = o.Bool("copies", false)
	s.Service = o.Bool("lasting", false)
	s.Checkpoints = o.Bool("saves", false)
}

func readStep(o *jsondoc.Object, queued bool) Step {
	var s Step
	s.Name = o.Name("name", true)
	s.After = o.Names("after", MaxSteps)
	s.Tasks = o.Int("tasks", 1, 1, MaxTasks)
	s.Gang = o.Bool("gang", false)
	if queued {
		readPlace(o, &s)
	} else {
		s.Demand.Cores = o.Int("cores", 1, 1, maxRoom)
		s.Demand.Mem = o.Int("memMb", 1, 1, maxRoom)
	}
	for _, l := range o.Names("labels", 16) {
		s.Labels = append(s.Labels, identifier.Label(l))
	}
	s.MaxDefects = o.Int("allowedDefects", 1, 1, 100)
	s.ExpectedRun = clock.Millis(o.Int("spanMs", 1000, 1, maxSpan))
	o.Done()
	return s
}

// order refuses unknown steps and cycles.
func order(s *Spec, names map[string]int, f *jsondoc.FieldErrors) {
	need := make([]int, len(s.Steps))
	next := make([][]int, len(s.Steps))
	for i, st := range s.Steps {
		last := ""
		for _, a := range st.After {
			j, ok := names[a]
			switch {
			case !ok:
				f.Invalid("steps", "step %q comes after unknown step %q", st.Name, a)
			case a == last:
				f.Invalid("steps", "step %q names %q twice", st.Name, a)
			default:
				need[i]++
				next[j] = append(next[j], i)
			}
			last = a
		}
	}
	free, done := []int{}, 0
	for i, n := range need {
		if n == 0 {
			free = append(free, i)
		}
	}
	for ; len(free) > 0; done++ {
		i := free[0]
		free = free[1:]
		for _, j := range next[i] {
			if need[j]--; need[j] == 0 {
				free = append(free, j)
			}
		}
	}
	if done < len(s.Steps) {
		f.Invalid("steps", "steps wait for one another in a ring")
	}
}

// Checksum identifies the content: the hash of the normal form.
func (s *Spec) Checksum() string {
	text, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	h := sha256.Sum256(text)
	return hex.EncodeToString(h[:12])
}

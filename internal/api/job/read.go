package job

import (
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
	// MaxPayloadBytes bounds the payload that a job passes to its tasks, in bytes.
	MaxPayloadBytes = 16 << 10
	// MaxQueueNameBytes bounds the name of a queue, in bytes.
	MaxQueueNameBytes = 128
	// MaxRepeats bounds the number of occurrences of a repeated job.
	MaxRepeats = 1 << 20

	maxUrgency = 1000
	maxLabels  = 16
	maxDefects = 100
	// maxAmount bounds each amount of resources.
	maxAmount = 1 << 30
	// maxDuration bounds durations, in milliseconds.
	maxDuration = int64(30 * 24 * time.Hour / time.Millisecond)
	// maxFirstStart bounds the time of the first occurrence of a repeated job, in
	// milliseconds.
	maxFirstStart = 1 << 45
	// defaultExpectedRun is in milliseconds.
	defaultExpectedRun = 1000
)

// Read parses and validates the JSON of a job. It adds errors to faults. The result is nil if
// the text is not a single JSON object, and must not be used if there are any faults.
func Read(text []byte, faults *jsondoc.FieldErrors) *Spec {
	o := jsondoc.Parse(text, faults)
	if o == nil {
		return nil
	}
	queued := o.Has("queue")
	s := &Spec{}
	s.Row = identifier.Row(o.Name("pending", !queued))
	s.Urgency = o.Int("urgency", 0, 0, maxUrgency)
	if queued {
		readQueued(o, s)
	}
	readStart(o, s)
	positions := readSteps(o, s, queued)
	if len(s.Steps) == 0 && !faults.Any() {
		faults.Invalid("steps", "want at least one step")
	}
	if s.TaskCount() > MaxTasks {
		faults.Invalid("steps", "at most %d tasks in a job", MaxTasks)
	}
	o.Done()
	checkDependencies(s, positions, faults)
	return s
}

func readStart(o *jsondoc.Object, s *Spec) {
	if o.Has("notBefore") && o.Has("delayMs") {
		o.Errors().Invalid("delayMs", "give notBefore or delayMs, not both")
	}
	s.Delay = clock.Millis(o.Int("delayMs", 0, 0, maxDuration))
	text := o.Text("notBefore", "")
	if text == "" {
		return
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil || at.UnixMilli() <= 0 {
		o.Errors().Invalid("notBefore", "want an RFC 3339 time")
		return
	}
	s.NotBefore = clock.ClusterTime(at.UnixMilli())
}

// readQueued reads the fields that are valid only for a job for a queue.
func readQueued(o *jsondoc.Object, s *Spec) {
	s.Queue = o.Text("queue", "")
	switch {
	case s.Queue == "" || len(s.Queue) > MaxQueueNameBytes:
		o.Errors().Invalid("queue", "want a name of 1 to %d bytes", MaxQueueNameBytes)
	case s.Row != "":
		o.Errors().Invalid("queue", "give pending or queue, not both")
	}
	s.Payload = o.Text("text", "")
	if len(s.Payload) > MaxPayloadBytes {
		o.Errors().Invalid("text", "at most %d bytes", MaxPayloadBytes)
	}
	if repeat := o.Object("repeat"); repeat != nil {
		s.Repeat = readRepeat(repeat)
	}
}

func readRepeat(o *jsondoc.Object) *Repeat {
	r := &Repeat{}
	r.Count = o.Int("times", 1, 1, MaxRepeats)
	r.First = clock.ClusterTime(o.Int("firstMs", 0, 0, maxFirstStart))
	r.Every = clock.Millis(o.Int("everyMs", 0, 0, maxDuration))
	o.Done()
	if r.Count > 1 && r.Every == 0 {
		o.Errors().Invalid("repeat.everyMs", "want a span between two times")
	}
	return r
}

// readSteps reads the steps and returns a map from their names to their positions.
func readSteps(o *jsondoc.Object, s *Spec, queued bool) map[string]int {
	positions := map[string]int{}
	for i, object := range o.List("steps", MaxSteps) {
		step := readStep(object, queued)
		if _, taken := positions[step.Name]; taken {
			o.Errors().Invalid(object.Path("name"), "step name used twice")
		}
		positions[step.Name] = i
		s.Steps = append(s.Steps, step)
	}
	return positions
}

func readStep(o *jsondoc.Object, queued bool) Step {
	var s Step
	s.Name = o.Name("name", true)
	s.After = o.Names("after", MaxSteps)
	s.Tasks = o.Int("tasks", 1, 1, MaxTasks)
	s.Gang = o.Bool("gang", false)
	if queued {
		readQueuedStep(o, &s)
	} else {
		s.Demand.Cores = o.Int("cores", 1, 1, maxAmount)
		s.Demand.Mem = o.Int("memMb", 1, 1, maxAmount)
	}
	for _, label := range o.Names("labels", maxLabels) {
		s.Labels = append(s.Labels, identifier.Label(label))
	}
	s.MaxDefects = o.Int("allowedDefects", 1, 1, maxDefects)
	s.ExpectedRun = clock.Millis(o.Int("spanMs", defaultExpectedRun, 1, maxDuration))
	o.Done()
	return s
}

// readQueuedStep reads the fields of a step that a job for a queue has in addition, or with
// different bounds.
func readQueuedStep(o *jsondoc.Object, s *Step) {
	s.Demand.Cores = o.Int("cores", 0, 0, maxAmount)
	s.Demand.MilliCores = o.Int("milliCores", 0, 0, maxAmount)
	s.Demand.Mem = o.Int("memMb", 0, 0, maxAmount)
	s.Demand.GPUs = o.Int("gpus", 0, 0, maxAmount)
	s.PreferredRack = identifier.Rack(o.Text("near", ""))
	s.OneRack = o.Bool("oneRack", false)
	s.MaxPerRunner = o.Int("apart", 0, 0, MaxTasks)
	s.AllowDuplicates = o.Bool("copies", false)
	s.Service = o.Bool("lasting", false)
	s.Checkpoints = o.Bool("saves", false)
}

package job

import (
	"strings"
	"testing"

	"orchidward/internal/api/jsondoc"
)

// TestReadRejects checks that Read detects each error and reports the right status and path.
func TestReadRejects(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		status int
		path   string
	}{
		"not json":       {`{"pending":`, 400, ""},
		"trailing":       {`{"pending":"a","steps":[{"name":"x"}]} 1`, 400, ""},
		"not an object":  {`[1]`, 400, ""},
		"unknown field":  {`{"pending":"a","steps":[{"name":"x","colour":1}]}`, 400, "steps[0].colour"},
		"wrong type":     {`{"pending":"a","steps":[{"name":"x","cores":"many"}]}`, 400, "steps[0].cores"},
		"fraction":       {`{"pending":"a","steps":[{"name":"x","cores":1.5}]}`, 400, "steps[0].cores"},
		"twice":          {`{"pending":"a","pending":"b","steps":[{"name":"x"}]}`, 400, ""},
		"deep":           {strings.Repeat(`{"a":`, 40) + "1" + strings.Repeat("}", 40), 400, ""},
		"zero":           {`{"pending":"a","steps":[{"name":"x","cores":0}]}`, 422, "steps[0].cores"},
		"negative":       {`{"pending":"a","steps":[{"name":"x","memMb":-1}]}`, 422, "steps[0].memMb"},
		"overflow":       {`{"pending":"a","steps":[{"name":"x","tasks":99999999999999999999}]}`, 422, "steps[0].tasks"},
		"no steps":       {`{"pending":"a"}`, 422, "steps"},
		"no row":         {`{"steps":[{"name":"x"}]}`, 422, "pending"},
		"ring":           {`{"pending":"a","steps":[{"name":"x","after":["y"]},{"name":"y","after":["x"]}]}`, 422, "steps"},
		"self":           {`{"pending":"a","steps":[{"name":"x","after":["x"]}]}`, 422, "steps"},
		"unknown step":   {`{"pending":"a","steps":[{"name":"x","after":["z"]}]}`, 422, "steps"},
		"same name":      {`{"pending":"a","steps":[{"name":"x"},{"name":"x"}]}`, 422, "steps[1].name"},
		"two starts":     {`{"pending":"a","delayMs":1,"notBefore":"2026-01-01T00:00:00Z","steps":[{"name":"x"}]}`, 422, "delayMs"},
		"not a time":     {`{"pending":"a","notBefore":"tomorrow","steps":[{"name":"x"}]}`, 422, "notBefore"},
		"bad name":       {`{"pending":"a b","steps":[{"name":"x"}]}`, 422, "pending"},
		"too many tasks": {`{"pending":"a","steps":[{"name":"x","tasks":4096},{"name":"y","tasks":1}]}`, 422, "steps"},
	} {
		var faults jsondoc.FieldErrors
		Read([]byte(c.text), &faults)
		if !faults.Any() || faults.Status() != c.status {
			t.Errorf("%s: want status %d, got %v", name, c.status, faults.List)
			continue
		}
		if found := faults.List[0].Path; c.path != "" && found != c.path {
			t.Errorf("%s: want an error at %s, got %v", name, c.path, faults.List)
		}
	}
}

// TestChecksumOfEqualJobs checks that the same job written differently has the same checksum,
// and a different job another one.
func TestChecksumOfEqualJobs(t *testing.T) {
	var faults jsondoc.FieldErrors
	a := Read([]byte(`{"pending":"a","steps":[{"name":"x","labels":["p","q"]}]}`), &faults)
	b := Read([]byte(` {"steps":[{"labels":["q","p"],"tasks":1,"cores":1,"name":"x"}],"urgency":0,"pending":"a"}`), &faults)
	c := Read([]byte(`{"pending":"a","steps":[{"name":"x","labels":["p"]}]}`), &faults)
	if faults.Any() || a.Checksum() != b.Checksum() || a.Checksum() == c.Checksum() {
		t.Errorf("checksums %s %s %s, errors %v", a.Checksum(), b.Checksum(), c.Checksum(), faults.List)
	}
}

// FuzzRead checks that a text that is read without errors yields a job within the bounds.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"pending":"a","steps":[{"name":"x","after":["y"]},{"name":"y"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var faults jsondoc.FieldErrors
		if s := Read(text, &faults); s != nil && !faults.Any() {
			if len(s.Steps) == 0 || s.TaskCount() < 1 || s.TaskCount() > MaxTasks {
				t.Errorf("accepted %+v", s)
			}
		}
	})
}

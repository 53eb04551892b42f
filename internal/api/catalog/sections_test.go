package catalog

import (
	"testing"

	"orchidward/internal/api/jsondoc"
)

// TestSourceOfPatches checks that a patch changes the sections of a source that is an object,
// item by item if the items have names, and replaces any other source.
func TestSourceOfPatches(t *testing.T) {
	for name, c := range map[string]struct{ before, patch, want string }{
		"text replaced":    {`"one"`, `"source":"two"`, `"two"`},
		"text to object":   {`"one"`, `"source":{"a":1}`, `{"a":1}`},
		"section replaced": {`{"a":1,"b":2}`, `"source":{"b":3}`, `{"a":1,"b":3}`},
		"items by name":    {`{"l":[{"name":"x","v":1},{"name":"y"}]}`, `"rest":[{"l":[{"name":"x","v":2}]},{"l":["y"]}]`, `{"l":[{"name":"x","v":2}]}`},
		"a new list":       {`{}`, `"rest":[{"l":[{"name":"x"}]}]`, `{"l":[{"name":"x"}]}`},
		"no list replaced": {`{"a":{"b":1}}`, `"rest":[{"a":{"b":2}}]`, `{"a":{"b":2}}`},
		"not in the patch": {`{"a":1}`, `"put":{}`, `{"a":1}`},
	} {
		var faults jsondoc.FieldErrors
		patch := ReadPatch([]byte(`{"base":1,"version":2,`+c.patch+`}`), &faults)
		if faults.Any() {
			t.Fatalf("%s: %v", name, faults.List)
		}
		next, err := (&Catalog{Version: 1, Source: []byte(c.before)}).With(patch)
		if err != nil || string(next.Source) != c.want {
			t.Errorf("%s: %s, %v", name, next.Source, err)
		}
	}
}

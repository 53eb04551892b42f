package catalog

import (
	"strings"
	"testing"

	"orchidward/internal/api/jsondoc"
)

// validText is a valid complete catalogue.
const validText = `{"base":0,"version":3,"queues":[` +
	`{"name":"q","host":"H.example","prefix":"/a/","pool":"x","timeoutMs":1,"source":{"odd":1}}],` +
	`"pools":[{"name":"x"}],"source":{"limits":{"a":1}}}`

// TestReadWholeRejects checks that ReadWhole rejects a text that is truncated, has the wrong
// structure or a value out of bounds, before it is proposed.
func TestReadWholeRejects(t *testing.T) {
	for name, text := range map[string]string{
		"cut short":     validText[:len(validText)-4],
		"data after":    validText + "1",
		"unknown field": strings.Replace(validText, `"base"`, `"bass":1,"base"`, 1),
		"no version":    strings.Replace(validText, `"version":3,`, "", 1),
		"no timeout":    strings.Replace(validText, `"timeoutMs":1`, `"timeoutMs":0`, 1),
		"no host":       strings.Replace(validText, `"H.example"`, `""`, 1),
		"no path":       strings.Replace(validText, `"/a/"`, `"a"`, 1),
		"wrong type":    strings.Replace(validText, `"pool":"x"`, `"pool":4`, 1),
	} {
		var faults jsondoc.FieldErrors
		if ReadWhole([]byte(text), &faults); !faults.Any() {
			t.Errorf("%s passed", name)
		}
	}
}

// TestPatch checks that a patch replaces named items in place, appends new ones and drops
// others, and keeps everything else, including the source that the operator sent along.
func TestPatch(t *testing.T) {
	var faults jsondoc.FieldErrors
	whole := ReadWhole([]byte(validText), &faults)
	patch := ReadPatch([]byte(`{"base":3,"version":5,"put":{"queues":[`+
		`{"name":"r","host":"h","prefix":"/","pool":"y","timeoutMs":2},`+
		`{"name":"q","host":"h.example","prefix":"/b/","pool":"x","timeoutMs":9}],`+
		`"pools":[{"name":"y"}]},"drop":{"queues":["none"]}}`), &faults)
	if faults.Any() {
		t.Fatal(faults.List)
	}
	first, err := (&Catalog{}).With(whole)
	if err != nil {
		t.Fatal(err)
	}
	next, err := first.With(patch)
	if err != nil {
		t.Fatal(err)
	}
	if len(next.Queues) != 2 || next.Queues[0].Timeout != 9 || next.Queues[1].Name != "r" || string(next.Source) != `{"limits":{"a":1}}` {
		t.Fatalf("%+v", next)
	}
	if len(first.Queues) != 1 || first.Queues[0].Timeout != 1 {
		t.Errorf("the previous catalogue changed: %+v", first)
	}
	if !next.Has(patch) || !next.Has(ReadWhole([]byte(validText), &faults)) || next.Has(&Change{Version: 5, Checksum: "x"}) {
		t.Error("accepted changes are not recognised, or another change is")
	}
	if _, err := next.With(&Change{Version: 9, DropPools: []string{"y"}}); err == nil {
		t.Error("a pool that a queue names was dropped")
	}
}

// TestFind checks that Find selects the longest prefix under the host, whatever the host's
// case and port.
func TestFind(t *testing.T) {
	routes := NewRouteMap(4, []Route{
		{Queue: "a", Host: "h.example", Prefix: "/x/"},
		{Queue: "b", Host: "h.example", Prefix: "/x/y/"},
		{Queue: "c", Host: "other", Prefix: "/"},
	})
	for _, c := range []struct{ host, path, queue, rest string }{
		{"h.example", "/x/1", "a", "1"},
		{"H.Example:80", "/x/y/2", "b", "2"},
		{"h.example", "/x/y", "a", "y"},
		{"h.example", "/z", "", ""},
		{"nobody", "/x/1", "", ""},
		{"other:1", "/q", "c", "q"},
	} {
		queue, rest, ok := routes.Find(c.host, c.path)
		if queue != c.queue || rest != c.rest || ok != (c.queue != "") {
			t.Errorf("%s%s: %q %q %v", c.host, c.path, queue, rest, ok)
		}
	}
}

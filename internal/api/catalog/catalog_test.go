package catalog

import (
	"strings"
	"testing"

	"orchidward/internal/api/jsondoc"
)

const good = `{"base":0,"version":3,"queues":[{"name":"q","host":"H.example","prefix":"/a/","pool":"x","timeoutMs":1,"source":{"odd":1}}],"pools":[{"name":"x"}],"source":{"limits":{"a":1}}}`

// TestRead: what is cut short, wrong in shape or out of bounds is refused before
// it is proposed.
func TestRead(t *testing.T) {
	for name, text := range map[string]string{
		"cut short":     good[:len(good)-4],
		"data after":    good + "1",
		"unknown field": strings.Replace(good, `"base"`, `"bass":1,"base"`, 1),
		"no version":    strings.Replace(good, `"version":3,`, "", 1),
		"no timeout":    strings.Replace(good, `"timeoutMs":1`, `"timeoutMs":0`, 1),
		"no host":       strings.Replace(good, `"H.example"`, `""`, 1),
		"no path":       strings.Replace(good, `"/a/"`, `"a"`, 1),
		"wrong type":    strings.Replace(good, `"pool":"x"`, `"pool":4`, 1),
	} {
		var f jsondoc.FieldErrors
		if ReadWhole([]byte(text), &f); !f.Any() {
			t.Errorf("%s passed", name)
		}
	}
}

// TestNamed: named items are replaced in place, added at the end and dropped;
// the rest, and what came along with it, stays as it was.
func TestNamed(t *testing.T) {
	var f jsondoc.FieldErrors
	first, why := (&Catalog{}).With(ReadWhole([]byte(good), &f))
	if f.Any() || why != "" {
		t.Fatal(f.List, why)
	}
	p := ReadPatch([]byte(`{"base":3,"version":5,"put":{"queues":[{"name":"r","host":"h","prefix":"/","pool":"y","timeoutMs":2},{"name":"q","host":"h.example","prefix":"/b/","pool":"x","timeoutMs":9}],"pools":[{"name":"y"}]},"drop":{"queues":["none"]}}`), &f)
	if f.Any() {
		t.Fatal(f.List)
	}
	next, why := first.With(p)
	if why != "" || len(next.Queues) != 2 || next.Queues[0].Timeout != 9 || next.Queues[1].Name != "r" || string(next.Source) != `{"limits":{"a":1}}` {
		t.Fatalf("%q %+v", why, next)
	}
	if len(first.Queues) != 1 || first.Queues[0].Timeout != 1 {
		t.Errorf("the former catalogue changed: %+v", first)
	}
	if !next.Has(p) || !next.Has(ReadWhole([]byte(good), &f)) || next.Has(&Change{Version: 5, Checksum: "x"}) {
		t.Error("changes taken are not known again")
	}
	if _, why = next.With(&Change{Version: 9, DropPools: []string{"y"}}); why == "" {
		t.Error("a pool was dropped that a queue names")
	}
}

// TestFind: the longest prefix under the host, whatever its case and port.
func TestFind(t *testing.T) {
	m := NewRouteMap(4, []Route{{"a", "h.example", "/x/"}, {"b", "h.example", "/x/y/"}, {"c", "other", "/"}})
	for _, c := range []struct{ host, path, name, rest string }{
		{"h.example", "/x/1", "a", "1"}, {"H.Example:80", "/x/y/2", "b", "2"}, {"h.example", "/x/y", "a", "y"},
		{"h.example", "/z", "", ""}, {"nobody", "/x/1", "", ""}, {"other:1", "/q", "c", "q"},
	} {
		if name, rest, ok := m.Find(c.host, c.path); name != c.name || rest != c.rest || ok != (c.name != "") {
			t.Errorf("%s%s: %q %q %v", c.host, c.path, name, rest, ok)
		}
	}
}

package limits

import (
	"reflect"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/jsondoc"
)

func patch(t *testing.T, text string) *Change {
	var c *Change
	t.Helper()
	var f jsondoc.FieldErrors
	if c = ReadPatch([]byte(text), &f); f.Any() {
		t.Fatalf("%s: %v", text, f.List)
	}
	return c
}

// TestClash: a change loses only to a later change of a cell it names.
func TestClash(t *testing.T) {
	x := Default()
	x.Apply(patch(t, `{"base":1,"cells":{"stock.weight":3,"push.weight":1}}`))
	x.Apply(patch(t, `{"base":2,"cells":{"stock.weight":4}}`))
	for text, want := range map[string][]string{
		`{"base":2,"cells":{"push.weight":9}}`:                  nil,
		`{"base":2,"cells":{"stock.maxCores":9}}`:               nil,
		`{"base":2,"cells":{"stock.weight":9}}`:                 {"stock.weight"},
		`{"base":2,"drop":["stock"]}`:                           {"stock.weight"},
		`{"base":3,"cells":{"stock.weight":9}}`:                 nil,
		`{"base":9,"cells":{"stock.weight":9}}`:                 {"*"},
		`{"base":1,"cells":{"push.labels":"a","new.weight":2}}`: {"push", "push.labels"},
	} {
		if have := x.Conflicts(patch(t, text)); !reflect.DeepEqual(have, want) {
			t.Errorf("%s clashes with %v, want %v", text, have, want)
		}
	}
	var f jsondoc.FieldErrors
	if c := ReadWhole([]byte(`{"base":2,"rows":{"a":{}}}`), &f); f.Any() || len(x.Conflicts(c)) == 0 {
		t.Errorf("a whole table over a later change must lose: %v", f.List)
	}
	if c := ReadWhole([]byte(`{"base":3,"rows":{"a":{"weight":2}}}`), &f); f.Any() || len(x.Conflicts(c)) != 0 || !x.Apply(c) {
		t.Errorf("a whole table on the present epoch must win: %v", f.List)
	}
	if names := x.RowNames(); !reflect.DeepEqual(names, []identifier.Row{"a"}) || x.Int("a", "weight") != 2 || x.Epoch != 4 {
		t.Errorf("rows %v, weight %d, epoch %d", names, x.Int("a", "weight"), x.Epoch)
	}
}

func TestBadChanges(t *testing.T) {
	for text, status := range map[string]int{
		`{"cells":{"a.weight":1}}`:                          422,
		`{"base":1,"cells":{"a.weight":0}}`:                 422,
		`{"base":1,"cells":{"a.weight":"heavy"}}`:           422,
		`{"base":1,"cells":{"a.colour":1}}`:                 400,
		`{"base":1,"cells":{"a.weight":{}}}`:                400,
		`{"base":1,"cells":{"weight":1}}`:                   422,
		`{"base":1,"cells":{"a.onOutage":"shove"}}`:         422,
		`{"base":1,"cells":{"a.labels":"b/c"}}`:             422,
		`{"base":1}`:                                        422,
		`{"base":1,"drop":["site"]}`:                        422,
		`{"base":1,"drop":["a"],"cells":{"a.weight":2}}`:    422,
		`{"base":1,"cells":{"site.grantMs":1}}`:             422,
		`{"base":1,"cells":{"a.weight":1},"extra":true}`:    400,
		`{"base":"one","cells":{"a.weight":1}}`:             400,
		`{"base":1,"cells":{"a.weight":1}} {"more":"data"}`: 400,
	} {
		var f jsondoc.FieldErrors
		ReadPatch([]byte(text), &f)
		if !f.Any() || f.Status() != status {
			t.Errorf("%s: want %d, have %v", text, status, f.List)
		}
	}
}

func FuzzChange(f *testing.F) {
	f.Add([]byte(`{"base":1,"cells":{"a.weight":2,"site.evacMs":4000},"drop":["b"]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var faults jsondoc.FieldErrors
		if c := ReadPatch(text, &faults); c != nil && !faults.Any() {
			x := Default()
			x.Apply(c)
			for _, r := range x.RowNames() {
				for _, col := range Columns {
					if _, why := col.Normalize(x.Cell(r, col.Name)); why != "" {
						t.Errorf("%s.%s = %q passed: %s", r, col.Name, x.Cell(r, col.Name), why)
					}
				}
			}
		}
	})
}

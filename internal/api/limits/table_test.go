package limits

import (
	"reflect"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/jsondoc"
)

func patch(t *testing.T, text string) *Change {
	t.Helper()
	var faults jsondoc.FieldErrors
	change := ReadPatch([]byte(text), &faults)
	if faults.Any() {
		t.Fatalf("%s: %v", text, faults.List)
	}
	return change
}

func apply(t *testing.T, table *Table, change *Change) {
	t.Helper()
	if err := table.Apply(change); err != nil {
		t.Fatal(err)
	}
}

// TestConflicts checks that a change conflicts only with later changes of cells that it names,
// and a change of the whole table with any later change.
func TestConflicts(t *testing.T) {
	table := Default()
	apply(t, table, patch(t, `{"base":1,"cells":{"stock.weight":3,"push.weight":1}}`))
	apply(t, table, patch(t, `{"base":2,"cells":{"stock.weight":4}}`))
	for text, want := range map[string][]string{
		`{"base":2,"cells":{"push.weight":9}}`:                  nil,
		`{"base":2,"cells":{"stock.maxCores":9}}`:               nil,
		`{"base":2,"cells":{"stock.weight":9}}`:                 {"stock.weight"},
		`{"base":2,"drop":["stock"]}`:                           {"stock.weight"},
		`{"base":3,"cells":{"stock.weight":9}}`:                 nil,
		`{"base":9,"cells":{"stock.weight":9}}`:                 {"*"},
		`{"base":1,"cells":{"push.labels":"a","new.weight":2}}`: {"push", "push.labels"},
	} {
		if have := table.Conflicts(patch(t, text)); !reflect.DeepEqual(have, want) {
			t.Errorf("%s: conflicts %v, want %v", text, have, want)
		}
	}

	var faults jsondoc.FieldErrors
	stale := ReadWhole([]byte(`{"base":2,"rows":{"a":{}}}`), &faults)
	if faults.Any() || len(table.Conflicts(stale)) == 0 {
		t.Errorf("a whole table must conflict with a later change: %v", faults.List)
	}
	current := ReadWhole([]byte(`{"base":3,"rows":{"a":{"weight":2}}}`), &faults)
	if faults.Any() || len(table.Conflicts(current)) != 0 {
		t.Errorf("a whole table based on the current epoch must not conflict: %v", faults.List)
	}
	apply(t, table, current)
	if names := table.RowNames(); !reflect.DeepEqual(names, []identifier.Row{"a"}) || table.Int("a", "weight") != 2 || table.Epoch != 4 {
		t.Errorf("rows %v, weight %d, epoch %d", names, table.Int("a", "weight"), table.Epoch)
	}
}

// TestReadPatchRejects checks that ReadPatch detects each error and reports the right status.
func TestReadPatchRejects(t *testing.T) {
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
		var faults jsondoc.FieldErrors
		ReadPatch([]byte(text), &faults)
		if !faults.Any() || faults.Status() != status {
			t.Errorf("%s: want status %d, got %v", text, status, faults.List)
		}
	}
}

// FuzzReadPatch checks that applying a change that is read without errors yields a table of
// valid cells.
func FuzzReadPatch(f *testing.F) {
	f.Add([]byte(`{"base":1,"cells":{"a.weight":2,"site.evacMs":4000},"drop":["b"]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var faults jsondoc.FieldErrors
		change := ReadPatch(text, &faults)
		if change == nil || faults.Any() {
			return
		}
		table := Default()
		// A rejected change must leave a valid table, too.
		_ = table.Apply(change)
		for _, row := range table.RowNames() {
			for _, column := range Columns {
				cell := table.Cell(row, column.Name)
				if _, err := column.Normalize(cell); err != nil {
					t.Errorf("%s.%s = %q is not valid: %s", row, column.Name, cell, err)
				}
			}
		}
	})
}

// A Change is a whole table or some cells, read and checked by hand. Rows are
// JSON objects of cells, numbers as numbers; in a patch each cell is named
// "row.column". Row names may hold dots nowhere, so the name splits cleanly.

package limits

import (
	"encoding/json"
	"strconv"
	"strings"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/jsondoc"
)

// Change is a checked change of the table. Base is the version it was made
// against. With Whole set, Rows replace all rows of the table; otherwise only
// the named cells change and the rows in Drop go.
type Change struct {
	Base  identifier.Epoch                     `json:"base"`
	Whole bool                                 `json:"whole"`
	Rows  map[identifier.Row]map[string]string `json:"rows"`
	Drop  map[identifier.Row]bool              `json:"drop,omitempty"`
}

func (c *Change) names(cell string) bool {
	row, col, _ := strings.Cut(cell, ".")
	if c.Drop[identifier.Row(row)] {
		return true
	}
	cells, ok := c.Rows[identifier.Row(row)]
	if !ok || col == "" {
		return ok
	}
	_, ok = cells[col]
	return ok
}

// ReadWhole reads a change that replaces the whole table. Faults are added to f;
// the result is nil when the text is not one JSON object, and must not be
// applied when there are any faults.
func ReadWhole(text []byte, f *jsondoc.FieldErrors) *Change {
	o := jsondoc.Parse(text, f)
	if o == nil {
		return nil
	}
	c := &Change{Whole: true, Rows: map[identifier.Row]map[string]string{}}
	readBase(o, c)
	c.Rows[SiteRow] = readRow(o.Object("site"), SiteRow)
	rows := o.Object("rows")
	if rows == nil {
		if !f.Any() {
			f.Invalid("rows", "want the table's rows")
		}
		return c
	}
	for _, name := range rows.Keys() {
		if !rowName(name) {
			f.Invalid(rows.Path(name), "not a row name")
		}
		c.Rows[identifier.Row(name)] = readRow(rows.Object(name), identifier.Row(name))
	}
	if len(c.Rows) > maxRows+1 {
		f.Invalid("rows", "at most %d rows", maxRows)
	}
	o.Done()
	return c
}

// ReadPatch reads a change of single cells and rows. Faults are added to f; the
// result is nil when the text is not one JSON object, and must not be applied
// when there are any faults.
func ReadPatch(text []byte, f *jsondoc.FieldErrors) *Change {
	o := jsondoc.Parse(text, f)
	if o == nil {
		return nil
	}
	c := &Change{Rows: map[identifier.Row]map[string]string{}, Drop: map[identifier.Row]bool{}}
	readBase(o, c)
	for _, r := range o.Names("drop", maxRows) {
		if r == string(SiteRow) {
			f.Invalid("drop", "the site row cannot be dropped")
		}
		c.Drop[identifier.Row(r)] = true
	}
	if cells := o.Object("cells"); cells != nil {
		for _, name := range cells.Keys() {
			row, col, ok := strings.Cut(name, ".")
			if !ok || !rowName(row) && row != string(SiteRow) {
				f.Invalid(cells.Path(name), "want row.column")
				continue
			}
			if c.Drop[identifier.Row(row)] {
				f.Invalid(cells.Path(name), "row is dropped by the same change")
			}
			if c.Rows[identifier.Row(row)] == nil {
				c.Rows[identifier.Row(row)] = map[string]string{}
			}
			readCell(cells, name, identifier.Row(row), col, c.Rows[identifier.Row(row)])
		}
	}
	if len(c.Rows) == 0 && len(c.Drop) == 0 && !f.Any() {
		f.Invalid("cells", "the change names no cell")
	}
	o.Done()
	return c
}

func rowName(name string) bool {
	return identifier.ValidName(name) && !strings.Contains(name, ".") && name != string(SiteRow)
}

func readBase(o *jsondoc.Object, c *Change) {
	if !o.Has("base") {
		o.Errors().Invalid("base", "want the epoch the change was made against")
	}
	c.Base = identifier.Epoch(o.Int("base", 0, 0, 1<<53))
}

func readRow(o *jsondoc.Object, row identifier.Row) map[string]string {
	cells := map[string]string{}
	if o == nil {
		return cells
	}
	for _, k := range o.Keys() {
		readCell(o, k, row, k, cells)
		if source(row, k) && cells[k] == "" {
			delete(cells, k)
		}
	}
	return cells
}

func readCell(o *jsondoc.Object, key string, row identifier.Row, name string, into map[string]string) {
	col, ok := FindColumn(row, name)
	if !ok {
		o.Errors().Malformed(o.Path(key), "unknown column")
		o.Skip(key)
		return
	}
	text, ok := o.Scalar(key)
	if !ok {
		return
	}
	text, why := col.Normalize(text)
	if why != "" {
		o.Errors().Invalid(o.Path(key), "%s", why)
		return
	}
	into[name] = text
}

// TouchesPolicies tells whether the change touches a policy cell.
func (c *Change) TouchesPolicies() bool {
	var yes bool
	for r, cells := range c.Rows {
		for k := range cells {
			yes = yes || source(r, k)
		}
	}
	return yes
}

// JSON shows the table as the whole-table form reads it back.
func (t *Table) JSON() []byte {
	rows := map[string]map[string]any{}
	for _, r := range t.RowNames() {
		rows[string(r)] = show(Columns, t.Rows[r])
	}
	out := map[string]any{"epoch": t.Epoch, "site": show(SiteColumns, t.Rows[SiteRow]), "rows": rows}
	text, err := json.Marshal(out)
	if err != nil {
		panic(err)
	}
	return text
}

func show(cols []Column, row map[string]string) map[string]any {
	out := map[string]any{}
	for _, c := range cols {
		text := row[c.Name]
		if n, err := strconv.ParseInt(text, 10, 64); err == nil && c.Enum == nil && !c.LabelSet && !c.Policy {
			out[c.Name] = n
			continue
		}
		out[c.Name] = text
	}
	return out
}

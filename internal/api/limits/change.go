package limits

import (
	"strings"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/jsondoc"
)

// Change is a validated change of the table.
type Change struct {
	// Base is the epoch of the table that the change is based on.
	Base identifier.Epoch `json:"base"`
	// Whole means that Rows replaces all rows of the table. Otherwise only the named cells
	// change, and the rows in Drop are removed.
	Whole bool                                 `json:"whole"`
	Rows  map[identifier.Row]map[string]string `json:"rows"`
	Drop  map[identifier.Row]bool              `json:"drop,omitempty"`
}

// maxEpoch bounds the epochs in requests: JSON numbers are exact up to this value.
const maxEpoch = 1 << 53

// names reports whether the change names the cell, or the row if cell has no column.
func (c *Change) names(cell string) bool {
	row, column, _ := strings.Cut(cell, ".")
	if c.Drop[identifier.Row(row)] {
		return true
	}
	cells, ok := c.Rows[identifier.Row(row)]
	if !ok || column == "" {
		return ok
	}
	_, ok = cells[column]
	return ok
}

// TouchesPolicies reports whether the change has a policy cell.
func (c *Change) TouchesPolicies() bool {
	for row, cells := range c.Rows {
		for column := range cells {
			if isPolicy(row, column) {
				return true
			}
		}
	}
	return false
}

// ReadWhole parses a change that replaces the whole table. It adds errors to faults. The
// result is nil if the text is not a single JSON object, and must not be applied if there are
// any faults.
func ReadWhole(text []byte, faults *jsondoc.FieldErrors) *Change {
	o := jsondoc.Parse(text, faults)
	if o == nil {
		return nil
	}
	c := &Change{Whole: true, Rows: map[identifier.Row]map[string]string{}}
	readBase(o, c)
	c.Rows[SiteRow] = readRow(o.Object("site"), SiteRow)
	rows := o.Object("rows")
	if rows == nil {
		if !faults.Any() {
			faults.Invalid("rows", "want the table's rows")
		}
		return c
	}
	for _, name := range rows.Keys() {
		if !validRowName(name) {
			faults.Invalid(rows.Path(name), "not a row name")
		}
		c.Rows[identifier.Row(name)] = readRow(rows.Object(name), identifier.Row(name))
	}
	if len(c.Rows) > maxRows+1 {
		faults.Invalid("rows", "at most %d rows", maxRows)
	}
	o.Done()
	return c
}

// ReadPatch parses a change of single cells and rows. It adds errors to faults. The result is
// nil if the text is not a single JSON object, and must not be applied if there are any
// faults.
func ReadPatch(text []byte, faults *jsondoc.FieldErrors) *Change {
	o := jsondoc.Parse(text, faults)
	if o == nil {
		return nil
	}
	c := &Change{
		Rows: map[identifier.Row]map[string]string{},
		Drop: map[identifier.Row]bool{},
	}
	readBase(o, c)
	for _, name := range o.Names("drop", maxRows) {
		if name == string(SiteRow) {
			faults.Invalid("drop", "the site row cannot be dropped")
		}
		c.Drop[identifier.Row(name)] = true
	}
	if cells := o.Object("cells"); cells != nil {
		for _, name := range cells.Keys() {
			readNamedCell(cells, name, c)
		}
	}
	if len(c.Rows) == 0 && len(c.Drop) == 0 && !faults.Any() {
		faults.Invalid("cells", "the change names no cell")
	}
	o.Done()
	return c
}

// readNamedCell reads a cell named "row.column".
func readNamedCell(o *jsondoc.Object, name string, c *Change) {
	rowName, column, ok := strings.Cut(name, ".")
	if !ok || !validRowName(rowName) && rowName != string(SiteRow) {
		o.Errors().Invalid(o.Path(name), "want row.column")
		return
	}
	row := identifier.Row(rowName)
	if c.Drop[row] {
		o.Errors().Invalid(o.Path(name), "row is dropped by the same change")
	}
	if c.Rows[row] == nil {
		c.Rows[row] = map[string]string{}
	}
	readCell(o, name, row, column, c.Rows[row])
}

func validRowName(name string) bool {
	return identifier.ValidName(name) && !strings.Contains(name, ".") && name != string(SiteRow)
}

func readBase(o *jsondoc.Object, c *Change) {
	if !o.Has("base") {
		o.Errors().Invalid("base", "want the epoch the change was made against")
	}
	c.Base = identifier.Epoch(o.Int("base", 0, 0, maxEpoch))
}

// readRow reads an object of cells. An empty policy is equivalent to none.
func readRow(o *jsondoc.Object, row identifier.Row) map[string]string {
	cells := map[string]string{}
	if o == nil {
		return cells
	}
	for _, column := range o.Keys() {
		readCell(o, column, row, column, cells)
		if isPolicy(row, column) && cells[column] == "" {
			delete(cells, column)
		}
	}
	return cells
}

// readCell reads the field key of o as the cell in the given row and column, and adds it to
// cells.
func readCell(o *jsondoc.Object, key string, row identifier.Row, column string, cells map[string]string) {
	c, ok := FindColumn(row, column)
	if !ok {
		o.Errors().Malformed(o.Path(key), "unknown column")
		o.Skip(key)
		return
	}
	text, ok := o.Scalar(key)
	if !ok {
		return
	}
	normal, err := c.Normalize(text)
	if err != nil {
		o.Errors().Invalid(o.Path(key), "%s", err)
		return
	}
	cells[column] = normal
}

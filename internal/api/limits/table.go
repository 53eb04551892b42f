package limits

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// DefaultRow is the row that a new table has.
const DefaultRow identifier.Row = "default"

// Table is the limits table in force.
type Table struct {
	// Epoch is the version of the table. Every change raises it by one, and so does
	// every change of the catalogue.
	Epoch identifier.Epoch                     `json:"epoch"`
	Rows  map[identifier.Row]map[string]string `json:"rows"`
	// ChangedAt is the epoch that last changed a cell ("row.column"), or added or
	// dropped a row ("row").
	ChangedAt map[string]identifier.Epoch `json:"marks"`
	// OldestBase is the oldest epoch that a change may be based on: what dropped rows
	// changed before it is forgotten.
	OldestBase identifier.Epoch `json:"floor"`
}

const (
	// maxRows bounds the rows, SiteRow not counted.
	maxRows = 512
	// maxDroppedCells is the number of cells of dropped rows above which they are
	// forgotten.
	maxDroppedCells = 4096
)

// ErrTooManyRows is returned by Apply when the table would have too many rows.
var ErrTooManyRows = errors.New("too many rows")

// Default is the table of a new cluster.
func Default() *Table {
	return &Table{
		Epoch: 1,
		Rows: map[identifier.Row]map[string]string{
			SiteRow:    fillRow(SiteColumns, nil),
			DefaultRow: fillRow(Columns, nil),
		},
		ChangedAt: map[string]identifier.Epoch{},
	}
}

// fillRow returns a row with the given cells and the defaults of the others.
func fillRow(columns []Column, cells map[string]string) map[string]string {
	row := map[string]string{}
	for _, column := range columns {
		text, ok := cells[column.Name]
		switch {
		case ok:
			row[column.Name] = text
		case !column.Policy:
			row[column.Name] = column.Default
		}
	}
	return row
}

// Cell is the text of a cell, empty when there is no such cell.
func (t *Table) Cell(row identifier.Row, column string) string { return t.Rows[row][column] }

// Int is the value of a numeric cell, 0 when it is missing or not a number.
func (t *Table) Int(row identifier.Row, column string) int64 {
	value, _ := strconv.ParseInt(t.Rows[row][column], 10, 64)
	return value
}

// SiteMillis is a span of the whole cluster, in milliseconds.
func (t *Table) SiteMillis(column string) clock.Millis { return clock.Millis(t.Int(SiteRow, column)) }

// HasRow tells whether the table has the row, which must not be SiteRow.
func (t *Table) HasRow(row identifier.Row) bool {
	_, ok := t.Rows[row]
	return ok && row != SiteRow
}

// RowNames lists the rows in order, without SiteRow.
func (t *Table) RowNames() []identifier.Row {
	var names []identifier.Row
	for name := range t.Rows {
		if name != SiteRow {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Conflicts lists the cells of the change that were changed after its base, "*" when the
// base is too old or unknown.
func (t *Table) Conflicts(c *Change) []string {
	if c.Base < t.OldestBase || c.Base > t.Epoch {
		return []string{"*"}
	}
	var cells []string
	for name, changedAt := range t.ChangedAt {
		if changedAt > c.Base && (c.Whole || c.names(name)) {
			cells = append(cells, name)
		}
	}
	slices.Sort(cells)
	return cells
}

// Dropped lists the rows that the change would drop, in order.
func (t *Table) Dropped(c *Change) []identifier.Row {
	var dropped []identifier.Row
	for _, row := range t.RowNames() {
		_, kept := c.Rows[row]
		if c.Drop[row] || c.Whole && !kept {
			dropped = append(dropped, row)
		}
	}
	return dropped
}

// Apply makes the change, of which the caller has made sure that it has no conflicts. It
// fails with ErrTooManyRows, and then changes nothing.
func (t *Table) Apply(c *Change) error {
	if t.rowsAfter(c) > maxRows+1 {
		return ErrTooManyRows
	}
	t.Epoch++
	for _, row := range t.Dropped(c) {
		delete(t.Rows, row)
		t.ChangedAt[string(row)] = t.Epoch
	}
	for row, cells := range c.Rows {
		t.applyRow(row, cells, c.Whole)
	}
	t.forgetDropped()
	return nil
}

// rowsAfter is the number of rows that the table would have, SiteRow included.
func (t *Table) rowsAfter(c *Change) int {
	count := len(t.Rows) - len(t.Dropped(c))
	for row := range c.Rows {
		if _, ok := t.Rows[row]; !ok {
			count++
		}
	}
	return count
}

// applyRow sets the given cells of a row. When the change is of the whole table the others
// return to their defaults.
func (t *Table) applyRow(name identifier.Row, cells map[string]string, whole bool) {
	previous, existed := t.Rows[name]
	if !existed {
		t.ChangedAt[string(name)] = t.Epoch
	}
	row := fillRow(columnsOf(name), previous)
	if whole {
		row = fillRow(columnsOf(name), nil)
	}
	for column, text := range cells {
		row[column] = text
		if text == "" && isPolicy(name, column) {
			delete(row, column)
		}
	}
	for column := range previous {
		if _, kept := row[column]; !kept {
			t.ChangedAt[cellName(name, column)] = t.Epoch
		}
	}
	for column, text := range row {
		if previous[column] != text || !whole && cells[column] != "" {
			t.ChangedAt[cellName(name, column)] = t.Epoch
		}
	}
	t.Rows[name] = row
}

// cellName is the name of a cell in changes and in ChangedAt. Names of rows have no dots.
func cellName(row identifier.Row, column string) string { return string(row) + "." + column }

// forgetDropped forgets when cells of dropped rows were changed, once there are many, and
// raises OldestBase so that no change is based on what was forgotten.
func (t *Table) forgetDropped() {
	if len(t.ChangedAt) <= maxDroppedCells+len(t.Rows)*(len(Columns)+1) {
		return
	}
	maps.DeleteFunc(t.ChangedAt, func(name string, changedAt identifier.Epoch) bool {
		row, _, _ := strings.Cut(name, ".")
		if _, ok := t.Rows[identifier.Row(row)]; ok {
			return false
		}
		t.OldestBase = max(t.OldestBase, changedAt)
		return true
	})
}

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

// Table is the current limits table.
type Table struct {
	// Epoch is the version of the table. Every change of the table or of the catalogue
	// increments it.
	Epoch identifier.Epoch                     `json:"epoch"`
	Rows  map[identifier.Row]map[string]string `json:"rows"`
	// ChangedAt maps a cell ("row.column") to the epoch that last changed it, and a row
	// ("row") to the epoch that last added or dropped it.
	ChangedAt map[string]identifier.Epoch `json:"marks"`
	// OldestBase is the oldest epoch that a change may be based on: the history of rows
	// dropped before it has been discarded.
	OldestBase identifier.Epoch `json:"floor"`
}

const (
	// maxRows bounds the number of rows, not counting SiteRow.
	maxRows = 512
	// maxDroppedCells is the number of cells of dropped rows above which their history is
	// discarded.
	maxDroppedCells = 4096
)

// ErrTooManyRows is returned by Apply if the table would have too many rows.
var ErrTooManyRows = errors.New("too many rows")

// Default returns the table of a new cluster.
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

// fillRow returns a row with the given cells, and defaults for all others.
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

// Cell returns the text of a cell, empty if there is no such cell.
func (t *Table) Cell(row identifier.Row, column string) string { return t.Rows[row][column] }

// Int returns the value of a numeric cell, 0 if it is missing or not a number.
func (t *Table) Int(row identifier.Row, column string) int64 {
	value, _ := strconv.ParseInt(t.Rows[row][column], 10, 64)
	return value
}

// SiteMillis returns the value of a column of SiteRow that holds a duration.
func (t *Table) SiteMillis(column string) clock.Millis { return clock.Millis(t.Int(SiteRow, column)) }

// HasRow reports whether the table has the row; it returns false for SiteRow.
func (t *Table) HasRow(row identifier.Row) bool {
	_, ok := t.Rows[row]
	return ok && row != SiteRow
}

// RowNames lists the rows except SiteRow, sorted by name.
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

// Conflicts lists the cells of the change that were changed after its base, sorted by name.
// It returns "*" if the base is too old or unknown.
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

// Dropped lists the rows that the change would drop, sorted by name.
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

// Apply applies the change. The caller must have checked that it has no conflicts. If the
// table would have too many rows, Apply returns ErrTooManyRows and changes nothing.
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
	t.pruneDropped()
	return nil
}

// rowsAfter returns the number of rows that the table would have after the change, including
// SiteRow.
func (t *Table) rowsAfter(c *Change) int {
	count := len(t.Rows) - len(t.Dropped(c))
	for row := range c.Rows {
		if _, ok := t.Rows[row]; !ok {
			count++
		}
	}
	return count
}

// applyRow sets the given cells of a row. If the change replaces the whole table, all other
// cells return to their defaults.
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

// cellName returns the name of a cell in changes and in ChangedAt. Row names have no dots.
func cellName(row identifier.Row, column string) string { return string(row) + "." + column }

// pruneDropped discards the history of dropped rows once it exceeds maxDroppedCells, and
// raises OldestBase so that no change can be based on an epoch whose history is incomplete.
func (t *Table) pruneDropped() {
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

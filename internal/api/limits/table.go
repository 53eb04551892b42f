// Table holds the cells in force and applies changes to them. A change bears
// the epoch it was made against; it loses only to a later change of a cell it
// names itself, or, for a whole table, of any cell.

package limits

import (
	"sort"
	"strconv"
	"strings"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// Table is the limits table in force. Epoch is its version; every change raises
// it by one, and so does every change of the catalogue. Marks tells which version
// last changed a cell ("row.column") or a whole row ("row"). A change based on a
// version below Floor is refused, since marks that old may have been dropped.
type Table struct {
	Epoch      identifier.Epoch                     `json:"epoch"`
	Rows       map[identifier.Row]map[string]string `json:"rows"`
	ChangedAt  map[string]identifier.Epoch          `json:"marks"`
	OldestBase identifier.Epoch                     `json:"floor"`
}

const maxRows = 512

// Default is the table of a site that has configured nothing yet: one row.
func Default() *Table {
	t := &Table{Epoch: 1, Rows: map[identifier.Row]map[string]string{}, ChangedAt: map[string]identifier.Epoch{}}
	t.Rows[SiteRow] = fill(SiteColumns, nil)
	t.Rows["default"] = fill(Columns, nil)
	return t
}

func fill(cols []Column, from map[string]string) map[string]string {
	row := map[string]string{}
	for _, c := range cols {
		text, ok := from[c.Name]
		switch {
		case ok:
			row[c.Name] = text
		case !c.Policy:
			row[c.Name] = c.Default
		}
	}
	return row
}

// Cell is the text of a cell, empty when there is no such cell.
func (t *Table) Cell(row identifier.Row, name string) string { return t.Rows[row][name] }

// Int is the value of a numeric cell, 0 when it is missing or no number.
func (t *Table) Int(row identifier.Row, name string) int64 {
	n, _ := strconv.ParseInt(t.Rows[row][name], 10, 64)
	return n
}

// SiteMillis is a site-wide span in milliseconds.
func (t *Table) SiteMillis(name string) clock.Millis { return clock.Millis(t.Int(SiteRow, name)) }

// HasRow tells whether the table has this pending row; SiteRow is none.
func (t *Table) HasRow(row identifier.Row) bool {
	_, ok := t.Rows[row]
	return ok && row != SiteRow
}

// RowNames lists the pending rows in order, the site row left out.
func (t *Table) RowNames() []identifier.Row {
	var out []identifier.Row
	for r := range t.Rows {
		if r != SiteRow {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// Conflicts names the cells of the change that were changed after its base.
func (t *Table) Conflicts(c *Change) []string {
	var cells []string
	if c.Base < t.OldestBase || c.Base > t.Epoch {
		return []string{"*"}
	}
	for name, at := range t.ChangedAt {
		if at > c.Base && (c.Whole || c.names(name)) {
			cells = append(cells, name)
		}
	}
	sort.Strings(cells)
	return cells
}

// Dropped lists the rows that the change would take away.
func (t *Table) Dropped(c *Change) []identifier.Row {
	var rows []identifier.Row
	for _, r := range t.RowNames() {
		if _, kept := c.Rows[r]; c.Drop[r] || (c.Whole && !kept) {
			rows = append(rows, r)
		}
	}
	return rows
}

// Apply makes the change as one epoch; the caller has asked Clash first. It
// changes nothing and says false when the rows would become too many.
func (t *Table) Apply(c *Change) bool {
	sum := len(t.Rows) - len(t.Dropped(c))
	for r := range c.Rows {
		if _, had := t.Rows[r]; !had {
			sum++
		}
	}
	if sum > maxRows+1 {
		return false
	}
	t.Epoch++
	for _, r := range t.Dropped(c) {
		delete(t.Rows, r)
		t.ChangedAt[string(r)] = t.Epoch
	}
	for r, cells := range c.Rows {
		old, had := t.Rows[r]
		cols := Columns
		if r == SiteRow {
			cols = SiteColumns
		}
		if !had {
			t.ChangedAt[string(r)] = t.Epoch
		}
		row := fill(cols, old)
		if c.Whole {
			row = fill(cols, nil)
		}
		for k, v := range cells {
			row[k] = v
			if v == "" && source(r, k) {
				delete(row, k)
			}
		}
		for k := range old {
			if _, kept := row[k]; !kept {
				t.ChangedAt[string(r)+"."+k] = t.Epoch
			}
		}
		for k, v := range row {
			if old[k] != v || (!c.Whole && cells[k] != "") {
				t.ChangedAt[string(r)+"."+k] = t.Epoch
			}
		}
		t.Rows[r] = row
	}
	t.prune()
	return true
}

// prune forgets marks of rows long gone, raising the floor below which a base
// is too old to be judged.
func (t *Table) prune() {
	const keep = 4096
	if len(t.ChangedAt) <= keep+len(t.Rows)*(len(Columns)+1) {
		return
	}
	for name, at := range t.ChangedAt {
		row, _, _ := strings.Cut(name, ".")
		if _, ok := t.Rows[identifier.Row(row)]; !ok {
			if at > t.OldestBase {
				t.OldestBase = at
			}
			delete(t.ChangedAt, name)
		}
	}
}

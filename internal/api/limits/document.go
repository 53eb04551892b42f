package limits

import (
	"encoding/json"
	"fmt"
	"strconv"

	"orchidward/internal/api/identifier"
)

// document is the JSON form of the table that ReadWhole accepts, without the base.
type document struct {
	Epoch identifier.Epoch          `json:"epoch"`
	Rows  map[string]map[string]any `json:"rows"`
	Site  map[string]any            `json:"site"`
}

// JSON returns the table in the form that ReadWhole accepts, without the base.
func (t *Table) JSON() []byte {
	doc := document{
		Epoch: t.Epoch,
		Rows:  map[string]map[string]any{},
		Site:  documentRow(SiteColumns, t.Rows[SiteRow]),
	}
	for _, name := range t.RowNames() {
		doc.Rows[string(name)] = documentRow(Columns, t.Rows[name])
	}
	text, err := json.Marshal(doc)
	if err != nil {
		panic(fmt.Sprintf("limits: encoding a table: %v", err))
	}
	return text
}

// documentRow returns the cells of a row, with numeric cells as numbers.
func documentRow(columns []Column, row map[string]string) map[string]any {
	cells := map[string]any{}
	for _, column := range columns {
		text := row[column.Name]
		value, err := strconv.ParseInt(text, 10, 64)
		if err == nil && column.numeric() {
			cells[column.Name] = value
			continue
		}
		cells[column.Name] = text
	}
	return cells
}

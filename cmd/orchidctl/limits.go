package main

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/limits"
)

// siteRow is the row name of the site-wide cells in CSV and on the command line.
const siteRow = string(limits.SiteRow)

type limitsCommand struct {
	Get limitsGet     `cmd:"" help:"Show the table."`
	Csv limitsCSV     `cmd:"" help:"Write the table as CSV."`
	Put limitsReplace `cmd:"" help:"Replace the whole table from CSV (.csv) or JSON."`
	Set limitsSet     `cmd:"" help:"Change cells: row.column=value ..."`
}

// limitsTable is the limits table as the API returns it. A cell is a number or a string.
type limitsTable struct {
	Epoch int64                     `json:"epoch"`
	Site  map[string]any            `json:"site"`
	Rows  map[string]map[string]any `json:"rows"`
}

func (a *api) limits() (table limitsTable, text []byte, err error) {
	if text, err = a.call(http.MethodGet, endpoint.LimitsPath, nil); err != nil {
		return table, nil, err
	}
	return table, text, json.Unmarshal(text, &table)
}

func formatCell(value any) string {
	if number, ok := value.(float64); ok {
		return strconv.FormatInt(int64(number), 10)
	}
	return fmt.Sprint(value)
}

// records returns the table as CSV records: a header, one record for each row, and one for
// each site-wide cell.
func (t limitsTable) records() [][]string {
	header := []string{"row"}
	for _, column := range limits.Columns {
		header = append(header, column.Name)
	}
	records := [][]string{header}
	for _, name := range slices.Sorted(maps.Keys(t.Rows)) {
		record := []string{name}
		for _, column := range limits.Columns {
			record = append(record, formatCell(t.Rows[name][column.Name]))
		}
		records = append(records, record)
	}
	for _, column := range limits.SiteColumns {
		records = append(records, []string{siteRow, column.Name, formatCell(t.Site[column.Name])})
	}
	return records
}

type limitsGet struct{}

// Run shows the table.
func (c *limitsGet) Run(a *api) error {
	table, text, err := a.limits()
	if err != nil {
		return err
	}
	if a.printRaw {
		fmt.Println(string(text))
		return nil
	}
	fmt.Printf("epoch %d\n", table.Epoch)
	for _, record := range table.records() {
		fmt.Println(strings.Join(record, "\t"))
	}
	return nil
}

type limitsCSV struct{}

// Run writes the table as CSV.
func (c *limitsCSV) Run(a *api) error {
	table, _, err := a.limits()
	if err != nil {
		return err
	}
	return csv.NewWriter(os.Stdout).WriteAll(table.records())
}

// rawObject is a JSON object whose values are forwarded unparsed; the cluster validates them.
type rawObject map[string]json.RawMessage

type limitsReplace struct {
	File string `arg:"" help:"FILE.csv or FILE.json, or - for JSON on standard input"`
	Base int64  `help:"Epoch the change was made against; the present one if left out."`
}

// Run replaces the whole table.
func (c *limitsReplace) Run(a *api) error {
	text, err := readFile(c.File)
	if err != nil {
		return err
	}
	document, err := readTable(c.File, text)
	if err != nil {
		return err
	}
	delete(document, "epoch")
	if _, given := document["base"]; !given {
		base, err := a.baseEpoch(c.Base)
		if err != nil {
			return err
		}
		document["base"] = json.RawMessage(strconv.FormatInt(base, 10))
	}
	return a.changeLimits(http.MethodPut, document)
}

// baseEpoch returns the epoch given on the command line or, if that is 0, the epoch of the
// current table.
func (a *api) baseEpoch(given int64) (int64, error) {
	if given != 0 {
		return given, nil
	}
	table, _, err := a.limits()
	return table.Epoch, err
}

// readTable parses a table from CSV if the file name ends in .csv, and from JSON otherwise.
func readTable(name string, text []byte) (rawObject, error) {
	if strings.HasSuffix(name, ".csv") {
		var err error
		if text, err = csvToJSON(text); err != nil {
			return nil, err
		}
	}
	document := rawObject{}
	if err := json.Unmarshal(text, &document); err != nil {
		return nil, usageError{"the file is not JSON: " + err.Error()}
	}
	return document, nil
}

// csvTable is a table read from CSV; all cells are strings.
type csvTable struct {
	Site map[string]string            `json:"site"`
	Rows map[string]map[string]string `json:"rows"`
}

// csvToJSON converts the CSV that limitsCSV writes to JSON.
func csvToJSON(text []byte) ([]byte, error) {
	reader := csv.NewReader(bytes.NewReader(text))
	reader.FieldsPerRecord = -1
	records, err := reader.ReadAll()
	if err != nil || len(records) == 0 {
		return nil, usageError{fmt.Sprintf("the file is not CSV: %v", err)}
	}
	header := records[0]
	table := csvTable{Site: map[string]string{}, Rows: map[string]map[string]string{}}
	for i, record := range records[1:] {
		if record[0] == siteRow && len(record) >= 3 {
			table.Site[record[1]] = record[2]
			continue
		}
		if len(record) != len(header) || table.Rows[record[0]] != nil {
			return nil, usageError{fmt.Sprintf("line %d: want %d cells and a row named once", i+2, len(header))}
		}
		row := map[string]string{}
		for n, name := range header[1:] {
			row[name] = record[n+1]
		}
		table.Rows[record[0]] = row
	}
	return json.Marshal(table)
}

type limitsSet struct {
	Cells []string `arg:"" optional:"" help:"row.column=value; a row not there yet is made"`
	Drop  []string `help:"Rows to take out."`
	Base  int64    `help:"Epoch the change was made against; the present one if left out."`
}

// limitsPatch is a request that changes some cells and drops some rows.
type limitsPatch struct {
	Base  int64             `json:"base"`
	Cells map[string]string `json:"cells"`
	Drop  []string          `json:"drop,omitempty"`
}

// Run changes cells.
func (c *limitsSet) Run(a *api) error {
	patch := limitsPatch{Cells: map[string]string{}, Drop: c.Drop}
	for _, cell := range c.Cells {
		name, value, ok := strings.Cut(cell, "=")
		if !ok || !strings.Contains(name, ".") {
			return usageError{"a cell is given as row.column=value, have " + cell}
		}
		patch.Cells[name] = value
	}
	if len(patch.Cells)+len(patch.Drop) == 0 {
		return usageError{"name at least one cell or row"}
	}
	var err error
	if patch.Base, err = a.baseEpoch(c.Base); err != nil {
		return err
	}
	return a.changeLimits(http.MethodPatch, patch)
}

// changedLimits is the response to a change.
type changedLimits struct {
	Epoch int64 `json:"epoch"`
}

func (a *api) changeLimits(method string, change any) error {
	text, err := json.Marshal(change)
	if err != nil {
		return err
	}
	return callAndShow(a, method, endpoint.LimitsPath, text, func(changed changedLimits) {
		fmt.Printf("epoch %v\n", changed.Epoch)
	})
}

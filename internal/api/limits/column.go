// Package limits is the operators' one table: rows are the pending queues,
// columns their weights and limits, and one more row, "site", has the few
// cells that hold for the whole site. Cells are kept as text, as a spreadsheet
// would, and every cell remembers the epoch that last changed it.
package limits

import (
	"strconv"
	"strings"

	"orchidward/internal/api/identifier"
	"orchidward/internal/scheduler/policy"
)

// Column says what a cell may hold: a number between two bounds, one of some
// words, or a set of labels ("*" for any).
type Column struct {
	Name  string
	Def   string
	Low   int64
	High  int64
	Words []string
	Set   bool
	// Source marks a cell that holds a policy. It stands in a row only when it
	// is given: a table without one is the same as it was before there were any.
	Source bool
}

const big = 1 << 40

// Columns are the cells of a pending row, with their defaults and bounds. Cores
// are whole cores, memory is in mebibytes.
var Columns = []Column{
	{Name: "weight", Def: "1", Low: 1, High: 10000},
	{Name: "maxCores", Def: "1000000", Low: 0, High: big},
	{Name: "maxMemMb", Def: "1000000000", Low: 0, High: big},
	{Name: "maxWaiting", Def: "20000", Low: 0, High: 1000000},
	{Name: "maxTasks", Def: "1024", Low: 1, High: 4096},
	{Name: "taskCores", Def: "1024", Low: 1, High: big},
	{Name: "taskMemMb", Def: "1048576", Low: 1, High: big},
	{Name: "maxUrgency", Def: "10", Low: 0, High: 1000},
	{Name: "labels", Def: "*", Set: true},
	{Name: "onOutage", Def: "wait", Words: []string{"push", "wait", "ride"}},
	{Name: "onLoss", Def: "replace", Words: []string{"replace", "hold"}},
	{Name: "policy", Source: true},
}

// Site are the cells that hold for the whole site. Names that end in Ms are in
// milliseconds, those that end in Pct in percent.
var Site = []Column{
	{Name: "evacMs", Def: "5000", Low: 1000, High: 600000},
	{Name: "drainMs", Def: "2000", Low: 500, High: 600000},
	{Name: "departMarginMs", Def: "3000", Low: 500, High: 600000},
	{Name: "grantMs", Def: "10000", Low: 3000, High: 600000},
	{Name: "startMs", Def: "1000", Low: 300, High: 1500},
	{Name: "confirmMs", Def: "3000", Low: 1000, High: 60000},
	{Name: "thresholdPct", Def: "10", Low: 0, High: 100},
	{Name: "retainMs", Def: "600000", Low: 1000, High: 86400000},
	{Name: "knownMs", Def: "86400000", Low: 60000, High: 604800000},
}

// SiteRow is the row name under which the site-wide cells are addressed.
const SiteRow identifier.Row = "site"

// Find looks up a column by name, in Site for the row SiteRow and in Columns for
// any other; the row need not exist.
func Find(row identifier.Row, name string) (col Column, ok bool) {
	list := Columns
	if row == SiteRow {
		list = Site
	}
	for _, c := range list {
		if c.Name == name {
			return c, true
		}
	}
	return col, false
}

// source tells whether a cell holds a policy.
func source(row identifier.Row, name string) bool {
	col, _ := Find(row, name)
	return col.Source
}

// Check puts a cell's text in normal form, or says why it cannot stand.
func (c Column) Check(text string) (out string, why string) {
	text = strings.TrimSpace(text)
	switch {
	case c.Set:
		return checkSet(text)
	case c.Source:
		return checkSource(text)
	case c.Words != nil:
		for _, w := range c.Words {
			if w == text {
				return text, ""
			}
		}
		return "", "want one of " + strings.Join(c.Words, ", ")
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < c.Low || n > c.High {
		return "", "want a whole number from " + strconv.FormatInt(c.Low, 10) + " to " + strconv.FormatInt(c.High, 10)
	}
	return strconv.FormatInt(n, 10), ""
}

func checkSource(text string) (out string, why string) {
	if text == "" {
		return "", ""
	}
	if _, err := policy.Compile(text); err != nil {
		return "", err.Error()
	}
	return text, ""
}

func checkSet(text string) (out string, why string) {
	list := strings.Fields(text)
	if len(list) > 16 {
		return "", "at most 16 labels"
	}
	for _, l := range list {
		if l != "*" && !identifier.ValidName(l) {
			return "", "want labels parted by spaces, or *"
		}
	}
	return strings.Join(list, " "), ""
}

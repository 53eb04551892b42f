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
	Name     string
	Default  string
	Min      int64
	Max      int64
	Enum     []string
	LabelSet bool
	// Policy marks a cell that holds a policy. It stands in a row only when it
	// is given: a table without one is the same as it was before there were any.
	Policy bool
}

// Names of the columns of a row.
const (
	ColumnWeight     = "weight"
	ColumnMaxCores   = "maxCores"
	ColumnMaxMem     = "maxMemMb"
	ColumnMaxWaiting = "maxWaiting"
	ColumnMaxTasks   = "maxTasks"
	ColumnTaskCores  = "taskCores"
	ColumnTaskMem    = "taskMemMb"
	ColumnMaxUrgency = "maxUrgency"
	ColumnLabels     = "labels"
	ColumnOnOutage   = "onOutage"
	ColumnOnLoss     = "onLoss"
	ColumnPolicy     = "policy"
)

// Names of the columns of SiteRow.
const (
	SiteEvacuation        = "evacMs"
	SiteDrain             = "drainMs"
	SiteDepartureMargin   = "departMarginMs"
	SiteLeaseSpan         = "grantMs"
	SiteStartTimeout      = "startMs"
	SiteConfirmTimeout    = "confirmMs"
	SiteStopThreshold     = "thresholdPct"
	SiteJobRetention      = "retainMs"
	SiteRememberedJobSpan = "knownMs"
)

// Values of ColumnOnOutage: what becomes of displaced tasks that fit nowhere else.
const (
	// OnOutagePreempt preempts strictly cheaper work for them.
	OnOutagePreempt = "push"
	// OnOutageWait places them before other work, once there are resources.
	OnOutageWait = "wait"
	// OnOutageSuspend suspends them until the drain is over.
	OnOutageSuspend = "ride"
)

// Values of ColumnOnLoss: what becomes of the tasks of a lost runner.
const (
	// OnLossReplace places them on another runner.
	OnLossReplace = "replace"
	// OnLossAwaitRunner keeps them until the runner reports again.
	OnLossAwaitRunner = "hold"
)

// maxAmount is the upper bound of cells for amounts of resources.
const maxAmount = 1 << 40

// Columns are the cells of a pending row, with their defaults and bounds. Cores
// are whole cores, memory is in mebibytes.
var Columns = []Column{
	{Name: ColumnWeight, Default: "1", Min: 1, Max: 10000},
	{Name: ColumnMaxCores, Default: "1000000", Min: 0, Max: maxAmount},
	{Name: ColumnMaxMem, Default: "1000000000", Min: 0, Max: maxAmount},
	{Name: ColumnMaxWaiting, Default: "20000", Min: 0, Max: 1000000},
	{Name: ColumnMaxTasks, Default: "1024", Min: 1, Max: 4096},
	{Name: ColumnTaskCores, Default: "1024", Min: 1, Max: maxAmount},
	{Name: ColumnTaskMem, Default: "1048576", Min: 1, Max: maxAmount},
	{Name: ColumnMaxUrgency, Default: "10", Min: 0, Max: 1000},
	{Name: ColumnLabels, Default: "*", LabelSet: true},
	{Name: ColumnOnOutage, Default: OnOutageWait, Enum: []string{OnOutagePreempt, OnOutageWait, OnOutageSuspend}},
	{Name: ColumnOnLoss, Default: OnLossReplace, Enum: []string{OnLossReplace, OnLossAwaitRunner}},
	{Name: ColumnPolicy, Policy: true},
}

// SiteColumns are the cells that hold for the whole site. Names that end in Ms are in
// milliseconds, those that end in Pct in percent.
var SiteColumns = []Column{
	{Name: SiteEvacuation, Default: "5000", Min: 1000, Max: 600000},
	{Name: SiteDrain, Default: "2000", Min: 500, Max: 600000},
	{Name: SiteDepartureMargin, Default: "3000", Min: 500, Max: 600000},
	{Name: SiteLeaseSpan, Default: "10000", Min: 3000, Max: 600000},
	{Name: SiteStartTimeout, Default: "1000", Min: 300, Max: 1500},
	{Name: SiteConfirmTimeout, Default: "3000", Min: 1000, Max: 60000},
	{Name: SiteStopThreshold, Default: "10", Min: 0, Max: 100},
	{Name: SiteJobRetention, Default: "600000", Min: 1000, Max: 86400000},
	{Name: SiteRememberedJobSpan, Default: "86400000", Min: 60000, Max: 604800000},
}

// SiteRow is the row name under which the site-wide cells are addressed.
const SiteRow identifier.Row = "site"

// FindColumn looks up a column by name, in Site for the row SiteRow and in Columns for
// any other; the row need not exist.
func FindColumn(row identifier.Row, name string) (col Column, ok bool) {
	list := Columns
	if row == SiteRow {
		list = SiteColumns
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
	col, _ := FindColumn(row, name)
	return col.Policy
}

// Normalize puts a cell's text in normal form, or says why it cannot stand.
func (c Column) Normalize(text string) (out string, why string) {
	text = strings.TrimSpace(text)
	switch {
	case c.LabelSet:
		return checkSet(text)
	case c.Policy:
		return checkSource(text)
	case c.Enum != nil:
		for _, w := range c.Enum {
			if w == text {
				return text, ""
			}
		}
		return "", "want one of " + strings.Join(c.Enum, ", ")
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < c.Min || n > c.Max {
		return "", "want a whole number from " + strconv.FormatInt(c.Min, 10) + " to " + strconv.FormatInt(c.Max, 10)
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

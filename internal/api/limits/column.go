package limits

import (
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"orchidward/internal/api/identifier"
	"orchidward/internal/scheduler/policy"
)

// Column defines the valid cells of a column: a number between two bounds, one of a set of
// words, a set of labels ("*" for any), or a policy.
type Column struct {
	Name    string
	Default string
	// Min and Max are the bounds of a number.
	Min int64
	Max int64
	// Enum lists the valid words of a column of words.
	Enum     []string
	LabelSet bool
	// Policy marks a column of placement policies. A row has the cell only if a policy is
	// set, so that a table without policies is identical to one from before policies were
	// introduced.
	Policy bool
}

// numeric reports whether the cells are numbers.
func (c Column) numeric() bool { return c.Enum == nil && !c.LabelSet && !c.Policy }

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

// Values of ColumnOnOutage: how displaced tasks that fit on no other runner are handled.
const (
	// OnOutagePreempt preempts strictly cheaper work in favour of the displaced tasks.
	OnOutagePreempt = "push"
	// OnOutageWait places the displaced tasks before other work, once resources are free.
	OnOutageWait = "wait"
	// OnOutageSuspend suspends the displaced tasks until the drain ends.
	OnOutageSuspend = "ride"
)

// Values of ColumnOnLoss: how the tasks of a lost runner are handled.
const (
	// OnLossReplace places the tasks on another runner.
	OnLossReplace = "replace"
	// OnLossAwaitRunner holds the tasks until the runner reports again.
	OnLossAwaitRunner = "hold"
)

// maxAmount is the upper bound of cells that hold an amount of resources.
const maxAmount = 1 << 40

// Columns lists the columns of every row except SiteRow, with their defaults and bounds.
// Memory is in mebibytes.
var Columns = []Column{
	{Name: ColumnWeight, Default: "1", Min: 1, Max: 10000},
	{Name: ColumnMaxCores, Default: "1000000", Min: 0, Max: maxAmount},
	{Name: ColumnMaxMem, Default: "1000000000", Min: 0, Max: maxAmount},
	{Name: ColumnMaxWaiting, Default: "20000", Min: 0, Max: 1000000},
	{Name: ColumnMaxTasks, Default: "1024", Min: 1, Max: 4096},
	{Name: ColumnTaskCores, Default: "1024", Min: 1, Max: maxAmount},
	{Name: ColumnTaskMem, Default: "1048576", Min: 1, Max: maxAmount},
	{Name: ColumnMaxUrgency, Default: "10", Min: 0, Max: 1000},
	{Name: ColumnLabels, Default: AnyLabel, LabelSet: true},
	{Name: ColumnOnOutage, Default: OnOutageWait, Enum: []string{OnOutagePreempt, OnOutageWait, OnOutageSuspend}},
	{Name: ColumnOnLoss, Default: OnLossReplace, Enum: []string{OnLossReplace, OnLossAwaitRunner}},
	{Name: ColumnPolicy, Policy: true},
}

// SiteColumns lists the columns of SiteRow. Values of columns whose names end in Ms are in
// milliseconds, those of columns whose names end in Pct in percent.
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

// SiteRow is the row with the settings of the whole cluster.
const SiteRow identifier.Row = "site"

// columnsOf returns the columns of a row. The row need not exist.
func columnsOf(row identifier.Row) []Column {
	if row == SiteRow {
		return SiteColumns
	}
	return Columns
}

// FindColumn looks up a column of a row by name. The row need not exist.
func FindColumn(row identifier.Row, name string) (column Column, ok bool) {
	for _, c := range columnsOf(row) {
		if c.Name == name {
			return c, true
		}
	}
	return Column{}, false
}

// isPolicy reports whether a cell is a policy.
func isPolicy(row identifier.Row, name string) bool {
	column, _ := FindColumn(row, name)
	return column.Policy
}

// Normalize returns a cell's text in canonical form, or an error if it is not valid.
func (c Column) Normalize(text string) (string, error) {
	text = strings.TrimSpace(text)
	switch {
	case c.LabelSet:
		return normalizeLabels(text)
	case c.Policy:
		return normalizePolicy(text)
	case c.Enum != nil:
		if !slices.Contains(c.Enum, text) {
			return "", errors.Errorf("want one of %s", strings.Join(c.Enum, ", "))
		}
		return text, nil
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < c.Min || value > c.Max {
		return "", errors.Errorf("want a whole number from %d to %d", c.Min, c.Max)
	}
	return strconv.FormatInt(value, 10), nil
}

func normalizePolicy(text string) (string, error) {
	if text == "" {
		return "", nil
	}
	if _, err := policy.Compile(text); err != nil {
		return "", err
	}
	return text, nil
}

const (
	// AnyLabel allows every label if it is in a set of labels.
	AnyLabel = "*"
	// maxLabels bounds the labels of a cell.
	maxLabels = 16
)

func normalizeLabels(text string) (string, error) {
	labels := strings.Fields(text)
	if len(labels) > maxLabels {
		return "", errors.Errorf("at most %d labels", maxLabels)
	}
	for _, label := range labels {
		if label != AnyLabel && !identifier.ValidName(label) {
			return "", errors.New("want labels parted by spaces, or *")
		}
	}
	return strings.Join(labels, " "), nil
}

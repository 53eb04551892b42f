package limits

import (
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"orchidward/internal/api/identifier"
	"orchidward/internal/scheduler/policy"
)

// Column is what the cells of one column may be: a number between two bounds, one of some
// words, a set of labels ("*" for any), or a policy.
type Column struct {
	Name    string
	Default string
	// Min and Max are the bounds of a number.
	Min int64
	Max int64
	// Enum has the words of a column of words.
	Enum     []string
	LabelSet bool
	// Policy marks a column of placement policies. A row has the cell only when it is
	// given, so that a table without policies is the same as one from before there were
	// any.
	Policy bool
}

// numeric tells whether the cells are numbers.
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

// Columns are the columns of every row but SiteRow, with their defaults and bounds. Memory
// is in mebibytes.
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

// SiteColumns are the columns of SiteRow. Those whose names end in Ms are in milliseconds,
// those that end in Pct in percent.
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

// SiteRow is the row of the settings of the whole cluster.
const SiteRow identifier.Row = "site"

// columnsOf lists the columns of a row, which need not exist.
func columnsOf(row identifier.Row) []Column {
	if row == SiteRow {
		return SiteColumns
	}
	return Columns
}

// FindColumn looks up a column of a row, which need not exist, by its name.
func FindColumn(row identifier.Row, name string) (column Column, ok bool) {
	for _, c := range columnsOf(row) {
		if c.Name == name {
			return c, true
		}
	}
	return Column{}, false
}

// isPolicy tells whether a cell is a policy.
func isPolicy(row identifier.Row, name string) bool {
	column, _ := FindColumn(row, name)
	return column.Policy
}

// Normalize returns a cell's text in normal form, or why it is not valid.
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
	// AnyLabel in a set of labels allows every label.
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

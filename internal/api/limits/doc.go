// Package limits is the operators' table of limits: a row for each class of jobs, with its
// weight and limits, and one more row, [SiteRow], with the settings of the whole cluster.
// Cells are kept as text. The input is changes in JSON, of the complete table
// ([ReadWhole]) or of single cells ([ReadPatch]); the output is the table in force
// ([Table]) and its cells.
//
// Every cell remembers the version that last changed it, so that a change is rejected only
// when a cell that it names was changed after the version it is based on.
//
// Begin with column.go (every column and its default); table.go applies changes, change.go
// reads them.
package limits

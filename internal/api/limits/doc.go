// Package limits holds the operators' table of limits: a row for each class of jobs, with its
// weight and limits, and a further row, [SiteRow], with the settings of the whole cluster.
// Cells are stored as text. The input is changes in JSON, either of the complete table
// ([ReadWhole]) or of single cells ([ReadPatch]); the output is the current table ([Table])
// and its cells.
//
// The table records for every cell the version that last changed it, so that a change is
// rejected only if a cell that it names was changed after the version it is based on.
//
// Start with column.go, which defines every column and its default; table.go applies changes,
// and change.go reads them.
package limits

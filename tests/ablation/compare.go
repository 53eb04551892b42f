package main

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// allDays is the day name of the row that covers all days.
const allDays = "all"

// row compares a version with the first version, over the copies of one day or over all days.
type row struct {
	version string
	day     string
	pairs   int
	// mean is the mean of the version's scores. difference is the mean of the paired
	// differences from the first version, and standardError its standard error.
	mean          float64
	difference    float64
	standardError float64
	broken        int
}

// compare returns the rows of all versions. Those of the first version have differences of 0.
func compare(results []versionResult) []row {
	base := map[string]dayResult{}
	for _, day := range results[0].days {
		base[day.Name] = day
	}
	var rows []row
	for _, version := range results {
		byDay := map[string][]dayResult{}
		for _, day := range version.days {
			if _, ok := base[day.Name]; !ok || strings.HasPrefix(day.Name, freshDay) {
				continue
			}
			name := originalDay(day.Name)
			byDay[name] = append(byDay[name], day)
			byDay[allDays] = append(byDay[allDays], day)
		}
		for _, name := range sortedDays(byDay) {
			rows = append(rows, newRow(version.version, name, byDay[name], base))
		}
	}
	return rows
}

// sortedDays returns the names of the days, with allDays first and the others sorted.
func sortedDays(byDay map[string][]dayResult) []string {
	var names []string
	for name := range byDay {
		if name != allDays {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return append([]string{allDays}, names...)
}

func newRow(version, day string, days []dayResult, base map[string]dayResult) row {
	r := row{version: version, day: day, pairs: len(days)}
	var scores, differences []float64
	for _, result := range days {
		scores = append(scores, result.Score)
		differences = append(differences, result.Score-base[result.Name].Score)
		if result.broken() {
			r.broken++
		}
	}
	if len(days) == 0 {
		return r
	}
	r.mean = stat.Mean(scores, nil)
	var deviation float64
	r.difference, deviation = stat.MeanStdDev(differences, nil)
	if len(days) > 1 {
		r.standardError = stat.StdErr(deviation, float64(len(differences)))
	} else {
		r.standardError = math.NaN()
	}
	return r
}

func printRows(w io.Writer, site string, rows []row) {
	fmt.Fprintf(w, "%s\n| version | day | pairs | score | difference | standard error | broken |\n", site)
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- |")
	for _, r := range rows {
		fmt.Fprintf(w, "| %s | %s | %d | %.3f | %+.3f | %.3f | %d |\n",
			r.version, r.day, r.pairs, r.mean, r.difference, r.standardError, r.broken)
	}
}

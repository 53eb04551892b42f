package main

import (
	"os"

	"github.com/wcharczuk/go-chart/v2"
)

// Sizes of the plot, in pixels.
const (
	plotHeight   = 480
	plotMargin   = 160
	plotBarWidth = 60
	plotBarGap   = 50
)

// plot draws the mean score of each version over all days. It draws nothing if there is only
// one version.
func plot(path string, rows []row) error {
	var bars []chart.Value
	for _, r := range rows {
		if r.day == allDays {
			bars = append(bars, chart.Value{Label: r.version, Value: r.mean})
		}
	}
	if len(bars) < 2 {
		return nil
	}
	graph := chart.BarChart{
		Title:      "mean score of all days",
		Height:     plotHeight,
		Width:      plotMargin + len(bars)*(plotBarWidth+plotBarGap),
		BarWidth:   plotBarWidth,
		BarSpacing: plotBarGap,
		YAxis:      chart.YAxis{Range: &chart.ContinuousRange{Min: 0, Max: 1}},
		Bars:       bars,
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := graph.Render(chart.SVG, file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

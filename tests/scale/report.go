package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"slices"

	"github.com/wcharczuk/go-chart/v2"
	"github.com/wcharczuk/go-chart/v2/drawing"
)

// report collects the measurements and notes of a run.
type report struct {
	settings
	measurements []measurement
	notes        []string
}

func newReport(s settings) *report { return &report{settings: s} }

// notef adds a note to the report and prints it.
func (r *report) notef(format string, vals ...any) {
	text := fmt.Sprintf(format, vals...)
	r.notes = append(r.notes, text)
	fmt.Println("#", text)
}

// add adds a measurement to the report and prints a summary of it.
func (r *report) add(m measurement) {
	r.measurements = append(r.measurements, m)
	v := m.Values
	fmt.Printf("# %s %v: ", m.Phase, m.X)
	if _, ofCatalog := v[figureAllGateways]; ofCatalog {
		fmt.Printf("all gateways in %.0f ms, %.0f kB to a gateway\n", v[figureAllGateways], v[figureChangeIn])
		return
	}
	fmt.Printf("lead %.1f%% %.0f MB, ", v[figureLeaderCPU], v[figureLeaderMB])
	fmt.Printf("%.1f starts/s, %.1f lapsed/s, ", v[figureStarts], v[figureLapsed])
	fmt.Printf("%.0f running, %.1f cores\n", v[figureRunning], v[figureCores])
}

// rows groups the measurements by point and figure. The keys are the points, in the order of
// their first measurement.
func (r *report) rows() (keys []string, vals map[string]map[string][]float64) {
	vals = map[string]map[string][]float64{}
	for _, m := range r.measurements {
		key := fmt.Sprintf("%s = %v", m.Phase, m.X)
		if vals[key] == nil {
			keys = append(keys, key)
			vals[key] = map[string][]float64{}
		}
		for name, v := range m.Values {
			vals[key][name] = append(vals[key][name], v)
		}
	}
	return keys, vals
}

// write prints the table and the fitted lines, and writes the measurements and the plot to
// files.
func (r *report) write(points, plot string) error {
	r.table()
	r.slopes()
	text, err := json.MarshalIndent(map[string]any{"points": r.measurements, "notes": r.notes}, "", " ")
	if err != nil {
		return err
	}
	if err = os.WriteFile(points, text, 0o644); err != nil {
		return err
	}
	return r.draw(plot)
}

func (r *report) table() {
	keys, vals := r.rows()
	for _, key := range keys {
		fmt.Printf("\n%s\n", key)
		names := []string{}
		for name := range vals[key] {
			if name != figurePolls {
				names = append(names, name)
			}
		}
		slices.SortFunc(names, func(a, b string) int {
			return cmp.Or(cmp.Compare(figureRank(a), figureRank(b)), cmp.Compare(a, b))
		})
		for _, name := range names {
			s := summarize(vals[key][name])
			fmt.Printf("  %-18s %10.2f  (%.2f to %.2f, n=%d)\n", name, s.mean, s.low, s.high, s.n)
		}
	}
}

func figureRank(name string) int {
	if i := slices.Index(figureOrder, name); i >= 0 {
		return i
	}
	return len(figureOrder)
}

// pointsOf returns the values of a figure in a phase, over the quantity that the phase varies.
func (r *report) pointsOf(phase, figure string) []point {
	var list []point
	for _, m := range r.measurements {
		if v, ok := m.Values[figure]; ok && m.Phase == phase {
			list = append(list, point{m.X, v})
		}
	}
	return list
}

// regressedFigures are the figures to which lines are fitted.
var regressedFigures = []string{
	figureLeaderCPU,
	figureLeaderMB,
	figureLeaderIn,
	figureLeaderOut,
	figureEntries,
	figureLeaderReads,
	figureLeaderWrites,
	figureFollowerCPU,
	figureFollowerMB,
	figureFollowerIn,
	figureFollowerOut,
	figureGatewayMB,
	figureGatewayCPU,
	figureGatewayIn,
	figureAgentPolls,
	figureAgentOut,
	figureAgentIn,
}

// sizedPhase is a phase that varies one size, with the full value of that size.
type sizedPhase struct {
	phase    string
	fullSize float64
}

// slopes prints the fitted lines of each figure, and compares the total extrapolated to full
// size with the total measured there.
func (r *report) slopes() {
	fmt.Printf("\nslopes: figure = base + rate x; fit 1 is a straight line\n")
	for _, name := range regressedFigures {
		total, ok := r.extrapolate(name)
		if !ok {
			continue
		}
		s := summarize(values(r.pointsOf(phaseAll, name)))
		fmt.Printf("  %-18s at full size: %.1f worked out, ", name, total)
		fmt.Printf("%.1f measured (%.1f to %.1f, n=%d)\n", s.mean, s.low, s.high, s.n)
	}
}

// extrapolate prints the fitted lines of a figure and returns their total at full size: the
// base of the first line plus, for each line, its slope times its full size. ok is false if
// a line cannot be fitted.
func (r *report) extrapolate(figure string) (total float64, ok bool) {
	ok = true
	for i, one := range []sizedPhase{
		{phaseIdle, float64(r.runners)},
		{phaseStarts, float64(r.starts)},
		{phaseRunning, float64(r.tasks)},
	} {
		l, fits := fitLine(r.pointsOf(one.phase, figure))
		if !fits {
			ok = false
			continue
		}
		fmt.Printf("  %-18s %-22s %10.3f + %.6f x   fit %.3f\n", figure, one.phase, l.base, l.slope, l.rSquared)
		total += l.slope * one.fullSize
		if i == 0 {
			total += l.base
		}
	}
	return total, ok
}

func values(list []point) []float64 {
	var vals []float64
	for _, s := range list {
		vals = append(vals, s.y)
	}
	return vals
}

// leaderCPUSeries returns the plot series of the leader's CPU usage in one phase.
func (r *report) leaderCPUSeries(of sizedPhase, color drawing.Color) chart.ContinuousSeries {
	series := chart.ContinuousSeries{
		Name: fmt.Sprintf("%s (1 = %v)", of.phase, of.fullSize),
		Style: chart.Style{
			StrokeColor: color,
			StrokeWidth: 1,
			DotColor:    color,
			DotWidth:    3,
		},
	}
	for _, p := range r.pointsOf(of.phase, figureLeaderCPU) {
		if math.IsNaN(p.y) {
			continue
		}
		series.XValues = append(series.XValues, p.x/of.fullSize)
		series.YValues = append(series.YValues, p.y)
	}
	return series
}

// draw plots the leader's CPU usage over the share of the full size.
func (r *report) draw(path string) error {
	c := chart.Chart{
		Title:  "leader: share of one core",
		Width:  760,
		Height: 420,
		XAxis:  chart.XAxis{Name: "share of the full size"},
		YAxis:  chart.YAxis{Name: "% of a core"},
	}
	for i, one := range []sizedPhase{
		{phaseIdle, float64(r.runners)},
		{phaseSlow, float64(r.runners)},
		{phaseStarts, float64(r.starts)},
		{phaseRunning, float64(r.tasks)},
	} {
		series := r.leaderCPUSeries(one, chart.GetDefaultColor(i))
		if len(series.XValues) > 1 {
			c.Series = append(c.Series, series)
		}
	}
	if len(c.Series) == 0 {
		return nil
	}
	c.Elements = []chart.Renderable{chart.LegendThin(&c)}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return c.Render(chart.SVG, f)
}

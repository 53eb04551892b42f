package main

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"sort"

	"github.com/wcharczuk/go-chart/v2"
)

type report struct {
	settings
	measurements []measurement
	notes        []string
}

func newReport(s settings) *report { return &report{settings: s} }

func (r *report) notef(format string, vals ...any) {
	text := fmt.Sprintf(format, vals...)
	r.notes = append(r.notes, text)
	fmt.Println("#", text)
}

func (r *report) add(m measurement) {
	r.measurements = append(r.measurements, m)
	if _, queues := m.Values[figureAllGateways]; queues {
		fmt.Printf("# %s %v: all gateways in %.0f ms, %.0f kB to a gateway\n", m.Phase, m.X, m.Values[figureAllGateways], m.Values[figureChangeIn])
		return
	}
	fmt.Printf("# %s %v: lead %.1f%% %.0f MB, %.1f starts/s, %.1f lapsed/s, %.0f running, %.1f cores\n", m.Phase, m.X, m.Values[figureLeaderCPU], m.Values[figureLeaderMB], m.Values[figureStarts], m.Values[figureLapsed], m.Values[figureRunning], m.Values[figureCores])
}

// rows are the measurements by point and figure, the points in the order they came.
func (r *report) rows() (keys []string, vals map[string]map[string][]float64) {
	vals = map[string]map[string][]float64{}
	for _, m := range r.measurements {
		key := fmt.Sprintf("%s = %v", m.Phase, m.X)
		if vals[key] == nil {
			keys, vals[key] = append(keys, key), map[string][]float64{}
		}
		for name, v := range m.Values {
			vals[key][name] = append(vals[key][name], v)
		}
	}
	return keys, vals
}

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
		sort.Slice(names, func(i, j int) bool {
			return figureRank(names[i]) < figureRank(names[j]) || figureRank(names[i]) == figureRank(names[j]) && names[i] < names[j]
		})
		for _, name := range names {
			s := summarize(vals[key][name])
			fmt.Printf("  %-18s %10.2f  (%.2f to %.2f, n=%d)\n", name, s.mean, s.low, s.high, s.n)
		}
	}
}

func figureRank(name string) int {
	for i, one := range figureOrder {
		if one == name {
			return i
		}
	}
	return len(figureOrder)
}

// pointsOf are the values of a figure in a phase, over what was varied.
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
var regressedFigures = []string{figureLeaderCPU, figureLeaderMB, figureLeaderIn, figureLeaderOut, figureEntries, figureLeaderReads, figureLeaderWrites, figureFollowerCPU, figureFollowerMB, figureFollowerIn, figureFollowerOut, figureGatewayMB, figureGatewayCPU, figureGatewayIn, figureAgentPolls, figureAgentOut, figureAgentIn}

// slopes prints the fitted lines, and what they add up to at full size beside what was
// measured there.
func (r *report) slopes() {
	fmt.Printf("\nslopes: figure = base + rate x; fit 1 is a straight line\n")
	for _, name := range regressedFigures {
		total, known := 0.0, true
		for i, one := range []struct {
			phase string
			size  float64
		}{{phaseIdle, float64(r.runners)}, {phaseStarts, float64(r.starts)}, {phaseRunning, float64(r.tasks)}} {
			l, ok := fitLine(r.pointsOf(one.phase, name))
			if !ok {
				known = false
				continue
			}
			fmt.Printf("  %-18s %-22s %10.3f + %.6f x   fit %.3f\n", name, one.phase, l.base, l.slope, l.rSquared)
			if total += l.slope * one.size; i == 0 {
				total += l.base
			}
		}
		if known {
			s := summarize(values(r.pointsOf(phaseAll, name)))
			fmt.Printf("  %-18s at full size: %.1f worked out, %.1f measured (%.1f to %.1f, n=%d)\n", name, total, s.mean, s.low, s.high, s.n)
		}
	}
}

func values(list []point) []float64 {
	var vals []float64
	for _, s := range list {
		vals = append(vals, s.y)
	}
	return vals
}

// draw plots the leader's processor time over the share of the full size.
func (r *report) draw(path string) error {
	c := chart.Chart{Title: "leader: share of one core", Width: 760, Height: 420,
		XAxis: chart.XAxis{Name: "share of the full size"}, YAxis: chart.YAxis{Name: "% of a core"}}
	for i, one := range []struct {
		phase string
		size  float64
	}{{phaseIdle, float64(r.runners)}, {phaseSlow, float64(r.runners)}, {phaseStarts, float64(r.starts)}, {phaseRunning, float64(r.tasks)}} {
		s := chart.ContinuousSeries{Name: fmt.Sprintf("%s (1 = %v)", one.phase, one.size), Style: chart.Style{StrokeColor: chart.GetDefaultColor(i), StrokeWidth: 1, DotColor: chart.GetDefaultColor(i), DotWidth: 3}}
		for _, p := range r.pointsOf(one.phase, figureLeaderCPU) {
			if !math.IsNaN(p.y) {
				s.XValues, s.YValues = append(s.XValues, p.x/one.size), append(s.YValues, p.y)
			}
		}
		if len(s.XValues) > 1 {
			c.Series = append(c.Series, s)
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

package httpserver

import (
	"maps"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// metricPrefix is the prefix of every metric name.
const metricPrefix = "orchidward_"

// Gauges is a set of named gauges that Prometheus can collect. It is safe for concurrent
// use.
type Gauges struct {
	mu     sync.Mutex
	values map[string]float64
	groups map[string]gaugeGroup
}

// gaugeGroup is a gauge with several series, one for each value of a label.
type gaugeGroup struct {
	label  string
	values map[string]float64
}

// NewGauges returns an empty set.
func NewGauges() *Gauges {
	return &Gauges{values: map[string]float64{}, groups: map[string]gaugeGroup{}}
}

// Set sets the value of a gauge, and creates the gauge if it does not exist.
func (g *Gauges) Set(name string, value float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.values[name] = value
}

// SetGroup replaces the series of a gauge by one for each value of a label. The caller bounds
// their number.
func (g *Gauges) SetGroup(name, label string, values map[string]float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.groups[name] = gaugeGroup{label, values}
}

// Describe sends nothing: the names are not known beforehand, which makes this an unchecked
// collector.
func (g *Gauges) Describe(_ chan<- *prometheus.Desc) {}

// Collect sends all gauges, sorted by name.
func (g *Gauges) Collect(out chan<- prometheus.Metric) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(g.values)) {
		description := prometheus.NewDesc(metricPrefix+name, name, nil, nil)
		out <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, g.values[name])
	}
	for _, name := range slices.Sorted(maps.Keys(g.groups)) {
		group := g.groups[name]
		description := prometheus.NewDesc(metricPrefix+name, name, []string{group.label}, nil)
		for _, value := range slices.Sorted(maps.Keys(group.values)) {
			out <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, group.values[value], value)
		}
	}
}

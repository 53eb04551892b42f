// Gauges are the numbers a daemon shows on its metrics page.

package httpserver

import (
	"sort"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// Gauges is a set of named numbers that Prometheus can collect. It is safe for
// concurrent use.
type Gauges struct {
	mu   sync.Mutex
	vals map[string]float64
}

// NewGauges makes an empty set.
func NewGauges() *Gauges { return &Gauges{vals: map[string]float64{}} }

// Set gives a gauge its value; the first value creates it.
func (g *Gauges) Set(name string, val float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.vals[name] = val
}

// Describe sends nothing: the names are not known beforehand, which makes this
// an unchecked collector.
func (g *Gauges) Describe(_ chan<- *prometheus.Desc) {}

// Collect sends every gauge by order of name, with the prefix "orchidward_".
func (g *Gauges) Collect(c chan<- prometheus.Metric) {
	g.mu.Lock()
	defer g.mu.Unlock()
	names := []string{}
	for n := range g.vals {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		d := prometheus.NewDesc("orchidward_"+n, n, nil, nil)
		c <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, g.vals[n])
	}
}

package httpserver

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

// TestGroupReplacesSeries checks that series of removed tenants are dropped; otherwise they
// would accumulate without bound.
func TestGroupReplacesSeries(t *testing.T) {
	gauges := NewGauges()
	gauges.SetGroup("used", "tenant", map[string]float64{"a": 1, "b": 2})
	gauges.SetGroup("used", "tenant", map[string]float64{"c": 3})
	registry := prometheus.NewRegistry()
	registry.MustRegister(gauges)
	families, err := registry.Gather()
	if err != nil || len(families) != 1 || len(families[0].GetMetric()) != 1 {
		t.Fatalf("%v %v", err, families)
	}
	metric := families[0].GetMetric()[0]
	if label := metric.GetLabel()[0]; label.GetValue() != "c" || label.GetName() != "tenant" || metric.GetGauge().GetValue() != 3 {
		t.Errorf("%v", metric)
	}
}

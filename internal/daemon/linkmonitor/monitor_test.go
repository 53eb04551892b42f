package linkmonitor

import (
	"context"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/daemon/logging"
	"orchidward/internal/transport/httpserver"
	"orchidward/internal/transport/link"
	"orchidward/internal/transport/wire"
)

// TestCountsPublished checks that the counters of a link are published as metrics, at most once
// per interval.
func TestCountsPublished(t *testing.T) {
	group := lifecycle.New()
	t.Cleanup(func() { _ = group.Stop(context.Background()) })
	l, err := link.Listen("127.0.0.1:0", group)
	if err != nil {
		t.Fatal(err)
	}
	l.Serve(func(wire.Peer, wire.Message) {})
	gauges := httpserver.NewGauges()
	monitor := New(l, logging.New(), gauges)
	now := time.Unix(1000, 0)
	monitor.Tick(now)
	l.Send(wire.AcceptedPeer(7), wire.Message{})
	monitor.Tick(now.Add(interval / 2))
	if dropped := gaugeValue(t, gauges, "orchidward_frames_dropped"); dropped != 0 {
		t.Errorf("%v dropped frames are published within the interval", dropped)
	}
	monitor.Tick(now.Add(interval))
	if dropped := gaugeValue(t, gauges, "orchidward_frames_dropped"); dropped != 1 {
		t.Errorf("%v dropped frames are published, want 1", dropped)
	}
}

// gaugeValue collects the gauges and returns the value of the named one.
func gaugeValue(t *testing.T, gauges *httpserver.Gauges, name string) float64 {
	t.Helper()
	registry := prometheus.NewRegistry()
	registry.MustRegister(gauges)
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0].GetGauge().GetValue()
		}
	}
	t.Fatalf("no metric %s", name)
	return 0
}

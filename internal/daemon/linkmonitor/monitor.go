// Package linkmonitor reports on the connections of a daemon: their numbers as metrics, and
// those that stand still in the log.
package linkmonitor

import (
	"time"

	"orchidward/internal/daemon/logging"
	"orchidward/internal/transport/httpserver"
	"orchidward/internal/transport/link"
)

const (
	// interval is how often the connections are looked at, and stalledAfter how long
	// messages may wait for one before the log says so.
	interval     = time.Second
	stalledAfter = 2 * time.Second
)

// Monitor watches a link. It is not safe for concurrent use.
type Monitor struct {
	link      *link.Link
	log       *logging.Logger
	gauges    *httpserver.Gauges
	checkedAt time.Time
}

// New makes a monitor that logs to log and sets the metrics of gauges.
func New(l *link.Link, log *logging.Logger, gauges *httpserver.Gauges) *Monitor {
	return &Monitor{link: l, log: log, gauges: gauges}
}

// Tick looks at the connections when it is time to. It should come several times a second.
func (m *Monitor) Tick(now time.Time) {
	if now.Sub(m.checkedAt) < interval {
		return
	}
	m.checkedAt = now
	for _, connection := range m.link.TakeStalled(now, stalledAfter) {
		m.log.Event("connection-stalled", "peer", string(connection.Peer), "queued", connection.Queued,
			"unsentMs", now.Sub(connection.Since).Milliseconds())
	}
	counts := m.link.Counts()
	m.gauges.Set("frames_sent", float64(counts.Sent))
	m.gauges.Set("frames_dropped", float64(counts.Dropped))
	m.gauges.Set("connections_accepted", float64(counts.Accepted))
	m.gauges.Set("connections_dialled", float64(counts.Dialled))
	m.gauges.Set("dial_failures", float64(counts.DialFailures))
}

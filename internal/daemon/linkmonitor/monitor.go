// Package linkmonitor reports on the connections of a daemon: it publishes their counters as
// metrics and logs stalled connections.
package linkmonitor

import (
	"strings"
	"time"

	"orchidward/internal/daemon/logging"
	"orchidward/internal/transport/httpserver"
	"orchidward/internal/transport/link"
)

const (
	// interval is how often the connections are checked. stalledAfter is how long messages may
	// be queued for a connection without progress before it is logged as stalled.
	interval     = time.Second
	stalledAfter = 2 * time.Second
	// maxNamedPeers bounds the peers named in one log line.
	maxNamedPeers = 8
)

// Monitor watches a link. It is not safe for concurrent use.
type Monitor struct {
	link      *link.Link
	log       *logging.Logger
	gauges    *httpserver.Gauges
	checkedAt time.Time
}

// New returns a monitor of l that logs to log and sets metrics in gauges.
func New(l *link.Link, log *logging.Logger, gauges *httpserver.Gauges) *Monitor {
	return &Monitor{link: l, log: log, gauges: gauges}
}

// Tick checks the connections if at least interval has passed since the last check. It should
// be called several times a second.
func (m *Monitor) Tick(now time.Time) {
	if now.Sub(m.checkedAt) < interval {
		return
	}
	m.checkedAt = now
	m.logStalled(m.link.TakeStalled(now, stalledAfter))
	counts := m.link.Counts()
	m.gauges.Set("frames_sent", float64(counts.Sent))
	m.gauges.Set("frames_dropped", float64(counts.Dropped))
	m.gauges.Set("connections_accepted", float64(counts.Accepted))
	m.gauges.Set("connections_dialled", float64(counts.Dialled))
	m.gauges.Set("dial_failures", float64(counts.DialFailures))
}

// logStalled logs one line for all newly stalled connections.
func (m *Monitor) logStalled(stalled []link.StalledConnection) {
	if len(stalled) == 0 {
		return
	}
	var peers []string
	mostQueued := 0
	for _, connection := range stalled {
		mostQueued = max(mostQueued, connection.Queued)
		if len(peers) < maxNamedPeers {
			peers = append(peers, string(connection.Peer))
		}
	}
	m.log.Event("connections-stalled", "connections", len(stalled), "peers", strings.Join(peers, " "), "mostQueued", mostQueued)
}

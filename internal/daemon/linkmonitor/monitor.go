// Package linkmonitor reports on the connections of a daemon: their numbers as metrics, and
// those that stand still in the log.
package linkmonitor

import (
	"strings"
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
	// maxNamedPeers is how many peers one line of the log names.
	maxNamedPeers = 8
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
	m.logStalled(m.link.TakeStalled(now, stalledAfter))
	counts := m.link.Counts()
	m.gauges.Set("frames_sent", float64(counts.Sent))
	m.gauges.Set("frames_dropped", float64(counts.Dropped))
	m.gauges.Set("connections_accepted", float64(counts.Accepted))
	m.gauges.Set("connections_dialled", float64(counts.Dialled))
	m.gauges.Set("dial_failures", float64(counts.DialFailures))
}

// logStalled logs one line for all connections that were found to stand still.
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

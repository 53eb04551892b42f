package controlplane

import (
	"slices"

	"orchidward/internal/clock"
)

const (
	// gatewayTTL is how long a gateway counts as live after it was last heard.
	gatewayTTL clock.Millis = 5000
	// maxGateways bounds the number of gateways in the table.
	maxGateways = 256
)

// gatewayTable records when each gateway was last heard, by the address at which clients
// and runners reach it, and by the address at which it listens for the cluster's own
// processes.
type gatewayTable struct {
	clientAddrs map[string]clock.Monotonic
	peerAddrs   map[string]clock.Monotonic
}

func newGatewayTable() gatewayTable {
	return gatewayTable{clientAddrs: map[string]clock.Monotonic{}, peerAddrs: map[string]clock.Monotonic{}}
}

// clientAddrSeen records that the gateway with this client address is live. A gateway
// beyond maxGateways is ignored.
func (t *gatewayTable) clientAddrSeen(addr string, now clock.Monotonic) {
	_, known := t.clientAddrs[addr]
	if known || addr != "" && len(t.clientAddrs) < maxGateways {
		t.clientAddrs[addr] = now
	}
}

// peerAddrSeen does the same for the gateway's address within the cluster.
func (t *gatewayTable) peerAddrSeen(addr string, now clock.Monotonic) {
	_, known := t.peerAddrs[addr]
	if known || len(t.peerAddrs) < maxGateways {
		t.peerAddrs[addr] = now
	}
}

// liveClientAddrs lists the client addresses of live gateways in ascending order.
func (t *gatewayTable) liveClientAddrs(now clock.Monotonic) []string {
	return liveAddrs(t.clientAddrs, now)
}

// livePeerAddrs lists the addresses of live gateways within the cluster in ascending
// order.
func (t *gatewayTable) livePeerAddrs(now clock.Monotonic) []string {
	return liveAddrs(t.peerAddrs, now)
}

func liveAddrs(lastHeard map[string]clock.Monotonic, now clock.Monotonic) []string {
	var list []string
	for addr, at := range lastHeard {
		if now.Since(at) < gatewayTTL {
			list = append(list, addr)
		}
	}
	slices.Sort(list)
	return list
}

func (t *gatewayTable) forgetExpired(now clock.Monotonic) {
	for _, lastHeard := range []map[string]clock.Monotonic{t.clientAddrs, t.peerAddrs} {
		for addr, at := range lastHeard {
			if now.Since(at) > gatewayTTL {
				delete(lastHeard, addr)
			}
		}
	}
}

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/endpoint"
)

const (
	// changeTimeout limits how long it may take until every gateway has applied a change.
	changeTimeout = 12 * time.Second
	// changeSettleTime is the wait after a change before its cost is sampled.
	changeSettleTime = 300 * time.Millisecond
	hostCount        = 280
)

// Names of the figures of catalog changes.
const (
	figureBodyKB        = "bodyKB"
	figureAccepted      = "takenMs"
	figureAllGateways   = "allGatesMs"
	figureChangeIn      = "gateInKB"
	figureChangeCPU     = "gateCpuMs"
	figureChangeMB      = "gateMB"
	figureChangeLeader  = "leadCpuMs"
	figureChangeLeadMB  = "leadMB"
	figureChangeLeadOut = "leadOutKB"
	figureSeconds       = "seconds"
)

// catalogChanges changes the catalog, and measures how long it takes until every gateway
// has applied a change.
type catalogChanges struct {
	cluster *cluster
	version uint64
}

// catalogItems holds the queues and pools in a change.
type catalogItems struct {
	Queues []catalog.Queue `json:"queues,omitempty"`
	Pools  []catalog.Pool  `json:"pools,omitempty"`
}

// changeDocument is a catalog change. A PUT has all items at the top level; a PATCH has the
// items to replace in Put.
type changeDocument struct {
	Base    uint64 `json:"base"`
	Version uint64 `json:"version"`
	catalogItems
	Put *catalogItems `json:"put,omitempty"`
}

func makeQueue(i int) catalog.Queue {
	return catalog.Queue{
		Name:          fmt.Sprintf("q%d", i),
		Host:          fmt.Sprintf("team-%d.jobs.example", i%hostCount),
		Prefix:        fmt.Sprintf("/queues/q%d/", i),
		Pool:          pool,
		Priority:      int64(i % 4),
		MaxAttempts:   3,
		LatencyFactor: 2000,
		LatencyTarget: 60000,
		Timeout:       600000,
	}
}

// change sends a change and waits until it is accepted. It returns the size of the request
// body.
func (c *catalogChanges) change(method string, document changeDocument) (bytes int, err error) {
	document.Base = c.version
	document.Version = c.version + 1
	body, err := json.Marshal(document)
	if err != nil {
		return 0, err
	}
	status, response, err := c.cluster.send(method, "http://"+c.cluster.gatewayHTTP[0]+endpoint.CatalogPath, string(body))
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, errors.Errorf("%s catalog: %d %s", method, status, response)
	}
	c.version++
	return len(body), nil
}

// replaceAll replaces the catalog with one that has the given number of queues.
func (c *catalogChanges) replaceAll(queues int) (bytes int, err error) {
	items := catalogItems{Pools: []catalog.Pool{{Name: pool}}}
	for i := range queues {
		items.Queues = append(items.Queues, makeQueue(i))
	}
	return c.change(http.MethodPut, changeDocument{catalogItems: items})
}

// changeOne changes the priority of one queue.
func (c *catalogChanges) changeOne(i int) (bytes int, err error) {
	queue := makeQueue(i)
	queue.Priority = int64(c.version % 4)
	return c.change(http.MethodPatch, changeDocument{Put: &catalogItems{Queues: []catalog.Queue{queue}}})
}

// epochs returns the routing table epoch of each gateway, 0 for a gateway that does not
// respond.
func (c *catalogChanges) epochs() []float64 {
	var epochs []float64
	for _, addr := range c.cluster.gatewayHTTP {
		metrics, _ := c.cluster.metrics(addr)
		epochs = append(epochs, metrics["table_epoch"])
	}
	return epochs
}

// measure makes a change, waits until every gateway has applied it, and measures its cost.
func (c *catalogChanges) measure(phase string, queues int, change func() (bytes int, err error)) (measurement, error) {
	var m measurement
	epochs := c.epochs()
	before, err := c.cluster.sample()
	if err != nil {
		return m, err
	}
	sent := time.Now()
	bytes, err := change()
	if err != nil {
		return m, err
	}
	accepted := time.Since(sent)
	err = c.cluster.wait(changeTimeout, "every gateway has the change", func() bool { return c.allAbove(epochs) })
	if err != nil {
		return m, err
	}
	allGateways := time.Since(sent)
	time.Sleep(changeSettleTime)
	after, err := c.cluster.sample()
	if err != nil {
		return m, err
	}
	m = measurement{Phase: phase, X: float64(queues), Values: changeCosts(before, after)}
	m.Values[figureBodyKB] = float64(bytes) / 1e3
	m.Values[figureAccepted] = float64(accepted.Milliseconds())
	m.Values[figureAllGateways] = float64(allGateways.Milliseconds())
	return m, nil
}

// allAbove reports whether the epoch of every gateway is above the given one.
func (c *catalogChanges) allAbove(epochs []float64) bool {
	for i, epoch := range c.epochs() {
		if epoch <= epochs[i] {
			return false
		}
	}
	return true
}

// changeCosts returns the cost of a change on the first gateway and, unless the leader
// changed, on the leader.
func changeCosts(before, after sample) map[string]float64 {
	const once = 1
	gateway := after.gateways[0].ratesSince(before.gateways[0], once)
	values := map[string]float64{
		figureChangeIn:  gateway.readBytes / 1e3,
		figureChangeCPU: gateway.cpu * 1e3,
		figureChangeMB:  gateway.rss / 1e6,
		figureSeconds:   after.at.Sub(before.at).Seconds(),
	}
	if after.leader >= 0 && before.leader == after.leader {
		leader := after.servers[after.leader].ratesSince(before.servers[after.leader], once)
		values[figureChangeLeader] = leader.cpu * 1e3
		values[figureChangeLeadMB] = leader.rss / 1e6
		values[figureChangeLeadOut] = leader.writtenBytes / 1e3
	}
	return values
}

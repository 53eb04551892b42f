package simulation

import (
	"encoding/json"
	"net/http"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/invariants"
)

// Clients are the clients and operators of a cluster, which share one process: they
// submit a mix of jobs, retry requests without a response, cancel jobs, read through any
// gateway, change the limits table, and probe the service.
type Clients struct {
	*Process
	// StopAt is when they stop submitting jobs and changing the limits table.
	StopAt int64
	// Epoch is the highest acknowledged epoch of the limits table.
	Epoch int64
	// ServedAt is when a probe last succeeded.
	ServedAt int64

	cluster *Cluster
	lastJob int

	lastWeight      int
	ackedWeight     int
	rejectedWeights map[int]bool

	// serviceDueSince is the time since which the cluster has had to serve without
	// interruption, 0 while it does not have to.
	serviceDueSince int64
}

const (
	// clientsName is the name and the domain of the clients' process.
	clientsName = "out"

	// Intervals, times and timeouts in ms.
	sweepInterval  = 200
	probeStart     = 1000
	probeInterval  = 200
	probeTimeout   = 1000
	requestTimeout = 2000
	operateAfter   = 500

	// maxServiceGap is how long the cluster may be unavailable while service is due.
	maxServiceGap = 12000
)

func newClients(c *Cluster) *Clients {
	clients := &Clients{
		Process:         c.addProcess(clientsName, clientsName),
		cluster:         c,
		rejectedWeights: map[int]bool{},
	}
	clients.begin(0)
	return clients
}

// RandomGateway returns the address of a random gateway.
func (c *Clients) RandomGateway() string {
	return c.cluster.Gateways[c.cluster.Random.Intn(len(c.cluster.Gateways))].Addr
}

// request sends a request to a random gateway.
func (c *Clients) request(method, path string, body []byte, timeout int64, done func(status int, body []byte)) {
	c.cluster.Request(c.Process, c.RandomGateway(), method, path, body, timeout, done)
}

// start generates load from one time to another.
func (c *Clients) start(from, stopAt int64) {
	c.StopAt = stopAt
	c.cluster.At(from, c.submitLoad)
	c.cluster.At(probeStart, c.probe)
	c.cluster.At(from+operateAfter, c.changeLimits)
	c.cluster.At(sweepInterval, c.sweep)
}

func (c *Clients) sweep() {
	c.cluster.Checker.Sweep()
	c.checkService()
	c.cluster.After(sweepInterval, c.sweep)
}

// probe sends a read request at regular intervals.
func (c *Clients) probe() {
	c.request(http.MethodGet, endpoint.LimitsPath, nil, probeTimeout, func(status int, _ []byte) {
		if status == http.StatusOK {
			c.ServedAt = c.cluster.Now
		}
	})
	c.cluster.After(probeInterval, c.probe)
}

// checkService checks that the cluster answers probes whenever the state of its machines
// allows it.
func (c *Clients) checkService() {
	if !c.cluster.serviceDue() {
		c.serviceDueSince = 0
		return
	}
	if c.serviceDueSince == 0 {
		c.serviceDueSince = c.cluster.Now
	}
	if c.cluster.Now-max(c.serviceDueSince, c.ServedAt) > maxServiceGap {
		c.cluster.Checker.Violate(invariants.ServiceAvailable, "service due since %d, last answer at %d", c.serviceDueSince, c.ServedAt)
	}
}

// SetDrained drains or reopens a domain: it sends the order until it is acknowledged or
// no longer wanted.
func (c *Clients) SetDrained(domain string, drained bool, wanted func() bool) {
	const retryDelay = 400
	method := http.MethodPut
	if !drained {
		method = http.MethodDelete
		c.cluster.Checker.ReopenRequested(domain)
	}
	c.request(method, endpoint.DrainPath(domain), nil, requestTimeout, func(status int, _ []byte) {
		switch {
		case !wanted():
		case status == http.StatusOK && drained:
			c.cluster.Checker.DrainAcked(domain)
		case status == http.StatusOK || status == http.StatusNotFound && !drained:
		default:
			c.cluster.After(retryDelay, func() {
				if wanted() {
					c.SetDrained(domain, drained, wanted)
				}
			})
		}
	})
}

// mustEncode encodes a document and panics on failure.
func mustEncode(document any) []byte {
	encoded, err := json.Marshal(document)
	if err != nil {
		panic("simulation: cannot encode document: " + err.Error())
	}
	return encoded
}

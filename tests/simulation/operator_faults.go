package simulation

import (
	"fmt"
	"net/http"

	"orchidward/internal/api/endpoint"
)

const (
	stormChanges  = 200
	stormInterval = 5
	raceChanges   = 6
	floodRows     = 150

	// Times in ms, and the number of orders, of DrainRace.
	drainRaceAt      = 50
	drainRaceOrders  = 4
	drainRaceTimeout = 1000
	drainRaceEnd     = 2500

	addedLossPerMille = 50
	spikeFactor       = 10
	maxSpikedLoad     = 1000
)

// newDrainOrder begins an order to drain or reopen a domain, which supersedes earlier
// orders. isLatest reports whether no later order has superseded it.
func (c *Cluster) newDrainOrder(domain string) (isLatest func() bool) {
	c.drainOrders[domain]++
	number := c.drainOrders[domain]
	return func() bool { return c.drainOrders[domain] == number }
}

func (c *Cluster) drainDomain(domain string) func() {
	isLatest := c.newDrainOrder(domain)
	c.Clients.SetDrained(domain, true, isLatest)
	return func() {
		if isLatest() {
			c.Clients.SetDrained(domain, false, c.newDrainOrder(domain))
		}
	}
}

// raceDrains has two operators drain and reopen a domain concurrently, and one of them
// reopen it in the end.
func (c *Cluster) raceDrains(domain string) func() {
	undo := c.drainDomain(domain)
	c.After(drainRaceAt, func() {
		c.Checker.ReopenRequested(domain)
		for i := range drainRaceOrders {
			method := choose([]string{http.MethodPut, http.MethodDelete}, i)
			gateway := choose(c.Gateways, i)
			c.Request(c.Clients.Process, gateway.Addr, method, endpoint.DrainPath(domain), nil, drainRaceTimeout, func(int, []byte) {})
		}
	})
	c.newDrainOrder(domain)
	c.After(drainRaceEnd, func() {
		c.Clients.SetDrained(domain, false, c.newDrainOrder(domain))
	})
	return undo
}

func (c *Cluster) stormLimits() func() {
	for i := range int64(stormChanges) {
		c.After(i*stormInterval, func() { c.Clients.ReadLimits(c.Clients.changeWeight) })
	}
	return undoNothing
}

// raceLimits changes the same cell several times on the same base, through random
// gateways.
func (c *Cluster) raceLimits() func() {
	c.Clients.ReadLimits(func(epoch int64) {
		for range raceChanges {
			c.Clients.changeWeight(epoch)
		}
	})
	return undoNothing
}

func (c *Cluster) floodLimits(f Fault) func() {
	c.Clients.ReadLimits(func(epoch int64) {
		cells := map[string]any{}
		for i := range floodRows {
			cells[fmt.Sprintf("wide-%d.weight", i)] = f.Parameter%100 + 1 + i
		}
		c.Clients.PatchLimits(epoch, cells, func(int, int64) {})
	})
	return undoNothing
}

func (c *Cluster) losePackets() func() {
	c.Spec.LossPerMille += addedLossPerMille
	return func() { c.Spec.LossPerMille -= addedLossPerMille }
}

func (c *Cluster) spikeLoad() func() {
	if c.Spec.LoadPercent >= maxSpikedLoad {
		return nil
	}
	c.Spec.LoadPercent *= spikeFactor
	return func() { c.Spec.LoadPercent /= spikeFactor }
}

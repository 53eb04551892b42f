package main

import (
	"fmt"
	"os"
	"time"
)

// sample holds the usage of all processes and the counters at one moment.
type sample struct {
	at time.Time
	// leader is the number of the leading server, -1 for none.
	leader        int
	servers       []usage
	gateways      []usage
	self          usage
	commitIndex   float64
	snapshotIndex float64
	agents        agentCounts
}

func (c *cluster) sample() (sample, error) {
	var err error
	s := sample{at: time.Now()}
	if s.servers, err = usageOfAll(c.servers); err != nil {
		return s, err
	}
	if s.gateways, err = usageOfAll(c.gateways); err != nil {
		return s, err
	}
	if s.self, err = usageOf(os.Getpid()); err != nil {
		return s, err
	}
	leader, metrics := c.leader()
	s.leader = leader
	if leader >= 0 {
		s.commitIndex = metrics["commit_index"]
		s.snapshotIndex = metrics["snapshot_index"]
	}
	s.agents = c.agents.counts()
	return s, nil
}

func usageOfAll(processes []*process) ([]usage, error) {
	var list []usage
	for _, p := range processes {
		u, err := usageOf(p.pid())
		if err != nil {
			return nil, err
		}
		list = append(list, u)
	}
	return list, nil
}

// measurement is one measurement of a point: the phase, the value of the quantity that the
// phase varies, and the figures.
type measurement struct {
	Phase  string             `json:"phase"`
	X      float64            `json:"x"`
	Values map[string]float64 `json:"values"`
}

// Names of figures. Figures of followers and gateways are means over all of them.
const (
	figureLeaderCPU     = "leadCpu%"
	figureLeaderMB      = "leadMB"
	figureLeaderIn      = "leadInKB/s"
	figureLeaderOut     = "leadOutKB/s"
	figureLeaderReads   = "leadGets/s"
	figureLeaderWrites  = "leadPuts/s"
	figureEntries       = "entries/s"
	figureSnapshots     = "views"
	figureFollowerCPU   = "followCpu%"
	figureFollowerMB    = "followMB"
	figureFollowerIn    = "followInKB/s"
	figureFollowerOut   = "followOutKB/s"
	figureFollowerWrite = "followPuts/s"
	figureGatewayCPU    = "gateCpu%"
	figureGatewayMB     = "gateMB"
	figureGatewayIn     = "gateInKB/s"
	figureGatewayOut    = "gateOutKB/s"
	figureAgentPolls    = "polls/s/agent"
	figureAgentOut      = "pollOutB/s/agent"
	figureAgentIn       = "pollInB/s/agent"
	figureStarts        = "starts/s"
	figureLapsed        = "lapsed/s"
	figureWaitP50       = "waitP50ms"
	figureWaitP99       = "waitP99ms"
	figureWaitMax       = "waitMaxms"
	figureRunning       = "running"
	figureCores         = "cores"
	// figurePolls is the polls per second of all agents together. It is not printed.
	figurePolls = "polls"
)

// figureOrder lists the figures in the order of the table.
var figureOrder = []string{
	figureLeaderCPU, figureLeaderMB, figureLeaderIn, figureLeaderOut, figureLeaderReads, figureLeaderWrites,
	figureEntries, figureSnapshots,
	figureFollowerCPU, figureFollowerMB, figureFollowerIn, figureFollowerOut, figureFollowerWrite,
	figureGatewayCPU, figureGatewayMB, figureGatewayIn, figureGatewayOut,
	figureAgentPolls, figureAgentOut, figureAgentIn,
	figureStarts, figureLapsed, figureWaitP50, figureWaitP99, figureWaitMax, figureRunning, figureCores,
}

// measure measures a point over a window. It fails if the leader changes during the window.
func (c *cluster) measure(phase string, x float64, window time.Duration) (measurement, error) {
	var m measurement
	c.agents.takeWaits()
	before, err := c.sample()
	if err != nil {
		return m, err
	}
	time.Sleep(window)
	after, err := c.sample()
	if err != nil {
		return m, err
	}
	if before.leader < 0 || before.leader != after.leader {
		return m, fmt.Errorf("%s %v: the leader changed or was not found (%d, %d)", phase, x, before.leader, after.leader)
	}
	m = measurement{Phase: phase, X: x, Values: rates(before, after)}
	if waits := c.agents.takeWaits(); waits.TotalCount() > 0 {
		m.Values[figureWaitP50] = float64(waits.ValueAtQuantile(50))
		m.Values[figureWaitP99] = float64(waits.ValueAtQuantile(99))
		m.Values[figureWaitMax] = float64(waits.Max())
	}
	m.Values[figureRunning] = float64(c.agents.running.Load())
	return m, nil
}

// rates returns the figures for the interval between two samples.
func rates(before, after sample) map[string]float64 {
	seconds := after.at.Sub(before.at).Seconds()
	values := map[string]float64{}
	cores := after.self.ratesSince(before.self, seconds).cpu
	for i := range after.servers {
		rate := after.servers[i].ratesSince(before.servers[i], seconds)
		cores += rate.cpu
		if i == after.leader {
			addLeader(values, rate)
		} else {
			addFollower(values, rate, len(after.servers)-1)
		}
	}
	for i := range after.gateways {
		rate := after.gateways[i].ratesSince(before.gateways[i], seconds)
		cores += rate.cpu
		addGateway(values, rate, len(after.gateways))
	}
	if n := after.agents.sampled; n > 0 {
		values[figureAgentOut] = (after.agents.bytesOut - before.agents.bytesOut) / n / seconds
		values[figureAgentIn] = (after.agents.bytesIn - before.agents.bytesIn) / n / seconds
	}
	values[figurePolls] = (after.agents.sent - before.agents.sent) / seconds
	values[figureStarts] = (after.agents.starts - before.agents.starts) / seconds
	values[figureLapsed] = (after.agents.lapsed - before.agents.lapsed) / seconds
	values[figureEntries] = (after.commitIndex - before.commitIndex) / seconds
	values[figureCores] = cores
	if after.snapshotIndex != before.snapshotIndex {
		values[figureSnapshots] = 1
	}
	return values
}

func addLeader(values map[string]float64, rate usage) {
	values[figureLeaderCPU] = rate.cpu * 100
	values[figureLeaderMB] = rate.rss / 1e6
	values[figureLeaderIn] = rate.readBytes / 1e3
	values[figureLeaderOut] = rate.writtenBytes / 1e3
	values[figureLeaderReads] = rate.readCalls
	values[figureLeaderWrites] = rate.writeCalls
}

// addFollower adds one follower's share to the means over all followers.
func addFollower(values map[string]float64, rate usage, followers int) {
	share := 1 / float64(followers)
	values[figureFollowerCPU] += rate.cpu * 100 * share
	values[figureFollowerMB] += rate.rss / 1e6 * share
	values[figureFollowerIn] += rate.readBytes / 1e3 * share
	values[figureFollowerOut] += rate.writtenBytes / 1e3 * share
	values[figureFollowerWrite] += rate.writeCalls * share
}

// addGateway adds one gateway's share to the means over all gateways.
func addGateway(values map[string]float64, rate usage, gateways int) {
	share := 1 / float64(gateways)
	values[figureGatewayCPU] += rate.cpu * 100 * share
	values[figureGatewayMB] += rate.rss / 1e6 * share
	values[figureGatewayIn] += rate.readBytes / 1e3 * share
	values[figureGatewayOut] += rate.writtenBytes / 1e3 * share
}

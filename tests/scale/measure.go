// A measurement is the difference of two looks at the whole fleet.
package main

import (
	"fmt"
	"os"
	"time"
)

// sample is all that can be counted at one moment.
type sample struct {
	at            time.Time
	leader        int
	servers       []usage
	gateways      []usage
	agents        []usage
	self          usage
	commitIndex   float64
	snapshotIndex float64

	starts, ends, lapsed, sent, received float64
	bytesOut, bytesIn                    float64
	sampled                              float64
}

func (f *cluster) sample() (sample, error) {
	var l sample
	var err error
	l.at = time.Now()
	for _, set := range []struct {
		list []*process
		into *[]usage
	}{{f.servers, &l.servers}, {f.gateways, &l.gateways}, {f.agentProcesses, &l.agents}} {
		for _, c := range set.list {
			u, err := usageOf(c.pid())
			if err != nil {
				return l, err
			}
			*set.into = append(*set.into, u)
		}
	}
	if l.self, err = usageOf(os.Getpid()); err != nil {
		return l, err
	}
	lead, vals := f.leader()
	if l.leader = lead; lead >= 0 {
		l.commitIndex, l.snapshotIndex = vals["commit_index"], vals["snapshot_index"]
	}
	w := f.agents
	l.starts, l.ends, l.lapsed, l.sent, l.received = float64(w.starts.Load()), float64(w.ends.Load()), float64(w.lapsed.Load()), float64(w.sent.Load()), float64(w.received.Load())
	out, in, n := w.sampled()
	l.bytesOut, l.bytesIn, l.sampled = float64(out), float64(in), float64(n)
	return l, nil
}

// measurement is one point: what was varied, how far, and what came of it.
type measurement struct {
	Phase  string             `json:"phase"`
	X      float64            `json:"x"`
	Values map[string]float64 `json:"values"`
}

// figureOrder are the columns of the table, in order.
var figureOrder = []string{"leadCpu%", "leadMB", "leadInKB/s", "leadOutKB/s", "leadGets/s", "leadPuts/s", "entries/s", "views",
	"followCpu%", "followMB", "followInKB/s", "followOutKB/s", "followPuts/s", "gateCpu%", "gateMB", "gateInKB/s", "gateOutKB/s",
	"agentCpu%", "agentMB", "agentInKB/s", "agentOutKB/s", "polls/s/agent", "pollOutB/s/agent", "pollInB/s/agent",
	"starts/s", "lapsed/s", "waitP50ms", "waitP99ms", "waitMaxms", "running", "cores"}

// measure looks, waits, looks again.
func (f *cluster) measure(phase string, x float64, window time.Duration) (measurement, error) {
	var m measurement
	f.agents.takeWaits()
	a, err := f.sample()
	if err != nil {
		return m, err
	}
	time.Sleep(window)
	b, err := f.sample()
	if err != nil {
		return m, err
	}
	if a.leader < 0 || a.leader != b.leader {
		return m, fmt.Errorf("%s %v: the leader changed or was not found (%d, %d)", phase, x, a.leader, b.leader)
	}
	m = measurement{Phase: phase, X: x, Values: rates(a, b)}
	h := f.agents.takeWaits()
	if h.TotalCount() > 0 {
		m.Values["waitP50ms"], m.Values["waitP99ms"], m.Values["waitMaxms"] = float64(h.ValueAtQuantile(50)), float64(h.ValueAtQuantile(99)), float64(h.Max())
	}
	m.Values["running"] = float64(f.agents.running.Load())
	return m, nil
}

func rates(a, b sample) map[string]float64 {
	secs := b.at.Sub(a.at).Seconds()
	v := map[string]float64{}
	cores := b.self.ratesSince(a.self, secs).cpu
	put := func(name string, val float64, of int) { v[name] += val / float64(of) }
	for i := range b.servers {
		u := b.servers[i].ratesSince(a.servers[i], secs)
		cores += u.cpu
		if i == b.leader {
			v["leadCpu%"], v["leadMB"], v["leadInKB/s"], v["leadOutKB/s"] = u.cpu*100, u.rss/1e6, u.readBytes/1e3, u.writtenBytes/1e3
			v["leadGets/s"], v["leadPuts/s"] = u.readCalls, u.writeCalls
			continue
		}
		put("followCpu%", u.cpu*100, len(b.servers)-1)
		put("followMB", u.rss/1e6, len(b.servers)-1)
		put("followInKB/s", u.readBytes/1e3, len(b.servers)-1)
		put("followOutKB/s", u.writtenBytes/1e3, len(b.servers)-1)
		put("followPuts/s", u.writeCalls, len(b.servers)-1)
	}
	for i := range b.gateways {
		u := b.gateways[i].ratesSince(a.gateways[i], secs)
		cores += u.cpu
		put("gateCpu%", u.cpu*100, len(b.gateways))
		put("gateMB", u.rss/1e6, len(b.gateways))
		put("gateInKB/s", u.readBytes/1e3, len(b.gateways))
		put("gateOutKB/s", u.writtenBytes/1e3, len(b.gateways))
	}
	for i := range b.agents {
		u := b.agents[i].ratesSince(a.agents[i], secs)
		cores += u.cpu
		put("agentCpu%", u.cpu*100, len(b.agents))
		put("agentMB", u.rss/1e6, len(b.agents))
		put("agentInKB/s", u.readBytes/1e3, len(b.agents))
		put("agentOutKB/s", u.writtenBytes/1e3, len(b.agents))
	}
	if n := b.sampled; n > 0 {
		v["pollOutB/s/agent"], v["pollInB/s/agent"] = (b.bytesOut-a.bytesOut)/n/secs, (b.bytesIn-a.bytesIn)/n/secs
	}
	v["polls"] = (b.sent - a.sent) / secs
	v["starts/s"], v["entries/s"], v["cores"] = (b.starts-a.starts)/secs, (b.commitIndex-a.commitIndex)/secs, cores
	v["lapsed/s"] = (b.lapsed - a.lapsed) / secs
	if b.snapshotIndex != a.snapshotIndex {
		v["views"] = 1
	}
	return v
}

// A measurement is the difference of two looks at the whole fleet.
package main

import (
	"fmt"
	"os"
	"time"
)

// look is all that can be counted at one moment.
type look struct {
	at     time.Time
	lead   int
	keep   []use
	gate   []use
	agent  []use
	self   use
	commit float64
	view   float64

	starts, ends, lapsed, sent, got float64
	bytesOut, bytesIn               float64
	sampled                         float64
}

func (f *fleet) look() (look, error) {
	var l look
	var err error
	l.at = time.Now()
	for _, set := range []struct {
		list []*child
		into *[]use
	}{{f.keep, &l.keep}, {f.gate, &l.gate}, {f.agent, &l.agent}} {
		for _, c := range set.list {
			u, err := lookAt(c.pid())
			if err != nil {
				return l, err
			}
			*set.into = append(*set.into, u)
		}
	}
	if l.self, err = lookAt(os.Getpid()); err != nil {
		return l, err
	}
	lead, vals := f.leader()
	if l.lead = lead; lead >= 0 {
		l.commit, l.view = vals["commit_index"], vals["snapshot_index"]
	}
	w := f.crowd
	l.starts, l.ends, l.lapsed, l.sent, l.got = float64(w.starts.Load()), float64(w.ends.Load()), float64(w.lapsed.Load()), float64(w.sent.Load()), float64(w.got.Load())
	out, in, n := w.sampled()
	l.bytesOut, l.bytesIn, l.sampled = float64(out), float64(in), float64(n)
	return l, nil
}

// measured is one point: what was varied, how far, and what came of it.
type measured struct {
	Phase string             `json:"phase"`
	X     float64            `json:"x"`
	Vals  map[string]float64 `json:"values"`
}

// figures are the columns of the table, in order.
var figures = []string{"leadCpu%", "leadMB", "leadInKB/s", "leadOutKB/s", "leadGets/s", "leadPuts/s", "entries/s", "views",
	"followCpu%", "followMB", "followInKB/s", "followOutKB/s", "followPuts/s", "gateCpu%", "gateMB", "gateInKB/s", "gateOutKB/s",
	"agentCpu%", "agentMB", "agentInKB/s", "agentOutKB/s", "polls/s/agent", "pollOutB/s/agent", "pollInB/s/agent",
	"starts/s", "lapsed/s", "waitP50ms", "waitP99ms", "waitMaxms", "running", "cores"}

// measure looks, waits, looks again.
func (f *fleet) measure(phase string, x float64, window time.Duration) (measured, error) {
	var m measured
	f.crowd.waited()
	a, err := f.look()
	if err != nil {
		return m, err
	}
	time.Sleep(window)
	b, err := f.look()
	if err != nil {
		return m, err
	}
	if a.lead < 0 || a.lead != b.lead {
		return m, fmt.Errorf("%s %v: the leader changed or was not found (%d, %d)", phase, x, a.lead, b.lead)
	}
	m = measured{Phase: phase, X: x, Vals: between(a, b)}
	h := f.crowd.waited()
	if h.TotalCount() > 0 {
		m.Vals["waitP50ms"], m.Vals["waitP99ms"], m.Vals["waitMaxms"] = float64(h.ValueAtQuantile(50)), float64(h.ValueAtQuantile(99)), float64(h.Max())
	}
	m.Vals["running"] = float64(f.crowd.running.Load())
	return m, nil
}

func between(a, b look) map[string]float64 {
	secs := b.at.Sub(a.at).Seconds()
	v := map[string]float64{}
	cores := b.self.minus(a.self, secs).cpu
	put := func(name string, val float64, of int) { v[name] += val / float64(of) }
	for i := range b.keep {
		u := b.keep[i].minus(a.keep[i], secs)
		cores += u.cpu
		if i == b.lead {
			v["leadCpu%"], v["leadMB"], v["leadInKB/s"], v["leadOutKB/s"] = u.cpu*100, u.rss/1e6, u.read/1e3, u.written/1e3
			v["leadGets/s"], v["leadPuts/s"] = u.gets, u.puts
			continue
		}
		put("followCpu%", u.cpu*100, len(b.keep)-1)
		put("followMB", u.rss/1e6, len(b.keep)-1)
		put("followInKB/s", u.read/1e3, len(b.keep)-1)
		put("followOutKB/s", u.written/1e3, len(b.keep)-1)
		put("followPuts/s", u.puts, len(b.keep)-1)
	}
	for i := range b.gate {
		u := b.gate[i].minus(a.gate[i], secs)
		cores += u.cpu
		put("gateCpu%", u.cpu*100, len(b.gate))
		put("gateMB", u.rss/1e6, len(b.gate))
		put("gateInKB/s", u.read/1e3, len(b.gate))
		put("gateOutKB/s", u.written/1e3, len(b.gate))
	}
	for i := range b.agent {
		u := b.agent[i].minus(a.agent[i], secs)
		cores += u.cpu
		put("agentCpu%", u.cpu*100, len(b.agent))
		put("agentMB", u.rss/1e6, len(b.agent))
		put("agentInKB/s", u.read/1e3, len(b.agent))
		put("agentOutKB/s", u.written/1e3, len(b.agent))
	}
	if n := b.sampled; n > 0 {
		v["pollOutB/s/agent"], v["pollInB/s/agent"] = (b.bytesOut-a.bytesOut)/n/secs, (b.bytesIn-a.bytesIn)/n/secs
	}
	v["polls"] = (b.sent - a.sent) / secs
	v["starts/s"], v["entries/s"], v["cores"] = (b.starts-a.starts)/secs, (b.commit-a.commit)/secs, cores
	v["lapsed/s"] = (b.lapsed - a.lapsed) / secs
	if b.view != a.view {
		v["views"] = 1
	}
	return v
}

// Catalogues of many queues, and how long every gate takes to have a change.
package main

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"orchidward/internal/api/catalog"
)

type catalogues struct {
	fleet   *fleet
	version uint64
}

func makeQueue(i int) catalog.Queue {
	return catalog.Queue{Name: fmt.Sprintf("q%d", i), Host: fmt.Sprintf("team-%d.jobs.example", i%280), Prefix: fmt.Sprintf("/queues/q%d/", i), Pool: pool, Priority: int64(i % 4), MaxAttempts: 3, LatencyFactor: 2000, LatencyTarget: 60000, Timeout: 600000}
}

// change sends one and waits until it is taken.
func (k *catalogues) change(verb string, doc map[string]any) (bytes int, err error) {
	doc["base"], doc["version"] = k.version, k.version+1
	body, err := json.Marshal(doc)
	if err != nil {
		return 0, err
	}
	status, answer, err := k.fleet.send(verb, "http://"+k.fleet.fronts[0]+"/v1/catalog", string(body))
	if err != nil {
		return 0, err
	}
	if status != 200 {
		return 0, errors.Errorf("%s catalogue: %d %s", verb, status, answer)
	}
	k.version++
	return len(body), nil
}

func (k *catalogues) whole(n int) (bytes int, err error) {
	list := []catalog.Queue{}
	for i := range n {
		list = append(list, makeQueue(i))
	}
	return k.change("PUT", map[string]any{"queues": list, "pools": []catalog.Pool{{Name: pool}}})
}

func (k *catalogues) one(i int) (bytes int, err error) {
	q := makeQueue(i)
	q.Priority = int64(k.version % 4)
	return k.change("PATCH", map[string]any{"put": map[string]any{"queues": []catalog.Queue{q}}})
}

// epochs is the table's epoch at each gate.
func (k *catalogues) epochs() []float64 {
	var list []float64
	for _, front := range k.fleet.fronts {
		vals, err := k.fleet.gauges(front)
		if err != nil {
			vals = map[string]float64{}
		}
		list = append(list, vals["table_epoch"])
	}
	return list
}

// timed makes a change and measures until every gate has it.
func (k *catalogues) timed(phase string, n int, change func() (bytes int, err error)) (measured, error) {
	var m measured
	was := k.epochs()
	a, err := k.fleet.look()
	if err != nil {
		return m, err
	}
	sent := time.Now()
	bytes, err := change()
	if err != nil {
		return m, err
	}
	taken := time.Since(sent)
	err = k.fleet.wait(12*time.Second, "every gate has the change", func() bool {
		for i, e := range k.epochs() {
			if e <= was[i] {
				return false
			}
		}
		return true
	})
	if err != nil {
		return m, err
	}
	all := time.Since(sent)
	time.Sleep(300 * time.Millisecond)
	b, err := k.fleet.look()
	if err != nil {
		return m, err
	}
	secs := b.at.Sub(a.at).Seconds()
	m = measured{Phase: phase, X: float64(n), Vals: map[string]float64{"bodyKB": float64(bytes) / 1e3, "takenMs": float64(taken.Milliseconds()), "allGatesMs": float64(all.Milliseconds()),
		"gateInKB": (b.gate[0].read - a.gate[0].read) / 1e3, "gateCpuMs": (b.gate[0].cpu - a.gate[0].cpu) * 1e3, "gateMB": b.gate[0].rss / 1e6}}
	if b.lead >= 0 && a.lead == b.lead {
		u := b.keep[b.lead].minus(a.keep[b.lead], 1)
		m.Vals["leadCpuMs"], m.Vals["leadMB"], m.Vals["leadOutKB"] = u.cpu*1e3, u.rss/1e6, u.written/1e3
	}
	m.Vals["seconds"] = secs
	return m, nil
}

// Catalogues of many queues, and how long every gate takes to have a change.
package main

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"orchidward/internal/api/catalog"
)

type catalogChanges struct {
	cluster *cluster
	version uint64
}

func makeQueue(i int) catalog.Queue {
	return catalog.Queue{Name: fmt.Sprintf("q%d", i), Host: fmt.Sprintf("team-%d.jobs.example", i%280), Prefix: fmt.Sprintf("/queues/q%d/", i), Pool: pool, Priority: int64(i % 4), MaxAttempts: 3, LatencyFactor: 2000, LatencyTarget: 60000, Timeout: 600000}
}

// change sends one and waits until it is taken.
func (k *catalogChanges) change(verb string, doc map[string]any) (bytes int, err error) {
	doc["base"], doc["version"] = k.version, k.version+1
	body, err := json.Marshal(doc)
	if err != nil {
		return 0, err
	}
	status, answer, err := k.cluster.send(verb, "http://"+k.cluster.gatewayHTTP[0]+"/v1/catalog", string(body))
	if err != nil {
		return 0, err
	}
	if status != 200 {
		return 0, errors.Errorf("%s catalogue: %d %s", verb, status, answer)
	}
	k.version++
	return len(body), nil
}

func (k *catalogChanges) replaceAll(n int) (bytes int, err error) {
	list := []catalog.Queue{}
	for i := range n {
		list = append(list, makeQueue(i))
	}
	return k.change("PUT", map[string]any{"queues": list, "pools": []catalog.Pool{{Name: pool}}})
}

func (k *catalogChanges) changeOne(i int) (bytes int, err error) {
	q := makeQueue(i)
	q.Priority = int64(k.version % 4)
	return k.change("PATCH", map[string]any{"put": map[string]any{"queues": []catalog.Queue{q}}})
}

// epochs is the table's epoch at each gate.
func (k *catalogChanges) epochs() []float64 {
	var list []float64
	for _, front := range k.cluster.gatewayHTTP {
		vals, err := k.cluster.metrics(front)
		if err != nil {
			vals = map[string]float64{}
		}
		list = append(list, vals["table_epoch"])
	}
	return list
}

// measure makes a change and measures until every gate has it.
func (k *catalogChanges) measure(phase string, n int, change func() (bytes int, err error)) (measurement, error) {
	var m measurement
	was := k.epochs()
	a, err := k.cluster.sample()
	if err != nil {
		return m, err
	}
	sent := time.Now()
	bytes, err := change()
	if err != nil {
		return m, err
	}
	taken := time.Since(sent)
	err = k.cluster.wait(12*time.Second, "every gate has the change", func() bool {
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
	b, err := k.cluster.sample()
	if err != nil {
		return m, err
	}
	secs := b.at.Sub(a.at).Seconds()
	m = measurement{Phase: phase, X: float64(n), Values: map[string]float64{"bodyKB": float64(bytes) / 1e3, "takenMs": float64(taken.Milliseconds()), "allGatesMs": float64(all.Milliseconds()),
		"gateInKB": (b.gateways[0].readBytes - a.gateways[0].readBytes) / 1e3, "gateCpuMs": (b.gateways[0].cpu - a.gateways[0].cpu) * 1e3, "gateMB": b.gateways[0].rss / 1e6}}
	if b.leader >= 0 && a.leader == b.leader {
		u := b.servers[b.leader].ratesSince(a.servers[b.leader], 1)
		m.Values["leadCpuMs"], m.Values["leadMB"], m.Values["leadOutKB"] = u.cpu*1e3, u.rss/1e6, u.writtenBytes/1e3
	}
	m.Values["seconds"] = secs
	return m, nil
}

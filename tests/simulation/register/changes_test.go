package register

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand"
	"net/http"
	"slices"
	"strings"
)

// pick draws one element of a list.
func pick[T any](rnd *rand.Rand, list ...T) T { return list[rnd.Intn(len(list))] }

// drawChange draws a change by an operator whose last read returned version seen: mostly
// valid, sometimes with a version that others use too, sometimes invalid, or valid only on
// its own base.
func drawChange(rnd *rand.Rand, number int, seen uint64) *change {
	c := &change{number: number, replaces: rnd.Intn(3) == 0, base: seen, version: seen + 1, queues: map[string]string{}}
	switch rnd.Intn(12) {
	case 0:
		c.version = seen + 2
	case 1:
		c.version = seen
	case 2:
		c.base = seen - min(seen, uint64(rnd.Intn(3)))
	}
	if rnd.Intn(4) > 0 {
		c.source = fmt.Sprint("operator ", number)
	}
	for n := rnd.Intn(3); n > 0; n-- {
		c.queues[pick(rnd, "a", "b", "c")] = pick(rnd, "x", "x", "y")
	}
	if c.replaces && rnd.Intn(3) > 0 || rnd.Intn(2) == 0 {
		c.pools = append(c.pools, "x")
	}
	if rnd.Intn(3) == 0 {
		c.pools = append(c.pools, "y")
	}
	if !c.replaces && rnd.Intn(4) == 0 {
		c.droppedQueues = append(c.droppedQueues, pick(rnd, "a", "b", "c"))
	}
	if !c.replaces && rnd.Intn(6) == 0 {
		c.droppedPools = append(c.droppedPools, pick(rnd, "x", "y"))
	}
	c.removeContradictions()
	return c
}

// removeContradictions removes drops of queues and pools that the change also adds.
func (c *change) removeContradictions() {
	for _, pool := range c.pools {
		if len(c.droppedPools) > 0 && c.droppedPools[0] == pool {
			c.droppedPools = nil
		}
	}
	if len(c.droppedQueues) > 0 && c.queues[c.droppedQueues[0]] != "" {
		c.droppedQueues = nil
	}
}

// changeSet holds the changes of a history. Two operators that send the same body send the
// same change, as the second cannot be distinguished from a resend.
type changeSet struct {
	list   []*change
	byText map[string]*change
	// ignoreMethod treats changes that differ only in their method as equal, as servers
	// of the old level do.
	ignoreMethod bool
}

func (p *changeSet) draw(rnd *rand.Rand, seen uint64) *change {
	c := drawChange(rnd, len(p.list), seen)
	method, body := c.encode()
	text := string(body)
	if !p.ignoreMethod {
		text = method + text
	}
	if same := p.byText[text]; same != nil {
		return same
	}
	if p.byText == nil {
		p.byText = map[string]*change{}
	}
	p.list, p.byText[text] = append(p.list, c), c
	return c
}

// encode returns the method and the body of the request that sends a change.
func (c *change) encode() (method string, body []byte) {
	queues, pools := []map[string]any{}, []map[string]any{}
	for _, name := range slices.Sorted(maps.Keys(c.queues)) {
		queues = append(queues, map[string]any{"name": name, "host": "h", "prefix": "/" + name + "/", "pool": c.queues[name], "timeoutMs": 1000})
	}
	for _, name := range c.pools {
		pools = append(pools, map[string]any{"name": name})
	}
	doc := map[string]any{"base": c.base, "version": c.version}
	if c.source != "" {
		doc["source"] = c.source
	}
	items := map[string]any{}
	if len(queues) > 0 {
		items["queues"] = queues
	}
	if len(pools) > 0 {
		items["pools"] = pools
	}
	method = http.MethodPut
	if c.replaces {
		maps.Copy(doc, items)
	} else {
		method = http.MethodPatch
		if len(items) > 0 {
			doc["put"] = items
		}
		if len(c.droppedQueues)+len(c.droppedPools) > 0 {
			doc["drop"] = map[string]any{"queues": c.droppedQueues, "pools": c.droppedPools}
		}
	}
	body, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	return method, body
}

// decodeRegister decodes the response to a read of the catalog.
func decodeRegister(body []byte) (register, error) {
	var doc struct {
		Version uint64 `json:"version"`
		Source  string `json:"source"`
		Queues  []struct{ Name, Pool string }
		Pools   []struct{ Name string }
	}
	r := newRegister()
	if err := json.Unmarshal(body, &doc); err != nil {
		return r, err
	}
	r.version, r.source = doc.Version, doc.Source
	for _, q := range doc.Queues {
		r.queues[q.Name] = q.Pool
	}
	for _, p := range doc.Pools {
		r.pools[p.Name] = true
	}
	return r, nil
}

// formatCalls formats a history for a failure message.
func formatCalls(calls []*registerCall) string {
	lines := []string{}
	for _, x := range calls {
		lines = append(lines, x.String())
	}
	return strings.Join(lines, "\n")
}

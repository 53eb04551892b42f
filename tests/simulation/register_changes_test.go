// What operators ask of the register: changes drawn from a seed, and how they are
// sent and read.

package simulation

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
)

// pick draws one of a list.
func pick[T any](rnd *rand.Rand, list ...T) T { return list[rnd.Intn(len(list))] }

// drawChange draws a change by someone who last read the version seen: mostly
// sound, sometimes of a number that others use too, sometimes invalid, or valid
// only on its own base.
func drawChange(rnd *rand.Rand, number int, seen uint64) *change {
	c := &change{number: number, whole: rnd.Intn(3) == 0, base: seen, version: seen + 1, queues: map[string]string{}}
	switch rnd.Intn(12) {
	case 0:
		c.version = seen + 2
	case 1:
		c.version = seen
	case 2:
		c.base = seen - min(seen, uint64(rnd.Intn(3)))
	}
	if rnd.Intn(4) > 0 {
		c.author = fmt.Sprint("operator ", number)
	}
	for n := rnd.Intn(3); n > 0; n-- {
		c.queues[pick(rnd, "a", "b", "c")] = pick(rnd, "x", "x", "y")
	}
	if c.whole && rnd.Intn(3) > 0 || rnd.Intn(2) == 0 {
		c.pools = append(c.pools, "x")
	}
	if rnd.Intn(3) == 0 {
		c.pools = append(c.pools, "y")
	}
	if !c.whole && rnd.Intn(4) == 0 {
		c.dropped = append(c.dropped, pick(rnd, "a", "b", "c"))
	}
	if !c.whole && rnd.Intn(6) == 0 {
		c.unpooled = append(c.unpooled, pick(rnd, "x", "y"))
	}
	c.settleDrops()
	return c
}

// settleDrops leaves out of the drops what is also put: the put counts.
func (c *change) settleDrops() {
	for _, pool := range c.pools {
		if len(c.unpooled) > 0 && c.unpooled[0] == pool {
			c.unpooled = nil
		}
	}
	if len(c.dropped) > 0 && c.queues[c.dropped[0]] != "" {
		c.dropped = nil
	}
}

// proposals are the changes of a history. Two operators who send the very same
// text send one change: nothing tells the second from a resend.
type proposals struct {
	list   []*change
	byText map[string]*change
	// verbless leaves out changes that only their verb tells from another, as
	// programs of the former level do not tell them apart.
	verbless bool
}

func (p *proposals) draw(rnd *rand.Rand, seen uint64) *change {
	c := drawChange(rnd, len(p.list), seen)
	verb, body := c.text()
	text := string(body)
	if !p.verbless {
		text = verb + text
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

// text is the change as it is sent.
func (c *change) text() (verb string, body []byte) {
	queues, pools := []map[string]any{}, []map[string]any{}
	for _, name := range slices.Sorted(maps.Keys(c.queues)) {
		queues = append(queues, map[string]any{"name": name, "host": "h", "prefix": "/" + name + "/", "pool": c.queues[name], "timeoutMs": 1000})
	}
	for _, name := range c.pools {
		pools = append(pools, map[string]any{"name": name})
	}
	doc := map[string]any{"base": c.base, "version": c.version}
	if c.author != "" {
		doc["source"] = c.author
	}
	items := map[string]any{}
	if len(queues) > 0 {
		items["queues"] = queues
	}
	if len(pools) > 0 {
		items["pools"] = pools
	}
	verb = "PUT"
	if c.whole {
		maps.Copy(doc, items)
	} else {
		verb = "PATCH"
		if len(items) > 0 {
			doc["put"] = items
		}
		if len(c.dropped)+len(c.unpooled) > 0 {
			doc["drop"] = map[string]any{"queues": c.dropped, "pools": c.unpooled}
		}
	}
	body, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	return verb, body
}

// readRegister reads what GET /v1/catalog answers.
func readRegister(body []byte) (register, error) {
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
	r.version, r.author = doc.Version, doc.Source
	for _, q := range doc.Queues {
		r.queues[q.Name] = q.Pool
	}
	for _, p := range doc.Pools {
		r.pools[p.Name] = true
	}
	return r, nil
}

// listing prints a history for a failed test.
func listing(calls []*exchange) string {
	lines := []string{}
	for _, x := range calls {
		lines = append(lines, x.String())
	}
	return strings.Join(lines, "\n")
}

// The register as a whole site keeps it: operators, gates and keepers.

package simulation

import (
	"flag"
	"fmt"
	"math/rand"
	"testing"

	"orchidward/internal/state"
)

var exchanges = flag.Int("exchanges", 48, "how many exchanges of operators with a whole site")

// operators change the catalogue of a whole site through its gates, each after
// reading it, and send a change again as long as its outcome is unclear, and
// now and then when it is not.
type operators struct {
	w       *World
	rnd     *rand.Rand
	changes proposals
	calls   []*exchange
	stop    int64
}

const (
	operatorCount   = 3
	operatorsBegin  = 6000
	operatorsWindow = 24000
	operatorWait    = 2000
)

// ask makes one call; then gets the status, 0 when nothing came in time.
func (o *operators) ask(verb string, body []byte, c *change, then func(x *exchange, body []byte)) {
	x := &exchange{begin: o.w.Now, end: never, change: c}
	if c != nil {
		o.calls = append(o.calls, x)
	}
	o.w.http(o.w.callers.node, o.w.callers.gate(), verb, "/v1/catalog", body, operatorWait, func(status int, body []byte) {
		x.status = status
		if status != 0 && status != 504 {
			x.end = o.w.Now
		}
		then(x, body)
	})
}

// read is followed by what is done with the version seen.
func (o *operators) read(then func(seen uint64)) {
	o.ask("GET", nil, nil, func(x *exchange, body []byte) {
		r, err := newRegister(), error(nil)
		switch x.status {
		case 200:
			r, err = readRegister(body)
		case 404:
		default:
			o.w.after(200, func() { o.read(then) })
			return
		}
		if err != nil {
			o.w.Watch.Violate("register", "reads as %q", body)
		}
		x.content = r.String()
		o.calls = append(o.calls, x)
		then(r.version)
	})
}

// work is one operator's: read, change, and again.
func (o *operators) work() {
	if o.w.Now >= o.stop {
		return
	}
	o.read(func(seen uint64) {
		c := o.changes.draw(o.rnd, seen)
		if o.rnd.Intn(6) == 0 {
			c = pick(o.rnd, o.changes.list...)
		}
		o.w.after(o.rnd.Int63n(100), func() { o.send(c, 1+o.rnd.Intn(6)) })
	})
}

// send sends a change until its outcome is clear or tries are used up.
func (o *operators) send(c *change, tries int) {
	verb, body := c.text()
	o.ask(verb, body, c, func(x *exchange, _ []byte) {
		settled := !x.unclear() && x.status != 503 && x.status != 429
		if tries > 1 && (!settled || o.rnd.Intn(8) == 0) {
			o.w.after(50+o.rnd.Int63n(400), func() { o.send(c, tries-1) })
			return
		}
		o.w.after(o.rnd.Int63n(400), o.work)
	})
}

// registerFaults are the kinds of fault that the operators' exchange meets.
var registerFaults = []string{"leader-crash", "leader-freeze", "leader-alone", "leader-alone", "keeper-crash", "keeper-freeze", "keeper-cut", "keeper-deaf",
	"keeper-slow", "keeper-stall", "keeper-lost", "power", "gate-crash", "gate-freeze", "gate-cut", "gate-alone", "rain"}

// newOperators sets a site up with its faults. In every third the keepers are of
// the former level and are upgraded under way; in every second one views are
// taken often, so that keepers that were away or empty are sent one.
func newOperators(seed int64) *operators {
	site := Gilde()
	site.Runners = 1
	if seed%2 == 0 {
		site.Delay, site.Loss = 25, 10
	}
	w := NewWorld(seed, site)
	o := &operators{w: w, rnd: rand.New(rand.NewSource(seed)), stop: operatorsBegin + operatorsWindow}
	for n := 0; n < 10; n++ {
		f := Fault{At: operatorsBegin + o.rnd.Int63n(operatorsWindow-4000), Dur: 200 + o.rnd.Int63n(4000), Kind: pick(o.rnd, registerFaults...), A: o.rnd.Intn(1000), B: o.rnd.Intn(1000)}
		w.at(f.At, func() { w.strike(f) })
	}
	if seed%3 == 0 {
		o.upgrade()
	}
	if seed%2 == 0 {
		for at := int64(operatorsBegin); at < o.stop; at += 4000 {
			w.at(at, o.fillLog)
		}
	}
	for n := 0; n < operatorCount; n++ {
		w.at(operatorsBegin+o.rnd.Int63n(500), o.work)
	}
	return o
}

func (o *operators) upgrade() {
	o.changes.verbless = true
	for i, k := range o.w.keepers {
		k.level = state.CatalogLevel
		o.w.at(operatorsBegin+4000+int64(i)*3000, func() { o.w.swap(o.w.keepers[i], state.SupportedLevel) })
	}
}

// fillLog proposes empty entries until every log is due to be cut by a view.
func (o *operators) fillLog() {
	for _, k := range o.w.keepers {
		if k.mach != nil {
			k.mach.LogPercentUsed = func() int { return 100 }
		}
	}
	lead := o.w.leader()
	if lead == nil {
		return
	}
	for n := 0; n < 300; n++ {
		lead.mach.Raft().Propose((&state.Command{}).Encode())
	}
}

// TestRegisterExchange holds the operators' whole exchange with a site, under
// crashes, splits, lost disks, views and an upgrade, against the specification.
func TestRegisterExchange(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= int64(*exchanges); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			o := newOperators(seed)
			o.w.Run(o.stop)
			o.w.heal()
			o.w.Run(o.stop + 12000)
			statuses := map[int]int{}
			for _, x := range o.calls {
				statuses[x.status]++
			}
			if len(o.w.Watch.Violations) > 0 || !linearizable(newRegister(), nil, o.calls) {
				t.Fatalf("no register answers so: %v\n%s", o.w.Watch.Violations, listing(o.calls))
			}
			if statuses[200] < 10 {
				t.Errorf("too little evidence: %v", statuses)
			}
			if lead := o.w.leader(); lead == nil || seed%2 == 0 && lead.mach.Raft().SnapshotIndex() == 0 {
				t.Error("too little evidence: nobody leads, or no log was cut by a view")
			}
			t.Log(statuses, o.w.Struck)
		})
	}
}

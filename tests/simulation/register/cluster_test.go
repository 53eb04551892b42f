// The register as a whole site keeps it: operators, gates and keepers.

package register

import (
	"flag"
	"fmt"
	"math/rand"
	"testing"

	"orchidward/internal/state"
	"orchidward/tests/simulation"
)

var exchangeCount = flag.Int("exchanges", 48, "how many exchanges of operators with a whole site")

// catalogOperators change the catalogue of a whole site through its gates, each after
// reading it, and send a change again as long as its outcome is unclear, and
// now and then when it is not.
type catalogOperators struct {
	cluster *simulation.Cluster
	random  *rand.Rand
	changes changeSet
	calls   []*registerCall
	stopAt  int64
}

const (
	operatorCount   = 3
	operatorsStart  = 6000
	operatorsWindow = 24000
	callTimeout     = 2000
)

// call makes one call; then gets the status, 0 when nothing came in time.
func (o *catalogOperators) call(verb string, body []byte, c *change, then func(x *registerCall, body []byte)) {
	x := &registerCall{startedAt: o.cluster.Now, endedAt: noAnswer, change: c}
	if c != nil {
		o.calls = append(o.calls, x)
	}
	o.cluster.Request(o.cluster.Clients.Process, o.cluster.Clients.RandomGateway(), verb, "/v1/catalog", body, callTimeout, func(status int, body []byte) {
		x.status = status
		if status != 0 && status != 504 {
			x.endedAt = o.cluster.Now
		}
		then(x, body)
	})
}

// read is followed by what is done with the version seen.
func (o *catalogOperators) read(then func(seen uint64)) {
	o.call("GET", nil, nil, func(x *registerCall, body []byte) {
		r, err := newRegister(), error(nil)
		switch x.status {
		case 200:
			r, err = decodeRegister(body)
		case 404:
		default:
			o.cluster.After(200, func() { o.read(then) })
			return
		}
		if err != nil {
			o.cluster.Checker.Violate("register", "reads as %q", body)
		}
		x.content = r.String()
		o.calls = append(o.calls, x)
		then(r.version)
	})
}

// work is one operator's: read, change, and again.
func (o *catalogOperators) changeCatalog() {
	if o.cluster.Now >= o.stopAt {
		return
	}
	o.read(func(seen uint64) {
		c := o.changes.draw(o.random, seen)
		if o.random.Intn(6) == 0 {
			c = pick(o.random, o.changes.list...)
		}
		o.cluster.After(o.random.Int63n(100), func() { o.send(c, 1+o.random.Intn(6)) })
	})
}

// send sends a change until its outcome is clear or tries are used up.
func (o *catalogOperators) send(c *change, tries int) {
	verb, body := c.encode()
	o.call(verb, body, c, func(x *registerCall, _ []byte) {
		settled := !x.unclear() && x.status != 503 && x.status != 429
		if tries > 1 && (!settled || o.random.Intn(8) == 0) {
			o.cluster.After(50+o.random.Int63n(400), func() { o.send(c, tries-1) })
			return
		}
		o.cluster.After(o.random.Int63n(400), o.changeCatalog)
	})
}

// registerFaults are the kinds of fault that the operators' exchange meets.
var registerFaults = []simulation.FaultKind{simulation.LeaderCrash, simulation.LeaderFreeze, simulation.LeaderIsolated, simulation.LeaderIsolated, simulation.ServerCrash, simulation.ServerFreeze, simulation.ServerLinkBlocked, simulation.ServerHalfIsolated,
	simulation.ServerDiskSlow, simulation.ServerDiskStalled, simulation.ServerLost, simulation.AllServersCrash, simulation.GatewayCrash, simulation.GatewayFreeze, simulation.GatewayLinkBlocked, simulation.GatewayIsolated, simulation.PacketLoss}

// newCatalogOperators sets a site up with its faults. In every third the keepers are of
// the former level and are upgraded under way; in every second one views are
// taken often, so that keepers that were away or empty are sent one.
func newCatalogOperators(seed int64) *catalogOperators {
	site := simulation.FastNetwork()
	site.Runners = 1
	if seed%2 == 0 {
		site.DelayMs, site.LossPerMille = 25, 10
	}
	cluster := simulation.NewCluster(seed, site)
	o := &catalogOperators{cluster: cluster, random: rand.New(rand.NewSource(seed)), stopAt: operatorsStart + operatorsWindow}
	for n := 0; n < 10; n++ {
		f := simulation.Fault{At: operatorsStart + o.random.Int63n(operatorsWindow-4000), Duration: 200 + o.random.Int63n(4000), Kind: pick(o.random, registerFaults...), Target: o.random.Intn(1000), Parameter: o.random.Intn(1000)}
		cluster.At(f.At, func() { cluster.Inject(f) })
	}
	if seed%3 == 0 {
		o.upgrade()
	}
	if seed%2 == 0 {
		for at := int64(operatorsStart); at < o.stopAt; at += 4000 {
			cluster.At(at, o.fillLog)
		}
	}
	for n := 0; n < operatorCount; n++ {
		cluster.At(operatorsStart+o.random.Int63n(500), o.changeCatalog)
	}
	return o
}

func (o *catalogOperators) upgrade() {
	o.changes.ignoreMethod = true
	for i, server := range o.cluster.Servers {
		server.Level = state.CatalogLevel
		o.cluster.At(operatorsStart+4000+int64(i)*3000, func() { o.cluster.RestartAtLevel(o.cluster.Servers[i], state.SupportedLevel) })
	}
}

// fillLog proposes empty entries until every log is due to be cut by a view.
func (o *catalogOperators) fillLog() {
	for _, server := range o.cluster.Servers {
		if server.Machine != nil {
			server.Machine.LogPercentUsed = func() int { return 100 }
		}
	}
	lead := o.cluster.Leader()
	if lead == nil {
		return
	}
	for n := 0; n < 300; n++ {
		lead.Machine.Raft().Propose((&state.Command{}).Encode())
	}
}

// TestRegisterExchange holds the operators' whole exchange with a site, under
// crashes, splits, lost disks, views and an upgrade, against the specification.
func TestRegisterExchange(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= int64(*exchangeCount); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			o := newCatalogOperators(seed)
			o.cluster.Run(o.stopAt)
			o.cluster.Heal()
			o.cluster.Run(o.stopAt + 12000)
			statuses := map[int]int{}
			for _, x := range o.calls {
				statuses[x.status]++
			}
			if len(o.cluster.Checker.Violations) > 0 || !linearizable(newRegister(), nil, o.calls) {
				t.Fatalf("no register answers so: %v\n%s", o.cluster.Checker.Violations, formatCalls(o.calls))
			}
			if statuses[200] < 10 {
				t.Errorf("too little evidence: %v", statuses)
			}
			if lead := o.cluster.Leader(); lead == nil || seed%2 == 0 && lead.Machine.Raft().SnapshotIndex() == 0 {
				t.Error("too little evidence: nobody leads, or no log was cut by a view")
			}
			t.Log(statuses, o.cluster.Injected)
		})
	}
}

package register

import (
	"flag"
	"fmt"
	"math/rand"
	"net/http"
	"testing"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/state"
	"orchidward/tests/simulation"
)

var exchangeCount = flag.Int("exchanges", 48, "how many runs of operators with a simulated cluster")

// catalogOperators change the catalog of a cluster, each after reading it. They resend a
// change as long as its outcome is unknown, and sometimes even when it is known.
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

// call makes one call and passes its outcome to then.
func (o *catalogOperators) call(method string, body []byte, c *change, then func(x *registerCall, body []byte)) {
	x := &registerCall{startedAt: o.cluster.Now, endedAt: noAnswer, change: c}
	if c != nil {
		o.calls = append(o.calls, x)
	}
	o.cluster.Request(o.cluster.Clients.Process, o.cluster.Clients.RandomGateway(), method, endpoint.CatalogPath, body, callTimeout, func(status int, body []byte) {
		x.status = status
		if status != 0 && status != http.StatusGatewayTimeout {
			x.endedAt = o.cluster.Now
		}
		then(x, body)
	})
}

// read reads the catalog, with retries, and calls then with its version.
func (o *catalogOperators) read(then func(seen uint64)) {
	o.call(http.MethodGet, nil, nil, func(x *registerCall, body []byte) {
		r, err := newRegister(), error(nil)
		switch x.status {
		case http.StatusOK:
			r, err = decodeRegister(body)
		case http.StatusNotFound:
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

// changeCatalog runs one operator: it reads the catalog, changes it, and repeats.
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

// send sends a change until its outcome is known or no attempts are left.
func (o *catalogOperators) send(c *change, attempts int) {
	method, body := c.encode()
	o.call(method, body, c, func(x *registerCall, _ []byte) {
		known := !x.outcomeUnknown() && x.status != http.StatusServiceUnavailable && x.status != http.StatusTooManyRequests
		if attempts > 1 && (!known || o.random.Intn(8) == 0) {
			o.cluster.After(50+o.random.Int63n(400), func() { o.send(c, attempts-1) })
			return
		}
		o.cluster.After(o.random.Int63n(400), o.changeCatalog)
	})
}

// registerFaults are the kinds of fault that are injected; LeaderIsolated is twice as
// likely as the others.
var registerFaults = []simulation.FaultKind{
	simulation.LeaderCrash,
	simulation.LeaderFreeze,
	simulation.LeaderIsolated,
	simulation.LeaderIsolated,
	simulation.ServerCrash,
	simulation.ServerFreeze,
	simulation.ServerLinkBlocked,
	simulation.ServerHalfIsolated,
	simulation.ServerDiskSlow,
	simulation.ServerDiskStalled,
	simulation.ServerLost,
	simulation.AllServersCrash,
	simulation.GatewayCrash,
	simulation.GatewayFreeze,
	simulation.GatewayLinkBlocked,
	simulation.GatewayIsolated,
	simulation.PacketLoss,
}

// newCatalogOperators makes a cluster with faults and operators. In every third run the
// servers start at the old level and are upgraded; in every second run they take snapshots
// often, so that servers that were down or empty receive a snapshot.
func newCatalogOperators(seed int64) *catalogOperators {
	spec := simulation.FastNetwork()
	spec.Runners = 1
	if seed%2 == 0 {
		spec.DelayMs, spec.LossPerMille = 25, 10
	}
	cluster := simulation.NewCluster(seed, spec)
	o := &catalogOperators{cluster: cluster, random: rand.New(rand.NewSource(seed)), stopAt: operatorsStart + operatorsWindow}
	for n := 0; n < 10; n++ {
		f := simulation.Fault{
			At:        operatorsStart + o.random.Int63n(operatorsWindow-4000),
			Duration:  200 + o.random.Int63n(4000),
			Kind:      pick(o.random, registerFaults...),
			Target:    o.random.Intn(1000),
			Parameter: o.random.Intn(1000),
		}
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

// fillLog makes every server take a snapshot: its log counts as full, and many empty
// entries commit.
func (o *catalogOperators) fillLog() {
	for _, server := range o.cluster.Servers {
		if server.Machine != nil {
			server.Machine.LogPercentUsed = func() int { return 100 }
		}
	}
	leader := o.cluster.Leader()
	if leader == nil {
		return
	}
	for n := 0; n < 300; n++ {
		leader.Machine.Raft().Propose((&state.Command{}).Encode())
	}
}

// TestRegisterExchange checks all operator calls to a cluster with crashes, partitions,
// lost disks, snapshots and an upgrade against the specification.
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
				t.Fatalf("history is not linearizable: %v\n%s", o.cluster.Checker.Violations, formatCalls(o.calls))
			}
			if statuses[http.StatusOK] < 10 {
				t.Errorf("too little evidence: %v", statuses)
			}
			if leader := o.cluster.Leader(); leader == nil || seed%2 == 0 && leader.Machine.Raft().SnapshotIndex() == 0 {
				t.Error("too little evidence: there is no leader, or no snapshot was taken")
			}
			t.Log(statuses, o.cluster.Injected)
		})
	}
}

package state

import (
	"bytes"
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// rackModel is the expected state of the runners of one rack: which of them are present,
// and which have announced their departure.
type rackModel struct {
	t     *testing.T
	store *Store
	path  []string
	// present and leaving are indexed by runner; incarnations counts the incarnations of
	// each.
	present      [rackSize]bool
	leaving      [rackSize]bool
	incarnations [rackSize]int
}

const (
	// rackSize is the number of runners in the modelled rack, pathLength the number of
	// events enumerated in every order, and longPaths the number of random sequences of
	// longPathLength events.
	rackSize       = 3
	pathLength     = 3
	longPaths      = 300
	longPathLength = 12
)

func rackRunner(i int) identifier.Runner { return identifier.Runner(fmt.Sprintf("w%d", i)) }

func newRackModel(t *testing.T, level uint16) *rackModel {
	t.Helper()
	m := &rackModel{t: t, store: New()}
	m.store.Level = level
	for i := range rackSize {
		m.report(i, false)
	}
	return m
}

func (m *rackModel) clone() *rackModel {
	next := *m
	loaded, err := Decode(m.store.Encode())
	if err != nil {
		m.t.Fatal(err)
	}
	next.store = loaded
	next.path = slices.Clone(m.path)
	return &next
}

func (m *rackModel) apply(command *Command) {
	command.At = m.store.Now + 100
	m.store.Apply(command)
}

// report applies a report of the current incarnation of a runner.
func (m *rackModel) report(i int, leaving bool) {
	m.present[i] = true
	m.leaving[i] = leaving
	m.apply(&Command{ReportRunner: &ReportRunner{
		Runner:      rackRunner(i),
		Incarnation: identifier.Incarnation(fmt.Sprint("a", m.incarnations[i])),
		Domain:      "north",
		Rack:        "k0",
		Draining:    leaving,
		DepartsAt:   m.store.Now + clock.ClusterTime(2500),
	}})
}

// rackEvents are the possible events of one runner.
var rackEvents = []struct {
	name string
	do   func(m *rackModel, i int)
}{
	{"leaves", func(m *rackModel, i int) { m.report(i, true) }},
	{"stays", func(m *rackModel, i int) { m.report(i, false) }},
	{"is lost", func(m *rackModel, i int) {
		m.present[i] = false
		incarnation := identifier.Incarnation(fmt.Sprint("a", m.incarnations[i]))
		m.apply(&Command{LoseRunner: &LoseRunner{Runner: rackRunner(i), Incarnation: incarnation}})
	}},
	{"is replaced under its name", func(m *rackModel, i int) {
		m.incarnations[i]++
		m.report(i, false)
	}},
}

// check compares the store with the model, before and after all drains have advanced as
// far as they can.
func (m *rackModel) check() {
	m.checkCordons()
	settled := m.clone()
	for settled.advanceOnce() {
	}
	settled.checkCordons()
	for _, drain := range settled.store.Drains {
		if drain.Stage.Cordons() && !slices.ContainsFunc(drain.Scope, func(name identifier.Runner) bool { return settled.isLeaving(name) }) {
			m.t.Errorf("%v: the drain of %v stays in %s although none of its runners leaves", m.path, drain.Scope, drain.Stage)
		}
	}
	for i := range rackSize {
		if m.present[i] && !m.leaving[i] && settled.store.Cordoned(rackRunner(i)) {
			m.t.Errorf("%v: %s stays but is cordoned for good", m.path, rackRunner(i))
		}
	}
}

func (m *rackModel) isLeaving(name identifier.Runner) bool {
	for i := range rackSize {
		if rackRunner(i) == name {
			return m.present[i] && m.leaving[i]
		}
	}
	return false
}

// checkCordons checks that every runner that has announced its departure is cordoned by
// the same log entry, and that no drain includes a runner that has not.
func (m *rackModel) checkCordons() {
	for i := range rackSize {
		name := rackRunner(i)
		if m.present[i] && m.leaving[i] && !m.store.Cordoned(name) {
			m.t.Errorf("%v: %s leaves but is not cordoned", m.path, name)
		}
	}
	for _, drain := range m.store.Drains {
		for _, name := range drain.Scope {
			if drain.Stage.Reopening() {
				continue
			}
			if !m.isLeaving(name) {
				m.t.Errorf("%v: the drain in %s includes %s, which does not leave", m.path, drain.Stage, name)
			}
		}
	}
}

// after returns the model after one more event, with a store decoded from its snapshot,
// as a new leader would have. If advance is set, the current stage of each drain is
// executed as well.
func (m *rackModel) after(i, event int, advance bool) *rackModel {
	next := m.clone()
	next.path = append(next.path, fmt.Sprint(rackRunner(i), " ", rackEvents[event].name))
	rackEvents[event].do(next, i)
	if advance {
		next.advanceOnce()
	}
	next.check()
	return next
}

// TestRackScope enumerates the orders in which the runners of a rack announce and
// withdraw their departure, are lost and are replaced under the same name. A new leader
// follows each event, and a stage of each drain is executed after every second one.
// Longer sequences are drawn at random.
func TestRackScope(t *testing.T) {
	t.Parallel()
	var visit func(m *rackModel, depth int)
	visit = func(m *rackModel, depth int) {
		if depth == pathLength || t.Failed() {
			return
		}
		for i := range rackSize {
			for event := range rackEvents {
				visit(m.after(i, event, depth%2 == 1), depth+1)
			}
		}
	}
	visit(newRackModel(t, RackScopeLevel), 0)
	random := rand.New(rand.NewSource(24))
	for range longPaths {
		m := newRackModel(t, RackScopeLevel)
		for step := 0; step < longPathLength && !t.Failed(); step++ {
			m = m.after(random.Intn(rackSize), random.Intn(len(rackEvents)), random.Intn(2) == 0)
		}
	}
}

// advanceOnce executes the current stage of each drain, and reports whether any drain
// changed its stage.
func (m *rackModel) advanceOnce() bool {
	moved := false
	for _, id := range m.store.DrainIDs() {
		before := m.store.Drains[id].Stage
		m.apply(&Command{AdvanceDrain: &AdvanceDrain{ID: id, From: before}})
		moved = moved || m.store.Drains[id].Stage != before
	}
	return moved
}

// TestRackScopeOnRaise checks that the entry which raises the level lifts the cordon of
// runners that an earlier version cordoned because most of their rack was leaving.
func TestRackScopeOnRaise(t *testing.T) {
	m := newRackModel(t, ResendLevel)
	for i := range 2 {
		m.report(i, true)
		m.apply(&Command{LoseRunner: &LoseRunner{Runner: rackRunner(i), Incarnation: "a0"}})
		m.present[i] = false
	}
	if !m.store.Cordoned(rackRunner(2)) {
		t.Fatal("below the level, the rest of the rack must be cordoned")
	}
	before := m.store.Encode()
	m.apply(&Command{RaiseLevel: &RaiseLevel{Level: RackScopeLevel}})
	m.check()
	if bytes.Equal(before, m.store.Encode()) {
		t.Error("raising the level did not change the state")
	}
}

// TestRackDrainReleasesRemainingRunner replays an observed sequence of departures: most
// runners of a rack leave and are lost, and the remaining one must accept work again.
func TestRackDrainReleasesRemainingRunner(t *testing.T) {
	f := newFixtureAtLevel(t, RackScopeLevel)
	leave := func(i int) {
		f.apply(http.StatusOK, &Command{ReportRunner: f.runnerReport(i, "a", true, 90000)})
		f.loseRunner(identifier.Runner(fmt.Sprintf("r%d", i)))
	}
	leave(2)
	f.apply(http.StatusOK, &Command{ReportRunner: f.runnerReport(6, "a", false, 0)})
	leave(6)
	f.submit("a/x", "a", singleTaskStep(1))
	f.place("a/x", 0, []int{0}, "r4")
	if f.store.Runners["r4"].OpenLeases() != 1 {
		t.Errorf("r4, the last of its rack, takes no work: cordoned by %q", f.store.Runners["r4"].CordonedBy())
	}
}

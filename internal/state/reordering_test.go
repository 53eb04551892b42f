package state

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
)

// Orders without a number of their own: closing and reopening a domain, handing
// a job in and cancelling it. Their copies are let arrive in every order, and
// what comes of each is stated.

// permutations lists every order in which the copies can arrive: each of them a
// different one, and those alike not told apart.
func permutations(copies []string) [][]string {
	var list [][]string
	if len(copies) == 0 {
		return [][]string{nil}
	}
	seen := map[string]bool{}
	for i, first := range copies {
		if seen[first] {
			continue
		}
		seen[first] = true
		for _, rest := range permutations(slices.Delete(slices.Clone(copies), i, i+1)) {
			list = append(list, append([]string{first}, rest...))
		}
	}
	return list
}

const (
	methodPost, methodDelete = "POST", "DELETE"
	methodPut                = "PUT"
)

func (f *fixture) sendDrainRequest(verb, id string) {
	f.Helper()
	if verb == methodPost {
		f.apply(200, &Command{StartDrain: &StartDrain{Domain: "north", ID: id, AllowUnknown: true}})
		return
	}
	if r := f.store.Apply(&Command{EndDrain: &EndDrain{Name: "north"}}); r.Status != 200 && r.Status != 404 {
		f.Fatalf("reopening got %+v", r)
	}
}

// domainDrained tells whether the domain is closed for good: a closing is in force that
// is not on its way to being reopened.
func (f *fixture) domainDrained() bool {
	var yes bool
	for _, c := range f.store.Drains {
		yes = yes || c.Domain == "north" && !c.Stage.Reopening()
	}
	return yes
}

// TestDrainRequestOrders: the last to arrive decides. So an order and its copies do
// no harm unless a copy arrives after a later order did: those copies must be
// dropped on their way. A closing with an id of its own is not begun again by a
// copy; only its overtaking is left.
func TestDrainRequestOrders(t *testing.T) {
	for _, id := range []string{"", "own"} {
		for _, arrival := range permutations([]string{methodPost, methodPost, methodDelete, methodDelete}) {
			f := newFixtureAtLevel(t, ResendLevel)
			for _, verb := range arrival {
				f.sendDrainRequest(verb, id)
			}
			want := arrival[len(arrival)-1] == methodPost
			if id != "" {
				want = !slices.Contains(arrival[slices.Index(arrival, methodPost):], methodDelete)
			}
			if f.domainDrained() != want {
				t.Errorf("id %q, %s: closed is %v, want %v", id, strings.Join(arrival, " "), f.domainDrained(), want)
			}
		}
	}
}

// TestDrainRequestsInOrder: with copies of a superseded order dropped, every
// arrival ends as the operator's last order has it.
func TestDrainRequestsInOrder(t *testing.T) {
	for _, given := range [][]string{{methodPost, methodDelete}, {methodPost, methodDelete, methodPost}, {methodDelete, methodPost}, {methodPost, methodDelete, methodPost, methodDelete}} {
		f := newFixtureAtLevel(t, ResendLevel)
		for _, verb := range given {
			f.sendDrainRequest(verb, "")
			f.sendDrainRequest(verb, "")
		}
		if want := given[len(given)-1] == methodPost; f.domainDrained() != want {
			t.Errorf("%s: closed is %v, want %v", strings.Join(given, " "), f.domainDrained(), want)
		}
	}
}

// TestEndDrainWithinOneMillisecond: however many closings of a domain began within one
// millisecond, reopening it reopens the one in force.
func TestEndDrainWithinOneMillisecond(t *testing.T) {
	f := newFixtureAtLevel(t, ResendLevel)
	for turn := 1; turn <= 30; turn++ {
		f.sendDrainRequest(methodPost, "")
		if !f.domainDrained() {
			t.Fatalf("turn %d: closed, and it is open", turn)
		}
		f.sendDrainRequest(methodDelete, "")
		if f.domainDrained() {
			t.Fatalf("turn %d: the reopening was acknowledged, and the domain stays closed", turn)
		}
	}
}

func submission(key identifier.JobKey) *Command {
	steps := []job.Step{{Name: "one", Tasks: 1, MaxDefects: 1, Demand: job.Demand{Cores: 1, Mem: 1}, ExpectedRun: 1}}
	return &Command{SubmitJob: &SubmitJob{Key: key, Spec: job.Spec{Row: "a", Steps: steps}}}
}

// sendJobRequest applies one copy and returns its status.
func (f *fixture) sendJobRequest(verb string, key identifier.JobKey) int {
	if verb == methodPut {
		return f.store.Apply(submission(key)).Status
	}
	return f.store.Apply(&Command{CancelJob: &CancelJob{Key: key}}).Status
}

// canBePlaced tells whether the job has anything that could be placed.
func (f *fixture) canBePlaced(key identifier.JobKey) bool {
	f.place(key, 0, []int{0}, "r1")
	return f.openLeases(key) > 0
}

// TestCancelOrders: once a cancel has arrived, no copy of the job's submission
// makes it run, whichever came first, also from a view, and no cancel is
// refused.
func TestCancelOrders(t *testing.T) {
	for _, arrival := range permutations([]string{methodPut, methodPut, methodDelete, methodDelete}) {
		f := newFixtureAtLevel(t, ResendLevel)
		statuses := []int{}
		for _, verb := range arrival {
			statuses = append(statuses, f.sendJobRequest(verb, "a/x"))
			f.reload()
		}
		name := strings.Join(arrival, " ")
		if f.canBePlaced("a/x") {
			t.Errorf("%s: cancelled, and the job runs", name)
		}
		for i, status := range statuses {
			accepted := slices.Contains(arrival[:i+1], methodPut) && arrival[0] == methodPut
			want := map[bool]map[string]int{true: {methodPut: 200, methodDelete: 200}, false: {methodPut: 503, methodDelete: 404}}[accepted][arrival[i]]
			if i == 0 && arrival[i] == methodPut {
				want = 201
			}
			if status != want {
				t.Errorf("%s: answered %v, want %d at place %d", name, statuses, want, i+1)
			}
		}
	}
}

// TestTombstones: a cancel that finds no job holds its id for as long as a
// submission can still be under way and no longer; holding is bounded and
// waits for its level.
func TestTombstones(t *testing.T) {
	const holdMs, holdsMost = 31_000, 4096
	f := newFixtureAtLevel(t, ResendLevel)
	f.apply(404, &Command{At: 2000, CancelJob: &CancelJob{Key: "a/x"}})
	early := submission("a/x")
	early.At = 2000 + holdMs - 1
	if r := f.store.Apply(early); r.Status != 503 || r.Code != "just-cancelled" || r.RetryAfter != 1 {
		t.Errorf("a submission just after the cancel got %+v", r)
	}
	later := submission("a/x")
	later.At = 2000 + holdMs
	f.apply(201, later)
	if !f.canBePlaced("a/x") {
		t.Error("submitted after the hold, the job does not run")
	}

	for i := 0; i < holdsMost; i++ {
		f.apply(404, &Command{CancelJob: &CancelJob{Key: identifier.JobKey(fmt.Sprintf("a/%d", i))}})
	}
	f.apply(503, &Command{CancelJob: &CancelJob{Key: "a/more"}})
	f.apply(404, &Command{CancelJob: &CancelJob{Key: "a/17"}})
	if n := len(f.store.Tombstones); n != holdsMost {
		t.Errorf("%d ids are held, want %d at most", n, holdsMost)
	}
	f.apply(404, &Command{At: later.At + 2*holdMs, CancelJob: &CancelJob{Key: "a/more"}})
	for i := 0; i < holdsMost; i++ {
		f.apply(0, &Command{})
	}
	if n := len(f.store.Tombstones); n != 1 {
		t.Errorf("%d ids are still held after their time", n)
	}

	former := newFixtureAtLevel(t, CatalogLevel)
	former.apply(404, &Command{CancelJob: &CancelJob{Key: "a/x"}})
	former.apply(201, submission("a/x"))
}

// TestDrainIDRetention: a closing's id is known while the closing is, which is
// for 64 others; a copy of its order that comes later begins it again, and must
// be dropped on its way.
func TestDrainIDRetention(t *testing.T) {
	f := newFixtureAtLevel(t, ResendLevel)
	reopen := func(domain identifier.Domain, id string) {
		f.apply(200, &Command{At: f.store.Now + 1, StartDrain: &StartDrain{Domain: domain, ID: id, AllowUnknown: true}})
		f.apply(200, &Command{EndDrain: &EndDrain{Name: string(domain)}})
		for _, stage := range []Stage{Preopen, Opening, Postopen} {
			f.store.Apply(&Command{AdvanceDrain: &AdvanceDrain{ID: id, From: stage}})
		}
	}
	reopen("north", "own")
	for n := 1; n < maxDrains; n++ {
		reopen("east", fmt.Sprint("other-", n))
	}
	f.sendDrainRequest(methodPost, "own")
	if f.domainDrained() {
		t.Error("a copy closed the domain again while the closing was known")
	}
	reopen("east", "one more")
	f.sendDrainRequest(methodPost, "own")
	if !f.domainDrained() {
		t.Error("the closing is still known after 64 others")
	}
}

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

// arrivals lists every order in which the copies can arrive: each of them a
// different one, and those alike not told apart.
func arrivals(copies []string) [][]string {
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
		for _, rest := range arrivals(slices.Delete(slices.Clone(copies), i, i+1)) {
			list = append(list, append([]string{first}, rest...))
		}
	}
	return list
}

const (
	post, remove = "POST", "DELETE"
	put          = "PUT"
)

func (d *desk) closingOrder(verb, id string) {
	d.Helper()
	if verb == post {
		d.must(200, &Command{StartDrain: &StartDrain{Domain: "north", ID: id, AllowUnknown: true}})
		return
	}
	if r := d.b.Apply(&Command{EndDrain: &EndDrain{Name: "north"}}); r.Status != 200 && r.Status != 404 {
		d.Fatalf("reopening got %+v", r)
	}
}

// closed tells whether the domain is closed for good: a closing is in force that
// is not on its way to being reopened.
func (d *desk) closed() bool {
	var yes bool
	for _, c := range d.b.Drains {
		yes = yes || c.Domain == "north" && !c.Stage.Reopening()
	}
	return yes
}

// TestClosingArrivals: the last to arrive decides. So an order and its copies do
// no harm unless a copy arrives after a later order did: those copies must be
// dropped on their way. A closing with an id of its own is not begun again by a
// copy; only its overtaking is left.
func TestClosingArrivals(t *testing.T) {
	for _, id := range []string{"", "own"} {
		for _, arrival := range arrivals([]string{post, post, remove, remove}) {
			d := newDeskAt(t, ResendLevel)
			for _, verb := range arrival {
				d.closingOrder(verb, id)
			}
			want := arrival[len(arrival)-1] == post
			if id != "" {
				want = !slices.Contains(arrival[slices.Index(arrival, post):], remove)
			}
			if d.closed() != want {
				t.Errorf("id %q, %s: closed is %v, want %v", id, strings.Join(arrival, " "), d.closed(), want)
			}
		}
	}
}

// TestClosingsWithoutStrays: with copies of a superseded order dropped, every
// arrival ends as the operator's last order has it.
func TestClosingsWithoutStrays(t *testing.T) {
	for _, given := range [][]string{{post, remove}, {post, remove, post}, {remove, post}, {post, remove, post, remove}} {
		d := newDeskAt(t, ResendLevel)
		for _, verb := range given {
			d.closingOrder(verb, "")
			d.closingOrder(verb, "")
		}
		if want := given[len(given)-1] == post; d.closed() != want {
			t.Errorf("%s: closed is %v, want %v", strings.Join(given, " "), d.closed(), want)
		}
	}
}

// TestReopenWithinAMoment: however many closings of a domain began within one
// millisecond, reopening it reopens the one in force.
func TestReopenWithinAMoment(t *testing.T) {
	d := newDeskAt(t, ResendLevel)
	for turn := 1; turn <= 30; turn++ {
		d.closingOrder(post, "")
		if !d.closed() {
			t.Fatalf("turn %d: closed, and it is open", turn)
		}
		d.closingOrder(remove, "")
		if d.closed() {
			t.Fatalf("turn %d: the reopening was acknowledged, and the domain stays closed", turn)
		}
	}
}

func submission(key identifier.JobKey) *Command {
	steps := []job.Step{{Name: "one", Tasks: 1, MaxDefects: 1, Demand: job.Demand{Cores: 1, Mem: 1}, ExpectedRun: 1}}
	return &Command{SubmitJob: &SubmitJob{Key: key, Spec: job.Spec{Row: "a", Steps: steps}}}
}

// jobOrder applies one copy and returns its status.
func (d *desk) jobOrder(verb string, key identifier.JobKey) int {
	if verb == put {
		return d.b.Apply(submission(key)).Status
	}
	return d.b.Apply(&Command{CancelJob: &CancelJob{Key: key}}).Status
}

// mayRun tells whether the job has anything that could be placed.
func (d *desk) mayRun(key identifier.JobKey) bool {
	d.place(key, 0, []int{0}, "r1")
	return d.open(key) > 0
}

// TestCancelArrivals: once a cancel has arrived, no copy of the job's submission
// makes it run, whichever came first, also from a view, and no cancel is
// refused.
func TestCancelArrivals(t *testing.T) {
	for _, arrival := range arrivals([]string{put, put, remove, remove}) {
		d := newDeskAt(t, ResendLevel)
		statuses := []int{}
		for _, verb := range arrival {
			statuses = append(statuses, d.jobOrder(verb, "a/x"))
			d.reload()
		}
		name := strings.Join(arrival, " ")
		if d.mayRun("a/x") {
			t.Errorf("%s: cancelled, and the job runs", name)
		}
		for i, status := range statuses {
			accepted := slices.Contains(arrival[:i+1], put) && arrival[0] == put
			want := map[bool]map[string]int{true: {put: 200, remove: 200}, false: {put: 503, remove: 404}}[accepted][arrival[i]]
			if i == 0 && arrival[i] == put {
				want = 201
			}
			if status != want {
				t.Errorf("%s: answered %v, want %d at place %d", name, statuses, want, i+1)
			}
		}
	}
}

// TestIDHeldBack: a cancel that finds no job holds its id for as long as a
// submission can still be under way and no longer; holding is bounded and
// waits for its level.
func TestIDHeldBack(t *testing.T) {
	const holdMs, holdsMost = 31_000, 4096
	d := newDeskAt(t, ResendLevel)
	d.must(404, &Command{At: 2000, CancelJob: &CancelJob{Key: "a/x"}})
	early := submission("a/x")
	early.At = 2000 + holdMs - 1
	if r := d.b.Apply(early); r.Status != 503 || r.Code != "just-cancelled" || r.RetryAfter != 1 {
		t.Errorf("a submission just after the cancel got %+v", r)
	}
	later := submission("a/x")
	later.At = 2000 + holdMs
	d.must(201, later)
	if !d.mayRun("a/x") {
		t.Error("submitted after the hold, the job does not run")
	}

	for i := 0; i < holdsMost; i++ {
		d.must(404, &Command{CancelJob: &CancelJob{Key: identifier.JobKey(fmt.Sprintf("a/%d", i))}})
	}
	d.must(503, &Command{CancelJob: &CancelJob{Key: "a/more"}})
	d.must(404, &Command{CancelJob: &CancelJob{Key: "a/17"}})
	if n := len(d.b.Tombstones); n != holdsMost {
		t.Errorf("%d ids are held, want %d at most", n, holdsMost)
	}
	d.must(404, &Command{At: later.At + 2*holdMs, CancelJob: &CancelJob{Key: "a/more"}})
	for i := 0; i < holdsMost; i++ {
		d.must(0, &Command{})
	}
	if n := len(d.b.Tombstones); n != 1 {
		t.Errorf("%d ids are still held after their time", n)
	}

	former := newDeskAt(t, CatalogLevel)
	former.must(404, &Command{CancelJob: &CancelJob{Key: "a/x"}})
	former.must(201, submission("a/x"))
}

// TestClosingForgotten: a closing's id is known while the closing is, which is
// for 64 others; a copy of its order that comes later begins it again, and must
// be dropped on its way.
func TestClosingForgotten(t *testing.T) {
	d := newDeskAt(t, ResendLevel)
	reopen := func(domain identifier.Domain, id string) {
		d.must(200, &Command{At: d.b.Now + 1, StartDrain: &StartDrain{Domain: domain, ID: id, AllowUnknown: true}})
		d.must(200, &Command{EndDrain: &EndDrain{Name: string(domain)}})
		for _, stage := range []Stage{Preopen, Opening, Postopen} {
			d.b.Apply(&Command{AdvanceDrain: &AdvanceDrain{ID: id, From: stage}})
		}
	}
	reopen("north", "own")
	for n := 1; n < maxDrains; n++ {
		reopen("east", fmt.Sprint("other-", n))
	}
	d.closingOrder(post, "own")
	if d.closed() {
		t.Error("a copy closed the domain again while the closing was known")
	}
	reopen("east", "one more")
	d.closingOrder(post, "own")
	if !d.closed() {
		t.Error("the closing is still known after 64 others")
	}
}

package state

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
)

// These tests cover requests that carry no version: starting and ending the drain of a
// domain, and submitting and cancelling a job. Copies of these requests arrive in every
// order, and each test states the expected outcome.

// permutations returns the distinct orders in which the copies can arrive.
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

// sendDrainRequest starts the drain of the domain north for POST, and ends it for
// DELETE.
func (f *fixture) sendDrainRequest(method, id string) {
	f.Helper()
	if method == http.MethodPost {
		f.apply(http.StatusOK, &Command{StartDrain: &StartDrain{Domain: "north", ID: id, AllowUnknown: true}})
		return
	}
	if r := f.store.Apply(&Command{EndDrain: &EndDrain{Name: "north"}}); r.Status != http.StatusOK && r.Status != http.StatusNotFound {
		f.Fatalf("reopening got %+v", r)
	}
}

// domainDrained reports whether a drain of the domain north is in force and is not being
// undone.
func (f *fixture) domainDrained() bool {
	for _, drain := range f.store.Drains {
		if drain.Domain == "north" && !drain.Stage.Reopening() {
			return true
		}
	}
	return false
}

// TestDrainRequestOrders checks that the last request to arrive decides. Copies are
// therefore harmless unless one arrives after a later request; such copies must be
// dropped before they reach the store. A drain with an id of its own is not started again
// by a copy, so that only a reordering of start and end can have a wrong result there.
func TestDrainRequestOrders(t *testing.T) {
	for _, id := range []string{"", "own"} {
		for _, arrival := range permutations([]string{http.MethodPost, http.MethodPost, http.MethodDelete, http.MethodDelete}) {
			f := newFixtureAtLevel(t, ResendLevel)
			for _, method := range arrival {
				f.sendDrainRequest(method, id)
			}
			want := arrival[len(arrival)-1] == http.MethodPost
			if id != "" {
				want = !slices.Contains(arrival[slices.Index(arrival, http.MethodPost):], http.MethodDelete)
			}
			if f.domainDrained() != want {
				t.Errorf("id %q, %s: drained is %v, want %v", id, strings.Join(arrival, " "), f.domainDrained(), want)
			}
		}
	}
}

// TestDrainRequestsInOrder checks that the result matches the last request if copies of
// superseded requests are dropped.
func TestDrainRequestsInOrder(t *testing.T) {
	for _, given := range [][]string{
		{http.MethodPost, http.MethodDelete},
		{http.MethodPost, http.MethodDelete, http.MethodPost},
		{http.MethodDelete, http.MethodPost},
		{http.MethodPost, http.MethodDelete, http.MethodPost, http.MethodDelete},
	} {
		f := newFixtureAtLevel(t, ResendLevel)
		for _, method := range given {
			f.sendDrainRequest(method, "")
			f.sendDrainRequest(method, "")
		}
		if want := given[len(given)-1] == http.MethodPost; f.domainDrained() != want {
			t.Errorf("%s: drained is %v, want %v", strings.Join(given, " "), f.domainDrained(), want)
		}
	}
}

// TestEndDrainWithinOneMillisecond checks that reopening a domain reopens the drain in
// force, however many drains of the domain started within the same millisecond.
func TestEndDrainWithinOneMillisecond(t *testing.T) {
	f := newFixtureAtLevel(t, ResendLevel)
	for turn := 1; turn <= 30; turn++ {
		f.sendDrainRequest(http.MethodPost, "")
		if !f.domainDrained() {
			t.Fatalf("turn %d: the drain was acknowledged, but the domain is not drained", turn)
		}
		f.sendDrainRequest(http.MethodDelete, "")
		if f.domainDrained() {
			t.Fatalf("turn %d: the reopening was acknowledged, but the domain stays drained", turn)
		}
	}
}

func submission(key identifier.JobKey) *Command {
	step := singleTaskStep(1)
	step.MaxDefects = 1
	spec := job.Spec{Row: "a", Steps: []job.Step{step}}
	return &Command{SubmitJob: &SubmitJob{Key: key, Spec: spec}}
}

// sendJobRequest applies one copy of a submission (PUT) or a cancel (DELETE) and
// returns its status.
func (f *fixture) sendJobRequest(method string, key identifier.JobKey) int {
	if method == http.MethodPut {
		return f.store.Apply(submission(key)).Status
	}
	return f.store.Apply(&Command{CancelJob: &CancelJob{Key: key}}).Status
}

// canBePlaced tries to place a task of the job and reports whether the job has an open
// lease afterwards.
func (f *fixture) canBePlaced(key identifier.JobKey) bool {
	f.place(key, 0, []int{0}, "r1")
	return f.openLeases(key) > 0
}

// TestCancelOrders checks that once a cancel has arrived no copy of the submission makes
// the job run, whichever arrived first, even if the store is read from a snapshot in
// between, and that no cancel is rejected.
func TestCancelOrders(t *testing.T) {
	for _, arrival := range permutations([]string{http.MethodPut, http.MethodPut, http.MethodDelete, http.MethodDelete}) {
		f := newFixtureAtLevel(t, ResendLevel)
		statuses := []int{}
		for _, method := range arrival {
			statuses = append(statuses, f.sendJobRequest(method, "a/x"))
			f.reload()
		}
		name := strings.Join(arrival, " ")
		if f.canBePlaced("a/x") {
			t.Errorf("%s: cancelled, and the job runs", name)
		}
		for i, status := range statuses {
			if want := wantStatus(arrival, i); status != want {
				t.Errorf("%s: answered %v, want %d as the answer %d", name, statuses, want, i+1)
			}
		}
	}
}

// wantStatus returns the expected status of the i-th request to arrive: a job is accepted
// only if a submission arrived first.
func wantStatus(arrival []string, i int) int {
	submittedFirst := arrival[0] == http.MethodPut
	switch {
	case submittedFirst && i == 0:
		return http.StatusCreated
	case submittedFirst:
		return http.StatusOK
	case arrival[i] == http.MethodPut:
		return http.StatusServiceUnavailable
	}
	return http.StatusNotFound
}

// TestTombstones checks that a cancel that finds no job rejects submissions of its id for
// as long as one can still be in flight, and no longer. The number of tombstones is
// bounded, and below ResendLevel there are none.
func TestTombstones(t *testing.T) {
	const lifetimeMs, limit = 31_000, 4096
	f := newFixtureAtLevel(t, ResendLevel)
	f.apply(http.StatusNotFound, &Command{At: 2000, CancelJob: &CancelJob{Key: "a/x"}})
	early := submission("a/x")
	early.At = 2000 + lifetimeMs - 1
	if r := f.store.Apply(early); r.Status != http.StatusServiceUnavailable || r.Code != "just-cancelled" || r.RetryAfter != 1 {
		t.Errorf("a submission just after the cancel got %+v", r)
	}
	later := submission("a/x")
	later.At = 2000 + lifetimeMs
	f.apply(http.StatusCreated, later)
	if !f.canBePlaced("a/x") {
		t.Error("submitted after the tombstone expired, the job does not run")
	}

	for i := range limit {
		f.apply(http.StatusNotFound, &Command{CancelJob: &CancelJob{Key: identifier.JobKey(fmt.Sprintf("a/%d", i))}})
	}
	f.apply(http.StatusServiceUnavailable, &Command{CancelJob: &CancelJob{Key: "a/more"}})
	f.apply(http.StatusNotFound, &Command{CancelJob: &CancelJob{Key: "a/17"}})
	if n := len(f.store.Tombstones); n != limit {
		t.Errorf("%d tombstones, want %d at most", n, limit)
	}
	f.apply(http.StatusNotFound, &Command{At: later.At + 2*lifetimeMs, CancelJob: &CancelJob{Key: "a/more"}})
	for range limit {
		f.apply(0, &Command{})
	}
	if n := len(f.store.Tombstones); n != 1 {
		t.Errorf("%d tombstones are left after they expired, want 1", n)
	}

	earlier := newFixtureAtLevel(t, CatalogLevel)
	earlier.apply(http.StatusNotFound, &Command{CancelJob: &CancelJob{Key: "a/x"}})
	earlier.apply(http.StatusCreated, submission("a/x"))
}

// TestDrainIDRetention checks that the id of a drain is known as long as the drain is
// kept, which is until 64 later ones. A copy of the request that arrives afterwards
// starts the drain again, so it must be dropped before it reaches the store.
func TestDrainIDRetention(t *testing.T) {
	f := newFixtureAtLevel(t, ResendLevel)
	drainAndReopen := func(domain identifier.Domain, id string) {
		start := &StartDrain{Domain: domain, ID: id, AllowUnknown: true}
		f.apply(http.StatusOK, &Command{At: f.store.Now + 1, StartDrain: start})
		f.apply(http.StatusOK, &Command{EndDrain: &EndDrain{Name: string(domain)}})
		f.advanceDrain(id, Preopen, Opening, Postopen)
	}
	drainAndReopen("north", "own")
	for n := 1; n < maxDrains; n++ {
		drainAndReopen("east", fmt.Sprint("other-", n))
	}
	f.sendDrainRequest(http.MethodPost, "own")
	if f.domainDrained() {
		t.Error("a copy drained the domain again while the drain was known")
	}
	drainAndReopen("east", "one more")
	f.sendDrainRequest(http.MethodPost, "own")
	if !f.domainDrained() {
		t.Error("the drain is still known after 64 others")
	}
}

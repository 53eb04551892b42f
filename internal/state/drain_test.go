package state

import (
	"fmt"
	"net/http"
	"testing"

	"orchidward/internal/api/identifier"
)

// TestSuspendedUntilDrainEnds checks that displaced tasks of a row configured to suspend
// them wait for the end of the drain if they fit nowhere else, and return to the Waiting
// state once it is reopened.
func TestSuspendedUntilDrainEnds(t *testing.T) {
	f := newFixture(t, `{"ride.onOutage":"ride"}`)
	for i := 1; i <= 4; i++ {
		key := identifier.JobKey(fmt.Sprintf("a/%d", i))
		f.submit(key, "ride", singleTaskStep(8))
		f.place(key, 0, []int{0}, identifier.Runner(fmt.Sprintf("r%d", i)))
	}
	f.apply(http.StatusOK, &Command{StartDrain: &StartDrain{Domain: "north", ID: "m1"}})
	f.advanceDrain("m1", Preflight, Predrain, Cordon)
	drain := f.store.Drains["m1"]
	if drain.Fits || drain.Shortage.Cores != 16 || len(drain.Displaced) != 2 || drain.Stage != Postdrain {
		t.Fatalf("drain %+v", drain)
	}
	f.reportEnd("r2", "a", 2, identifier.TaskRef{Job: "a/2"}, OutcomeStopped)
	if state := f.firstTask("a/2").State; state != Suspended {
		t.Fatalf("the displaced task is %s", state)
	}
	f.apply(0, &Command{AdvanceDrain: &AdvanceDrain{ID: "m1", From: Postdrain, TimedOut: true}})
	if drain.Stage != Closed || drain.UnconfirmedStops != 1 || drain.Verdict != "unconfirmed stops over threshold, operator to look" {
		t.Fatalf("post-drain %+v", drain)
	}

	f.apply(http.StatusOK, &Command{EndDrain: &EndDrain{Name: "north"}})
	f.advanceDrain("m1", Cordon)
	if drain.Stage != Preopen {
		t.Fatal("a command for an earlier stage moved the drain")
	}
	if !f.store.Cordoned("r2") {
		t.Fatalf("not cordoned in stage %s", drain.Stage)
	}
	f.advanceDrain("m1", Preopen, Opening, Postopen)
	if state := f.firstTask("a/2").State; state != Waiting || f.store.Cordoned("r2") || drain.Stage != Open {
		t.Fatalf("after reopening the task is %s, stage %s", state, drain.Stage)
	}
}

// TestRackDrainBelowLevel checks the behaviour below RackScopeLevel, which must not
// change, since logs of earlier versions are replayed: once more than half of a rack
// leaves, the scope is the whole rack.
func TestRackDrainBelowLevel(t *testing.T) {
	f := newFixtureAtLevel(t, ResendLevel)
	for _, i := range []int{6, 2, 4} {
		f.apply(http.StatusOK, &Command{ReportRunner: f.runnerReport(i, "a", i != 6, 90000)})
	}
	if !f.store.Cordoned("r2") || !f.store.Cordoned("r4") || !f.store.Cordoned("r6") || f.store.Cordoned("r1") {
		t.Fatal("two leaving runners of three did not cordon exactly the rack")
	}
	drain := f.store.Drains["c-1"]
	if f.store.StopDue(drain, "r6", 1000) || !f.store.StopDue(drain, "r6", 87001) {
		t.Fatal("the runner that stays must be stopped at the margin before the first departure")
	}
}

// TestRackDrain checks that a runner that announces its departure is cordoned
// immediately, and that no other runner of its rack is, however many leave. The rack
// reopens once all of them have withdrawn their departure.
func TestRackDrain(t *testing.T) {
	f := newFixtureAtLevel(t, RackScopeLevel)
	stays := func(i int) {
		t.Helper()
		f.apply(http.StatusOK, &Command{ReportRunner: f.runnerReport(i, "a", false, 0)})
	}
	leaves := func(i int) {
		t.Helper()
		f.apply(http.StatusOK, &Command{ReportRunner: f.runnerReport(i, "a", true, 90000)})
	}
	stays(6)
	leaves(2)
	if !f.store.Cordoned("r2") || f.store.Cordoned("r4") || f.store.Cordoned("r1") {
		t.Fatal("one leaving runner of three must be the only one cordoned")
	}
	leaves(4)
	if !f.store.Cordoned("r2") || !f.store.Cordoned("r4") || f.store.Cordoned("r6") || f.store.Cordoned("r1") {
		t.Fatal("two leaving runners of three must be the only ones cordoned")
	}
	drain := f.store.Drains["c-1"]
	if f.store.StopDue(drain, "r4", 1000) || !f.store.StopDue(drain, "r4", 87001) {
		t.Fatal("tasks must be stopped at the margin before the departure, not earlier")
	}
	f.apply(http.StatusConflict, &Command{EndDrain: &EndDrain{Name: "c-1"}})
	stays(2)
	stays(4)
	f.advanceDrain("c-1", Preopen, Opening, Postopen)
	if f.store.Cordoned("r2") || f.store.Cordoned("r4") || f.store.Cordoned("r6") || drain.Stage != Open {
		t.Fatalf("stage %s", drain.Stage)
	}
}

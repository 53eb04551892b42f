package state

import (
	"bytes"
	"net/http"
	"testing"

	"orchidward/internal/api/identifier"
)

// TestSnapshotRoundTrip checks that a store decoded from a snapshot and the store that
// produced the snapshot stay identical under further commands.
func TestSnapshotRoundTrip(t *testing.T) {
	f := newFixture(t, `{"ride.onOutage":"ride"}`)
	f.submit("a/g", "ride", gangStep(2, 4))
	f.submit("a/x", "default", singleTaskStep(1))
	f.place("a/g", 0, []int{0, 1}, "r1", "r2")
	f.apply(http.StatusOK, &Command{StartDrain: &StartDrain{Domain: "north", ID: "m"}})
	loaded, err := Decode(f.store.Encode())
	if err != nil {
		t.Fatal(err)
	}
	stopped := End{Lease: 2, Task: identifier.TaskRef{Job: "a/g", Num: 1}, Outcome: OutcomeStopped}
	for _, command := range []*Command{
		{AdvanceDrain: &AdvanceDrain{ID: "m", From: Preflight}},
		{AdvanceDrain: &AdvanceDrain{ID: "m", From: Predrain}},
		{AdvanceDrain: &AdvanceDrain{ID: "m", From: Cordon}},
		{ReportEnds: &ReportEnds{Runner: "r2", Incarnation: "a", Ends: []End{stopped}}},
		{At: 9000, CancelJob: &CancelJob{Key: "a/x"}},
	} {
		f.store.Apply(command)
		loaded.Apply(command)
		if a, b := f.store.Encode(), loaded.Encode(); !bytes.Equal(a, b) {
			t.Fatalf("the stores differ:\n%s\n%s", a, b)
		}
	}
}

package state

import (
	"net/http"
	"testing"

	"orchidward/internal/api/job"
)

// TestDedupRetention checks that a resend gets the same response as long as the id is
// remembered, even after the job's details were dropped, and never runs the job again.
func TestDedupRetention(t *testing.T) {
	f := newFixture(t, `{"site.retainMs":1000,"site.knownMs":60000}`)
	spec := job.Spec{Row: "default", Steps: []job.Step{singleTaskStep(1)}}
	submit := &Command{At: 2000, SubmitJob: &SubmitJob{Key: "a/x", Spec: spec}}
	first := f.store.Apply(submit)
	f.apply(http.StatusOK, &Command{CancelJob: &CancelJob{Key: "a/x"}})
	f.wantState("a/x", "cancelled")
	f.store.Apply(&Command{At: 4000})
	if f.store.Jobs["a/x"] != nil || f.store.Dedup.Len() != 1 {
		t.Fatal("the details were kept past the retention")
	}
	again := f.store.Apply(submit)
	if again.Status != http.StatusOK || again.Body != first.Body {
		t.Fatalf("first %+v, again %+v", first, again)
	}
	other := *submit.SubmitJob
	other.Spec.Urgency = 1
	f.apply(http.StatusConflict, &Command{SubmitJob: &other})
	f.apply(http.StatusOK, &Command{CancelJob: &CancelJob{Key: "a/x"}})
	f.store.Apply(&Command{At: 70000})
	if f.store.Dedup.Len() != 0 {
		t.Fatal("the id was kept past the retention")
	}
}

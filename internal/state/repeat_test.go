package state

import (
	"fmt"
	"math/rand"
	"net/http"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
)

// TestRepeatedJob checks that a repeated job is a single record until an occurrence is
// due, that occurrences may overlap and none starts early, that the job ends with its
// last occurrence, and that cancelling it ends the open occurrences and starts no more.
func TestRepeatedJob(t *testing.T) {
	f := newQueueFixture(t)
	steps := []job.Step{{Tasks: 1}}
	f.submitToQueue("q/r", job.Spec{Repeat: &job.Repeat{Count: 3, First: 10000, Every: 1000}, Steps: steps})
	f.submitToQueue("q/c", job.Spec{Repeat: &job.Repeat{Count: 100000, First: 10000, Every: 1000}, Steps: steps})
	if n := len(f.store.Jobs); n != 2 {
		t.Errorf("%d jobs before any occurrence is due", n)
	}
	f.store.Apply(&Command{At: 9999})
	f.wantState("q/r", "waiting")
	if at, ok := f.store.NextScheduledStart(); !ok || at != 10000 {
		t.Errorf("next start at %d %v", at, ok)
	}
	f.store.Apply(&Command{At: 11500})
	f.wantState("q/r", "running")
	if f.store.Jobs["q/r.0"] == nil || f.store.Jobs["q/r.1"] == nil || f.store.Jobs["q/r.2"] != nil {
		t.Error("at 11.5 s occurrences 0 and 1 must have started, and 2 must not")
	}
	if due := f.store.Jobs["q/r.1"].Terms.DueAt; due != 11000+2*1000+1000 {
		t.Errorf("occurrence 1 is due at %d", due)
	}
	loaded, err := Decode(f.store.Encode())
	if err != nil {
		t.Fatal(err)
	}
	if loaded.QueuedJobs("q") != 2 || loaded.Jobs["q/r"].openOccurrences != 2 {
		t.Errorf("read back: %d queued, %d occurrences", loaded.QueuedJobs("q"), loaded.Jobs["q/r"].openOccurrences)
	}
	f.apply(http.StatusOK, &Command{CancelJob: &CancelJob{Key: "q/c"}})
	f.store.Apply(&Command{At: 60000})
	f.wantState("q/c", "cancelled")
	if f.store.Jobs["q/c.2"] != nil {
		t.Error("an occurrence was started after the cancel")
	}
	for number := range 3 {
		key := identifier.JobKey(fmt.Sprintf("q/r.%d", number))
		f.wantState("q/r", "running")
		f.place(key, 0, []int{0}, "r5")
		f.reportEnd("r5", "a", f.firstTask(key).Lease, identifier.TaskRef{Job: key}, OutcomeSuccess)
	}
	f.wantState("q/r", "well")
	if n := f.store.QueuedJobs("q"); n != 0 {
		t.Errorf("%d jobs are left in the queue", n)
	}
	likeOccurrence := job.Spec{Queue: "q", Steps: []job.Step{{Name: "s", Tasks: 1}}}
	f.apply(http.StatusUnprocessableEntity, &Command{SubmitJob: &SubmitJob{Key: "q/z.1", Spec: likeOccurrence}})
}

// TestOtherJobsEndWhileRepeatedJobsWait checks that jobs that are not repeated can end,
// by success or by a cancel and in any order, while repeated jobs of the same queue have
// occurrences to come.
func TestOtherJobsEndWhileRepeatedJobsWait(t *testing.T) {
	for seed := range int64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			endJobsBesideRepeatedOnes(t, rand.New(rand.NewSource(seed)))
		})
	}
}

func endJobsBesideRepeatedOnes(t *testing.T, random *rand.Rand) {
	f := newQueueFixture(t)
	repeated := 1 + random.Intn(3)
	for i := range repeated {
		first := clock.ClusterTime(10000 + random.Intn(5000))
		f.submitToQueue(repeatedKey(i), job.Spec{
			Repeat: &job.Repeat{Count: 3, First: first, Every: 1000},
			Steps:  []job.Step{{Tasks: 1}},
		})
	}
	once := 1 + random.Intn(4)
	for i := range once {
		f.submitToQueue(onceKey(i), job.Spec{Steps: []job.Step{{Tasks: 1}}})
	}
	for _, i := range random.Perm(once) {
		key := onceKey(i)
		if random.Intn(2) == 0 {
			f.apply(http.StatusOK, &Command{CancelJob: &CancelJob{Key: key}})
			f.wantState(key, "cancelled")
			continue
		}
		f.place(key, 0, []int{0}, "r5")
		f.reportEnd("r5", "a", f.firstTask(key).Lease, identifier.TaskRef{Job: key}, OutcomeSuccess)
		f.wantState(key, "well")
	}
	if queued := f.store.QueuedJobs("q"); queued != int64(repeated) {
		t.Errorf("%d jobs are left in the queue, want the %d repeated ones", queued, repeated)
	}
	f.store.Apply(&Command{At: 15000})
	for i := range repeated {
		if f.store.Jobs[repeatedKey(i)+".0"] == nil {
			t.Errorf("the first occurrence of %s did not start", repeatedKey(i))
		}
	}
}

func repeatedKey(i int) identifier.JobKey { return identifier.JobKey(fmt.Sprintf("q/r%d", i)) }

func onceKey(i int) identifier.JobKey { return identifier.JobKey(fmt.Sprintf("q/j%d", i)) }

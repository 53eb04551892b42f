package state

import (
	"fmt"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
)

// storeAfterOneDay returns a store after a day at the usual rate: ids are remembered for
// a day, details for ten minutes.
func storeAfterOneDay(remembered, detailed int) *Store {
	store := New()
	for i := range remembered {
		key := identifier.JobKey(fmt.Sprintf("gilde/j%d", i))
		store.Dedup.add(&Job{Key: key, Checksum: fmt.Sprint(i), EndState: Succeeded}, 1000)
	}
	step := job.Step{Name: "check", Tasks: 1, Demand: job.Demand{Cores: 1, Mem: 1}, MaxDefects: 1, ExpectedRun: 100}
	for i := range detailed {
		key := identifier.JobKey(fmt.Sprintf("gilde/k%d", i))
		spec := job.Spec{Row: "default", Steps: []job.Step{step}}
		store.Apply(&Command{At: 1000, SubmitJob: &SubmitJob{Key: key, Spec: spec}})
	}
	return store
}

// BenchmarkSnapshot measures the time that a server spends on a snapshot, and the size of
// the snapshot.
func BenchmarkSnapshot(bench *testing.B) {
	for _, size := range []struct{ ids, kept int }{{0, 1000}, {0, 7000}, {100_000, 7000}, {1_000_000, 7000}} {
		store := storeAfterOneDay(size.ids, size.kept)
		bench.Run(fmt.Sprintf("encode/ids=%d/kept=%d", size.ids, size.kept), func(bench *testing.B) {
			n := 0
			for bench.Loop() {
				n = len(store.Encode())
			}
			bench.ReportMetric(float64(n), "bytes")
		})
		snapshot := store.Encode()
		bench.Run(fmt.Sprintf("decode/ids=%d/kept=%d", size.ids, size.kept), func(bench *testing.B) {
			for bench.Loop() {
				if _, err := Decode(snapshot); err != nil {
					bench.Fatal(err)
				}
			}
		})
	}
}

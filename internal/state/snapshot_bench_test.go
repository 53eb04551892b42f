package state

import (
	"fmt"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
)

// storeAfterOneDay is a book after a day at the usual rate: ids kept for a day, details
// for ten minutes.
func storeAfterOneDay(known, kept int) *Store {
	store := New()
	for i := 0; i < known; i++ {
		store.Dedup.add(&Job{Key: identifier.JobKey(fmt.Sprintf("gilde/j%d", i)), Checksum: fmt.Sprint(i), EndState: Succeeded}, 1000)
	}
	for i := 0; i < kept; i++ {
		s := job.Spec{Row: "default", Steps: []job.Step{{Name: "check", Tasks: 1, Demand: job.Demand{Cores: 1, Mem: 1}, MaxDefects: 1, ExpectedRun: 100}}}
		store.Apply(&Command{At: 1000, SubmitJob: &SubmitJob{Key: identifier.JobKey(fmt.Sprintf("gilde/k%d", i)), Spec: s}})
	}
	return store
}

// BenchmarkSnapshot is the pause a keeper takes to make a view, and its size.
func BenchmarkSnapshot(bench *testing.B) {
	for _, size := range []struct{ ids, kept int }{{0, 1000}, {0, 7000}, {100_000, 7000}, {1_000_000, 7000}} {
		b := storeAfterOneDay(size.ids, size.kept)
		bench.Run(fmt.Sprintf("encode/ids=%d/kept=%d", size.ids, size.kept), func(bench *testing.B) {
			n := 0
			for bench.Loop() {
				n = len(b.Encode())
			}
			bench.ReportMetric(float64(n), "bytes")
		})
		text := b.Encode()
		bench.Run(fmt.Sprintf("decode/ids=%d/kept=%d", size.ids, size.kept), func(bench *testing.B) {
			for bench.Loop() {
				if _, err := Decode(text); err != nil {
					bench.Fatal(err)
				}
			}
		})
	}
}

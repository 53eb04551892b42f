package main

import (
	"fmt"
	"maps"
	"net/http"
	"slices"

	"orchidward/internal/controlplane"
)

type jobExplain struct {
	Job string `arg:"" help:"AGENT/ID, or QUEUE/ID"`
}

// Run shows how long a job waited and ran, and the time lost to failed attempts.
func (c *jobExplain) Run(a *api) error {
	path, err := jobPath(c.Job)
	if err != nil {
		return err
	}
	return callAndShow(a, http.MethodGet, path, nil, explainJob)
}

func explainJob(j controlplane.JobDoc) {
	fmt.Printf("%v  %v  accepted %v", j.Job, j.State, j.Accepted)
	printField("ended", j.Ended)
	printField("why", j.Reason)
	fmt.Println()
	if j.Timing == nil {
		fmt.Println("  the leader has not followed this job from its start")
		return
	}
	printTiming("in all", *j.Timing)
	for _, step := range j.Steps {
		switch {
		case step.Timing != nil:
			printTiming(fmt.Sprintf("step %v, last task %d", step.Name, step.Timing.Task), step.Timing.TimingDoc)
		case step.Reason != "":
			fmt.Printf("  step %v: %v\n", step.Name, step.Reason)
		default:
			fmt.Printf("  step %v has not ended\n", step.Name)
		}
	}
}

func printTiming(what string, timing controlplane.TimingDoc) {
	fmt.Printf("  %s: waited %d ms, ran %d ms, attempts %d", what, timing.Waiting, timing.Running, timing.Attempts)
	if timing.Distant > 0 {
		fmt.Printf(", away from its data %d", timing.Distant)
	}
	for _, cause := range slices.Sorted(maps.Keys(timing.Lost)) {
		fmt.Printf(", lost %d ms (%s)", timing.Lost[cause], cause)
	}
	fmt.Println()
}

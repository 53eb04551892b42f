package main

import (
	"reflect"
	"testing"

	"orchidward/agent"
	"orchidward/ids"
	"orchidward/job"
	"orchidward/platform"
	"orchidward/poll"
)

// TestSide: what the stand-in says and hears over HTTP is what the platform's
// own reader and writer make of it.
func TestSide(t *testing.T) {
	ref := ids.Ref{Job: "q/00000000000000a1.0", Step: 1, Num: 2}
	b := agent.Beat{Runner: "r", Seq: 7, Pool: pool, Domain: "z1", Rack: "rack-3", Cap: job.Demand{Milli: 5, Mem: 6, GPUs: 7},
		Active: []poll.RunState{{Task: ref, Run: 3, Percent: 40}}, Finished: []poll.RunEnd{{N: 2, Task: ref, Run: 2, How: poll.Stopped}}}
	got, err := platform.ReadBeat("r", write(b))
	if err != nil {
		t.Fatal(err)
	}
	b.Labels = []ids.Label{"std", "rack-3"}
	if !reflect.DeepEqual(got.Beat, b) {
		t.Errorf("got %+v, want %+v", got.Beat, b)
	}
	o := agent.Orders{Hold: 600, Observed: 4, Retry: 100, Start: []poll.Start{{Task: ref, No: 3, Text: "9 9"}}, Stop: []poll.RunStop{{Task: ref, Run: 2}}}
	if back, ok := read(platform.WriteOrders(o)); !ok || !reflect.DeepEqual(back, o) {
		t.Errorf("got %+v %v, want %+v", back, ok, o)
	}
	if _, ok := read([]byte(`{"start":[["x",1,"y"]]}`)); ok {
		t.Error("a start without a task was read")
	}
}

package eventloop

import (
	"context"
	"testing"

	"orchidward/internal/daemon/lifecycle"
)

// TestCallQueue checks that calls are executed in order, that rejected and cancelled calls are
// never executed, and that a full queue rejects calls immediately.
func TestCallQueue(t *testing.T) {
	q := NewCallQueue[*[]int](2)
	list := []int{}
	if !q.Post(func(m *[]int) { *m = append(*m, 1) }) {
		t.Fatal("an empty queue rejected a call")
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	if q.Do(cancelled, func(m *[]int) { *m = append(*m, 2) }) {
		t.Error("a call was executed without a loop")
	}
	if q.Post(func(m *[]int) { *m = append(*m, 3) }) || q.Do(context.Background(), func(m *[]int) { *m = append(*m, 4) }) {
		t.Error("a full queue accepted a call")
	}
	(<-q.Out()).Run(&list)
	(<-q.Out()).Run(&list)
	group := lifecycle.New()
	defer group.Stop(context.Background())
	group.Go(func(<-chan struct{}) { (<-q.Out()).Run(&list) })
	if !q.Do(context.Background(), func(m *[]int) { *m = append(*m, 5) }) {
		t.Error("a call was not executed")
	}
	if len(list) != 2 || list[0] != 1 || list[1] != 5 {
		t.Errorf("executed %v, want 1 and 5", list)
	}
	q.Close()
	if q.Do(context.Background(), func(m *[]int) { *m = append(*m, 6) }) {
		t.Error("a call was executed after the loop ended")
	}
}

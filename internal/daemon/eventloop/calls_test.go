package eventloop

import (
	"context"
	"testing"

	"orchidward/internal/daemon/lifecycle"
)

// TestCallQueue checks that calls are carried out in order, that one which is refused or
// given up never is, and that a full queue refuses at once.
func TestCallQueue(t *testing.T) {
	q := NewCallQueue[*[]int](2)
	list := []int{}
	if !q.Post(func(m *[]int) { *m = append(*m, 1) }) {
		t.Fatal("an empty queue refused")
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	if q.Do(cancelled, func(m *[]int) { *m = append(*m, 2) }) {
		t.Error("done without a loop")
	}
	if q.Post(func(m *[]int) { *m = append(*m, 3) }) || q.Do(context.Background(), func(m *[]int) { *m = append(*m, 4) }) {
		t.Error("a full queue took one more")
	}
	(<-q.Out()).Run(&list)
	(<-q.Out()).Run(&list)
	group := lifecycle.New()
	defer group.Stop(context.Background())
	group.Go(func(<-chan struct{}) { (<-q.Out()).Run(&list) })
	if !q.Do(context.Background(), func(m *[]int) { *m = append(*m, 5) }) {
		t.Error("not done")
	}
	if len(list) != 2 || list[0] != 1 || list[1] != 5 {
		t.Errorf("done: %v, want 1 and 5", list)
	}
	q.Close()
	if q.Do(context.Background(), func(m *[]int) { *m = append(*m, 6) }) {
		t.Error("done by a loop that ended")
	}
}

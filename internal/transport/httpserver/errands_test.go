package httpserver

import (
	"context"
	"testing"

	"orchidward/internal/daemon/lifecycle"
)

// TestErrands: a desk does what is handed in, in order; what is refused or
// given up is never done, and a full ring refuses at once.
func TestErrands(t *testing.T) {
	e, list := NewCallQueue[*[]int](2), []int{}
	if !e.Offer(func(m *[]int) { *m = append(*m, 1) }) {
		t.Fatal("an empty ring refused")
	}
	left, leave := context.WithCancel(context.Background())
	leave()
	if e.Do(left, func(m *[]int) { *m = append(*m, 2) }) {
		t.Error("done without a desk")
	}
	if e.Offer(func(m *[]int) { *m = append(*m, 3) }) || e.Do(context.Background(), func(m *[]int) { *m = append(*m, 4) }) {
		t.Error("a full ring took one more")
	}
	(<-e.Out()).Run(&list)
	(<-e.Out()).Run(&list)
	c := lifecycle.New()
	defer c.Stop(context.Background())
	c.Go(func(<-chan struct{}) { (<-e.Out()).Run(&list) })
	if !e.Do(context.Background(), func(m *[]int) { *m = append(*m, 5) }) {
		t.Error("not done")
	}
	if len(list) != 2 || list[0] != 1 || list[1] != 5 {
		t.Errorf("done: %v, want 1 and 5", list)
	}
	e.Close()
	if e.Do(context.Background(), func(m *[]int) { *m = append(*m, 6) }) {
		t.Error("done by a desk that ended")
	}
}

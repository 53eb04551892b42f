// Package lifecycle starts the goroutines of a process, and is the only package that does. Each
// goroutine belongs to a [Group], which stops all of them and waits for them. [Queue] is the
// bounded queue by which goroutines pass values to one another.
package lifecycle

import (
	"context"
	"sync"
	"time"

	"go.uber.org/fx"
)

// Group supervises the goroutines of a process: it starts them, signals all of them to stop
// and waits for them. It is safe for concurrent use.
type Group struct {
	running  sync.WaitGroup
	stopOnce sync.Once
	stop     chan struct{}
}

// New returns a group without goroutines.
func New() *Group { return &Group{stop: make(chan struct{})} }

// Go starts a goroutine. run should return soon after stop is closed.
func (g *Group) Go(run func(stop <-chan struct{})) {
	g.running.Add(1)
	go func() {
		defer g.running.Done()
		run(g.stop)
	}()
}

// Stop signals all goroutines to stop and waits for them until ctx ends, in which case it
// returns the context's error.
func (g *Group) Stop(ctx context.Context) error {
	g.stopOnce.Do(func() { close(g.stop) })
	ended := make(chan struct{})
	go func() {
		g.running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Every calls do at a fixed interval until stop is closed.
func Every(interval time.Duration, stop <-chan struct{}, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			do()
		}
	}
}

// Module provides a Group that is stopped with the program.
var Module = fx.Module("lifecycle", fx.Provide(New), fx.Invoke(func(hooks fx.Lifecycle, g *Group) {
	hooks.Append(fx.Hook{OnStop: g.Stop})
}))

// Package lifecycle is the one place where goroutines are started: a duty each,
// named, and all of them waited for at the stop.
package lifecycle

import (
	"context"
	"sync"
	"time"

	"go.uber.org/fx"
)

// Group supervises the goroutines of a process: it starts them, signals all of
// them to end and waits for them.
type Group struct {
	wg   sync.WaitGroup
	once sync.Once
	stop chan struct{}
}

// New makes a crew without goroutines.
func New() *Group { return &Group{stop: make(chan struct{})} }

// Go starts a duty. It should return soon after stop is closed.
func (c *Group) Go(duty func(stop <-chan struct{})) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		duty(c.stop)
	}()
}

// Stop tells all duties to end and waits for them as long as ctx allows.
func (c *Group) Stop(ctx context.Context) error {
	c.once.Do(func() { close(c.stop) })
	done := make(chan struct{})
	go func() {
		c.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Every calls do at a steady pace until the stop.
func Every(pace time.Duration, stop <-chan struct{}, do func()) {
	t := time.NewTicker(pace)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			do()
		}
	}
}

// Module provides a Crew that is stopped with the program.
var Module = fx.Module("crew", fx.Provide(New), fx.Invoke(func(life fx.Lifecycle, c *Group) {
	life.Append(fx.Hook{OnStop: c.Stop})
}))

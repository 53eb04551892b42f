// Every daemon begins its duties at the start and parts from its callers at
// the stop in the same way.

package httpserver

import (
	"context"

	"go.uber.org/fx"

	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/daemon/logging"
)

// Run hooks a daemon into the process's life: begin starts its duties, and
// the HTTP side is served until the polite stop.
func (s *Server) Run(life fx.Lifecycle, c *lifecycle.Group, log *logging.Logger, program string, begin func()) {
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			begin()
			s.Serve(c)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			log.Event("stop", "program", program)
			return s.Stop(ctx)
		},
	})
}

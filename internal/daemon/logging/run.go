package logging

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/dig"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
)

const (
	// lifecycleTimeout bounds the start and the stop of a daemon.
	lifecycleTimeout = 5 * time.Second
	exitFailure      = 1
)

// Run runs a daemon put together from the options until it is told to stop. What kept it
// from starting is one line, and the exit code 1. A terminal that goes away is logged, and
// the daemon goes on.
func Run(options ...fx.Option) {
	log := New()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(log),
		fx.StopTimeout(lifecycleTimeout),
		fx.Options(options...),
	)
	if err := withTimeout(app.Start); err != nil {
		log.Error("cannot-start", "error", dig.RootCause(err).Error())
		os.Exit(exitFailure)
	}
	shutdown := wait(log, app.Wait(), hangups)
	if err := withTimeout(app.Stop); err != nil {
		log.Error("stopped-late", "error", err)
		os.Exit(exitFailure)
	}
	os.Exit(shutdown.ExitCode)
}

func withTimeout(run func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), lifecycleTimeout)
	defer cancel()
	return run(ctx)
}

// wait waits until the daemon is told to stop.
func wait(log *Logger, stop <-chan fx.ShutdownSignal, hangups <-chan os.Signal) fx.ShutdownSignal {
	for {
		select {
		case shutdown := <-stop:
			return shutdown
		case <-hangups:
			log.Event("hangup")
		}
	}
}

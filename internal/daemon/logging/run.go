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

// Run runs a daemon built from the options until it receives a stop signal, and exits the
// process. If the daemon cannot start, Run logs the cause in one line and exits with code 1. A
// hangup signal, as when the terminal is closed, is logged and otherwise ignored.
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

// wait waits until the daemon must stop, and logs hangup signals.
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

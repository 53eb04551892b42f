// Package logging writes one key=value line for each event.
package logging

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/dig"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
)

// Logger writes to standard error. It is safe for concurrent use.
type Logger struct{ l *logrus.Logger }

// New makes a log that writes both events and faults.
func New() *Logger {
	out := logrus.New()
	out.SetOutput(os.Stderr)
	out.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return &Logger{out}
}

func fields(vals []any) logrus.Fields {
	f := logrus.Fields{}
	for i := 0; i+1 < len(vals); i += 2 {
		key := fmt.Sprint(vals[i])
		switch v := vals[i+1].(type) {
		case string, bool, int, int64, uint64, error:
			f[key] = v
		default:
			f[key] = fmt.Sprintf("%v", v)
		}
	}
	return f
}

// Event writes a line of the level info. vals are alternating keys and values; a
// key without a value is left out.
func (l *Logger) Event(name string, vals ...any) { l.l.WithFields(fields(vals)).Info(name) }

// Error writes a line of the level error, with keys and values as in Event.
func (l *Logger) Error(name string, vals ...any) { l.l.WithFields(fields(vals)).Error(name) }

// Quiet leaves out the events from now on; faults are still written.
func (l *Logger) Quiet() { l.l.SetLevel(logrus.ErrorLevel) }

// Module provides a Log.
var Module = fx.Module("logs", fx.Provide(New))

// Run runs a daemon put together from the options until it is told to stop.
// What kept it from starting is one line, and the exit code 1. A terminal that
// goes away is noted, and the daemon goes on.
func Run(opts ...fx.Option) {
	log := New()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	app := fx.New(fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }), fx.Supply(log), fx.StopTimeout(stopWait), fx.Options(opts...))
	ctx, end := context.WithTimeout(context.Background(), stopWait)
	defer end()
	if err := app.Start(ctx); err != nil {
		log.Error("cannot-start", "error", dig.RootCause(err).Error())
		os.Exit(1)
	}
	told := wait(log, app.Wait(), hangups)
	ctx, end = context.WithTimeout(context.Background(), stopWait)
	defer end()
	if err := app.Stop(ctx); err != nil {
		log.Error("stopped-late", "error", err)
		os.Exit(1)
	}
	os.Exit(told.ExitCode)
}

// wait waits until the daemon is told to stop.
func wait(log *Logger, stop <-chan fx.ShutdownSignal, hangups <-chan os.Signal) fx.ShutdownSignal {
	var told fx.ShutdownSignal
	for {
		select {
		case told = <-stop:
			return told
		case <-hangups:
			log.Event("hangup")
		}
	}
}

const stopWait = 5 * time.Second

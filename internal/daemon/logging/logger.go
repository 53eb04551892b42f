// Package logging writes the log of a process, one line of key=value pairs per event, and runs
// a daemon from start to stop.
package logging

import (
	"fmt"
	"os"

	"github.com/sirupsen/logrus"
)

const timestampFormat = "2006-01-02T15:04:05.000Z07:00"

// Logger writes to standard error. It is safe for concurrent use.
type Logger struct{ out *logrus.Logger }

// New returns a logger that writes both events and errors.
func New() *Logger {
	out := logrus.New()
	out.SetOutput(os.Stderr)
	out.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timestampFormat})
	return &Logger{out}
}

// Event writes a line at level info. fields are alternating keys and values; a key without a
// value is omitted.
func (l *Logger) Event(name string, fields ...any) {
	l.out.WithFields(toFields(fields)).Info(name)
}

// Error writes a line at level error, with keys and values as in Event.
func (l *Logger) Error(name string, fields ...any) {
	l.out.WithFields(toFields(fields)).Error(name)
}

// Quiet suppresses events from now on; errors are still written.
func (l *Logger) Quiet() { l.out.SetLevel(logrus.ErrorLevel) }

func toFields(list []any) logrus.Fields {
	fields := logrus.Fields{}
	for i := 0; i+1 < len(list); i += 2 {
		fields[fmt.Sprint(list[i])] = toValue(list[i+1])
	}
	return fields
}

// toValue returns simple values unchanged and formats all others as text.
func toValue(value any) any {
	switch value.(type) {
	case string, bool, int, int64, uint64, error:
		return value
	}
	return fmt.Sprintf("%v", value)
}

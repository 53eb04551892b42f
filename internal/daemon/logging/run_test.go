package logging

import (
	"bufio"
	"bytes"
	"context"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/fx"
)

// daemonEnv is set in the child process of TestHangupDoesNotStop, which runs the same binary.
const daemonEnv = "ORCHIDWARD_LOGS_DAEMON"

// TestMain runs a daemon if this is the child process of TestHangupDoesNotStop.
func TestMain(m *testing.M) {
	if os.Getenv(daemonEnv) != "" {
		Run(fx.Invoke(func(l *Logger, life fx.Lifecycle) {
			life.Append(fx.Hook{OnStart: func(context.Context) error {
				l.Event("begun")
				return nil
			}})
		}))
	}
	os.Exit(m.Run())
}

// TestHangupDoesNotStop checks that a hangup signal is logged and does not stop the daemon, and
// that a termination signal does.
func TestHangupDoesNotStop(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	cmd := exec.CommandContext(ctx, os.Args[0])
	cmd.Env = append(os.Environ(), daemonEnv+"=1")
	pipe, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err = cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(pipe)
	for _, want := range []string{"begun", "hangup", "hangup"} {
		if !lines.Scan() || !strings.Contains(lines.Text(), want) {
			t.Fatalf("got %q, want %s", lines.Text(), want)
		}
		if err = cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	if err = cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for lines.Scan() {
		if !strings.Contains(lines.Text(), "hangup") {
			t.Errorf("unexpected line after SIGTERM: %q", lines.Text())
		}
	}
	if err = cmd.Wait(); err != nil {
		t.Error(err)
	}
}

// TestQuiet checks that a quiet logger suppresses events and writes errors.
func TestQuiet(t *testing.T) {
	var text bytes.Buffer
	l := New()
	l.out.SetOutput(&text)
	l.Event("first")
	l.Quiet()
	l.Event("second")
	l.Error("third")
	if s := text.String(); !strings.Contains(s, "first") || strings.Contains(s, "second") || !strings.Contains(s, "third") {
		t.Errorf("wrote %q", s)
	}
}

package devcluster_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// untilLimit bounds the wait of the command until; untilInterval is the time between
	// its attempts.
	untilLimit    = 90 * time.Second
	untilInterval = 100 * time.Millisecond
)

// startProcesses starts the named processes.
func startProcesses(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range expandNames(args) {
		clusterOf(ts).start(ts, name)
	}
}

// endProcesses sends a signal to the named processes and waits for them to exit.
func endProcesses(sig os.Signal) func(ts *testscript.TestScript, neg bool, args []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, name := range expandNames(args) {
			clusterOf(ts).end(name, sig)
		}
	}
}

// signalProcesses sends a signal to the named processes.
func signalProcesses(sig os.Signal) func(ts *testscript.TestScript, neg bool, args []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, name := range expandNames(args) {
			ts.Check(clusterOf(ts).processes[name].Process.Signal(sig))
		}
	}
}

// until runs a program repeatedly until its output matches a pattern or, if negated, does
// not match it: until PATTERN program args...
func until(ts *testscript.TestScript, neg bool, args []string) {
	pattern := regexp.MustCompile(args[0])
	output := ""
	ticker := time.NewTicker(untilInterval)
	defer ticker.Stop()
	for end := time.Now().Add(untilLimit); time.Now().Before(end); <-ticker.C {
		text, _ := command(ts, args[1], args[2:]...).CombinedOutput()
		output = string(text)
		if pattern.MatchString(output) != neg {
			return
		}
	}
	clusterOf(ts).printLogs(ts)
	ts.Fatalf("after %v the output of %v is still:\n%s", untilLimit, args[1:], output)
}

// command returns a command that runs a program under test, or cat, in the script's
// environment.
func command(ts *testscript.TestScript, program string, args ...string) *exec.Cmd {
	if program != "cat" {
		program = filepath.Join(binaries, program)
	}
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), gatewaysEnv+"="+ts.Getenv(gatewaysEnv))
	cmd.Dir = ts.Getenv("WORK")
	return cmd
}

// awaitLeader waits until there is a leader and sets LEAD to its name.
func awaitLeader(ts *testscript.TestScript, _ bool, _ []string) {
	until(ts, false, []string{`leader`, "orchidctl", "servers"})
	text, err := command(ts, "orchidctl", "servers").CombinedOutput()
	ts.Check(err)
	for _, line := range strings.Split(string(text), "\n") {
		if !strings.Contains(line, "leader") {
			continue
		}
		if name := clusterOf(ts).serverIn(line); name != "" {
			ts.Setenv(leaderEnv, name)
			return
		}
	}
	ts.Fatalf("no leader in:\n%s", text)
}

// serverIn returns the name of the server whose address is in a line, or "" if there is
// none.
func (c *cluster) serverIn(line string) string {
	for i := 1; i <= serverCount+1; i++ {
		name := fmt.Sprintf("server-%d", i)
		if strings.Contains(line, c.addr(name)) {
			return name
		}
	}
	return ""
}

// setPids sets PIDS to the process ids of the named processes, separated by commas.
func setPids(ts *testscript.TestScript, _ bool, args []string) {
	var pids []string
	for _, name := range expandNames(args) {
		pids = append(pids, strconv.Itoa(clusterOf(ts).processes[name].Process.Pid))
	}
	ts.Setenv(pidsEnv, strings.Join(pids, ","))
}

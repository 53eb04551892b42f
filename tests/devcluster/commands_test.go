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
	// untilLimit is how long the command until waits, untilInterval how often it
	// tries.
	untilLimit    = 90 * time.Second
	untilInterval = 100 * time.Millisecond
)

// startProcesses starts the processes named.
func startProcesses(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range expandNames(args) {
		clusterOf(ts).start(ts, name)
	}
}

// endProcesses sends the processes named a signal and waits for their end.
func endProcesses(sig os.Signal) func(ts *testscript.TestScript, neg bool, args []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, name := range expandNames(args) {
			clusterOf(ts).end(name, sig)
		}
	}
}

// signalProcesses sends the processes named a signal.
func signalProcesses(sig os.Signal) func(ts *testscript.TestScript, neg bool, args []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, name := range expandNames(args) {
			ts.Check(clusterOf(ts).processes[name].Process.Signal(sig))
		}
	}
}

// until runs a program again and again until its output matches the pattern given
// first, or, negated, does not: until PATTERN program args...
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
	ts.Fatalf("after %v %v still says:\n%s", untilLimit, args[1:], output)
}

// command is a program under test, or cat, in the script's environment.
func command(ts *testscript.TestScript, program string, args ...string) *exec.Cmd {
	if program != "cat" {
		program = filepath.Join(binaries, program)
	}
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), gatewaysEnv+"="+ts.Getenv(gatewaysEnv))
	cmd.Dir = ts.Getenv("WORK")
	return cmd
}

// awaitLeader waits until some server leads and sets LEAD to its name.
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

// serverIn is the name of the server whose address is in a line, empty for none.
func (c *cluster) serverIn(line string) string {
	for i := 1; i <= serverCount+1; i++ {
		name := fmt.Sprintf("server-%d", i)
		if strings.Contains(line, c.addr(name)) {
			return name
		}
	}
	return ""
}

// setPids sets PIDS to the process ids of the processes named, separated by commas.
func setPids(ts *testscript.TestScript, _ bool, args []string) {
	var pids []string
	for _, name := range expandNames(args) {
		pids = append(pids, strconv.Itoa(clusterOf(ts).processes[name].Process.Pid))
	}
	ts.Setenv(pidsEnv, strings.Join(pids, ","))
}

package devcluster_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// binaries is the directory that contains the programs under test.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "orchidward-devcluster")
	if err != nil {
		panic(err)
	}
	binaries = dir
	build := exec.Command("go", "build", "-o", binaries+"/", "orchidward/cmd/...")
	build.Stderr = os.Stderr
	if err = build.Run(); err != nil {
		os.RemoveAll(dir)
		panic(err)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// Environment variables of the scripts.
const (
	// gatewaysEnv are the HTTP addresses of the gateways, which orchidctl reads.
	gatewaysEnv = "ORCHIDWARD_GATES"
	// runnersEnv are the HTTP addresses of the runners.
	runnersEnv = "RUNNERS"
	// leaderEnv is the process name of the leader, set by the command lead.
	leaderEnv = "LEAD"
	// pidsEnv are process ids, set by the command pids.
	pidsEnv = "PIDS"
)

// clusterValue is the key of a script's cluster.
const clusterValue = "cluster"

// largeJobBytes is more than a gateway accepts in a request body.
const largeJobBytes = 2 << 20

// TestScripts runs each script with a cluster of its own, of which no process is started.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "scripts",
		Setup: setUp,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"start":  startProcesses,
			"crash":  endProcesses(os.Kill),
			"quit":   endProcesses(syscall.SIGTERM),
			"freeze": signalProcesses(syscall.SIGSTOP),
			"wake":   signalProcesses(syscall.SIGCONT),
			"part":   stopWithRequestInFlight,
			"until":  until,
			"lead":   awaitLeader,
			"pids":   setPids,
		},
	})
}

// setUp prepares a cluster, and the environment variables that hold its addresses.
func setUp(e *testscript.Env) error {
	c := newCluster(e.WorkDir)
	e.Values[clusterValue] = c
	e.Setenv("PATH", binaries+string(os.PathListSeparator)+e.Getenv("PATH"))
	e.Setenv(gatewaysEnv, c.httpAddrs("gateway", gatewayCount))
	e.Setenv(runnersEnv, c.httpAddrs("runner", runnerCount))
	largeJob := []byte(`{"pending":"` + strings.Repeat("x", largeJobBytes) + `"}`)
	if err := os.WriteFile(filepath.Join(e.WorkDir, "big.json"), largeJob, 0o644); err != nil {
		return err
	}
	for name, addr := range c.addrs {
		e.Setenv(strings.ToUpper(strings.ReplaceAll(name, "-", "_")), addr)
	}
	e.Defer(c.killAll)
	return nil
}

func clusterOf(ts *testscript.TestScript) *cluster { return ts.Value(clusterValue).(*cluster) }

// expandNames expands ranges in process names: "runner-1..11" stands for eleven names.
func expandNames(args []string) []string {
	var names []string
	for _, arg := range args {
		role, numbers, found := strings.Cut(arg, "-")
		var first, last int
		n, err := fmt.Sscanf(numbers, "%d..%d", &first, &last)
		if !found || err != nil || n != 2 {
			names = append(names, arg)
			continue
		}
		for i := first; i <= last; i++ {
			names = append(names, fmt.Sprintf("%s-%d", role, i))
		}
	}
	return names
}

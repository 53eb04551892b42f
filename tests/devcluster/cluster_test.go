package devcluster_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/rogpeppe/go-internal/testscript"
)

// Sizes of a script's cluster.
const (
	serverCount    = 3
	gatewayCount   = 3
	runnerCount    = 11
	runnersPerRack = 3
	// firstRunners is the number of runners with the label "first".
	firstRunners = 3
	// logFileKB is small, so that logs are compacted during a script.
	logFileKB = "512"
)

var domains = []string{"north", "east", "west"}

// cluster holds the processes of one script, by names such as server-1.
type cluster struct {
	dir       string
	processes map[string]*exec.Cmd
	// args are the flags with which each process is started.
	args map[string][]string
	// addrs are the addresses of the processes by name; their HTTP addresses are under
	// NAME-http.
	addrs map[string]string
}

func newCluster(dir string) *cluster {
	c := &cluster{
		dir:       dir,
		processes: map[string]*exec.Cmd{},
		args:      map[string][]string{},
		addrs:     map[string]string{},
	}
	seeds := strings.Join([]string{c.addr("server-1"), c.addr("server-2"), c.addr("server-3")}, ",")
	for i := range serverCount {
		c.addServer(fmt.Sprintf("server-%d", i+1), domains[i], seeds)
	}
	for i := range gatewayCount {
		c.addGateway(fmt.Sprintf("gateway-%d", i+1), domains[i], seeds)
	}
	c.addServer("server-4", domains[0], strings.Join([]string{c.addr("gateway-1"), c.addr("server-2"), c.addr("server-3")}, ","))
	for i := range runnerCount {
		c.addRunner(i, seeds)
	}
	return c
}

func (c *cluster) addServer(name, domain, seeds string) {
	c.args[name] = []string{
		"--data", filepath.Join(c.dir, name),
		"--addr", c.addr(name),
		"--http", c.httpAddr(name),
		"--domain", domain,
		"--seeds", seeds,
		"--file-kb", logFileKB,
	}
}

func (c *cluster) addGateway(name, domain, seeds string) {
	c.args[name] = []string{
		"--addr", c.addr(name),
		"--http", c.httpAddr(name),
		"--domain", domain,
		"--seeds", seeds,
	}
}

func (c *cluster) addRunner(i int, seeds string) {
	name := fmt.Sprintf("runner-%d", i+1)
	rack := i / runnersPerRack
	labels := "std"
	if i < firstRunners {
		labels = "std,first"
	}
	c.args[name] = []string{
		"--name", fmt.Sprintf("r%d", i+1),
		"--addr", c.addr(name),
		"--http", c.httpAddr(name),
		"--domain", domains[rack%len(domains)],
		"--rack", fmt.Sprintf("rack-%d", rack),
		"--seeds", seeds,
		"--labels", labels,
	}
}

// addr returns the address of a process, which is the same for the whole script.
func (c *cluster) addr(name string) string {
	if c.addrs[name] == "" {
		c.addrs[name] = freeAddr()
	}
	return c.addrs[name]
}

func (c *cluster) httpAddr(name string) string { return c.addr(name + "-http") }

// httpAddrs lists the HTTP addresses of the processes of a role, separated by commas.
func (c *cluster) httpAddrs(role string, count int) string {
	var addrs []string
	for i := range count {
		addrs = append(addrs, c.httpAddr(fmt.Sprintf("%s-%d", role, i+1)))
	}
	return strings.Join(addrs, ",")
}

func (c *cluster) start(ts *testscript.TestScript, name string) {
	role, _, _ := strings.Cut(name, "-")
	log, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	ts.Check(err)
	cmd := exec.Command(filepath.Join(binaries, "orchidward-"+role), c.args[name]...)
	cmd.Stderr = log
	ts.Check(cmd.Start())
	log.Close()
	c.processes[name] = cmd
}

// end resumes a process, sends it a signal and waits for it to exit.
func (c *cluster) end(name string, sig os.Signal) {
	process := c.processes[name]
	if process == nil {
		return
	}
	process.Process.Signal(syscall.SIGCONT)
	process.Process.Signal(sig)
	process.Wait()
	delete(c.processes, name)
}

func (c *cluster) killAll() {
	for name := range c.processes {
		c.end(name, os.Kill)
	}
}

// maxLogTail bounds the printed part of a log, in bytes.
const maxLogTail = 600

// printLogs prints the end of every process's log after a script has failed.
func (c *cluster) printLogs(ts *testscript.TestScript) {
	names, _ := filepath.Glob(filepath.Join(c.dir, "*.log"))
	for _, name := range names {
		text, _ := os.ReadFile(name)
		ts.Logf("%s: ...%s", filepath.Base(name), text[max(0, len(text)-maxLogTail):])
	}
}

// Package devcluster_test runs whole fleets of real processes, driven by scripts in
// scripts/. Nothing here judges time more finely than "within a wide limit":
// timing promises are judged by the simulator.
package devcluster_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

var bin string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "orchidward-devcluster")
	if err != nil {
		panic(err)
	}
	bin = dir
	build := exec.Command("go", "build", "-o", bin+"/", "orchidward/cmd/...")
	build.Stderr = os.Stderr
	if err = build.Run(); err != nil {
		os.RemoveAll(dir)
		panic(err)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// fleet is the processes of one script, by name.
type fleet struct {
	dir   string
	procs map[string]*exec.Cmd
	args  map[string][]string
	ports map[string]string
}

// port gives every name an address of its own, kept for the whole script.
func (f *fleet) port(name string) string {
	if f.ports[name] == "" {
		f.ports[name] = free()
	}
	return f.ports[name]
}

// given are the addresses handed out so far, to any script.
var given = struct {
	sync.Mutex
	to map[string]bool
}{to: map[string]bool{}}

// free finds an address nobody listens on, below the range that the kernel
// gives to outgoing connections: a process may be started on it much later.
func free() string {
	var addr string
	given.Lock()
	defer given.Unlock()
	for {
		addr = fmt.Sprintf("127.0.0.1:%d", 10000+rand.IntN(22000))
		if given.to[addr] {
			continue
		}
		given.to[addr] = true
		if ln, err := net.Listen("tcp", addr); err == nil {
			ln.Close()
			return addr
		}
	}
}

// tails prints the end of every process's log, for a script that failed.
func (f *fleet) tails(ts *testscript.TestScript) {
	list, _ := filepath.Glob(filepath.Join(f.dir, "*.log"))
	for _, name := range list {
		text, _ := os.ReadFile(name)
		ts.Logf("%s: ...%s", filepath.Base(name), text[max(0, len(text)-600):])
	}
}

func (f *fleet) start(ts *testscript.TestScript, name string) {
	args := f.args[name]
	role, _, _ := strings.Cut(name, "-")
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	ts.Check(err)
	cmd := exec.Command(filepath.Join(bin, "orchidward-"+role), args...)
	cmd.Stderr = log
	ts.Check(cmd.Start())
	log.Close()
	f.procs[name] = cmd
}

func (f *fleet) end(name string, sig os.Signal) {
	if p := f.procs[name]; p != nil {
		p.Process.Signal(syscall.SIGCONT)
		p.Process.Signal(sig)
		p.Wait()
		delete(f.procs, name)
	}
}

var zones = []string{"north", "east", "west"}

// plan lays down what each process of the fleet is started with.
func (f *fleet) plan(runners int) {
	seeds := f.port("server-1") + "," + f.port("server-2") + "," + f.port("server-3")
	for i := 1; i <= 3; i++ {
		k, g := fmt.Sprintf("server-%d", i), fmt.Sprintf("gateway-%d", i)
		f.args[k] = []string{"--data", filepath.Join(f.dir, k), "--addr", f.port(k), "--http", f.port(k + "-http"), "--domain", zones[i-1], "--seeds", seeds, "--file-kb", "512"}
		f.args[g] = []string{"--addr", f.port(g), "--http", f.port(g + "-http"), "--domain", zones[i-1], "--seeds", seeds}
	}
	f.args["server-4"] = []string{"--data", filepath.Join(f.dir, "server-4"), "--addr", f.port("server-4"), "--http", f.port("server-4-http"), "--domain", "north",
		"--seeds", f.port("gateway-1") + "," + f.port("server-2") + "," + f.port("server-3"), "--file-kb", "512"}
	for i := 1; i <= runners; i++ {
		labels := "std"
		if i <= 3 {
			labels = "std,first"
		}
		r, rack := fmt.Sprintf("runner-%d", i), (i-1)/3
		f.args[r] = []string{"--name", fmt.Sprintf("r%d", i), "--addr", f.port(r), "--http", f.port(r + "-http"), "--domain", zones[rack%3],
			"--rack", fmt.Sprintf("rack-%d", rack), "--seeds", seeds, "--labels", labels}
	}
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "scripts",
		Setup: func(e *testscript.Env) error {
			f := &fleet{dir: e.WorkDir, procs: map[string]*exec.Cmd{}, args: map[string][]string{}, ports: map[string]string{}}
			f.plan(11)
			e.Values["fleet"] = f
			e.Setenv("PATH", bin+string(os.PathListSeparator)+e.Getenv("PATH"))
			e.Setenv("ORCHIDWARD_GATES", f.port("gateway-1-http")+","+f.port("gateway-2-http")+","+f.port("gateway-3-http"))
			list := []string{}
			for i := 1; i <= 11; i++ {
				list = append(list, f.port(fmt.Sprintf("runner-%d-http", i)))
			}
			e.Setenv("RUNNERS", strings.Join(list, ","))
			big := []byte(`{"pending":"` + strings.Repeat("x", 2<<20) + `"}`)
			if err := os.WriteFile(filepath.Join(e.WorkDir, "big.json"), big, 0o644); err != nil {
				return err
			}
			for name, addr := range f.ports {
				e.Setenv(strings.ToUpper(strings.ReplaceAll(name, "-", "_")), addr)
			}
			e.Defer(func() {
				for name := range f.procs {
					f.end(name, os.Kill)
				}
			})
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"start": func(ts *testscript.TestScript, _ bool, args []string) {
				for _, name := range names(args) {
					ts.Value("fleet").(*fleet).start(ts, name)
				}
			},
			"crash":  signal(os.Kill),
			"quit":   signal(syscall.SIGTERM),
			"part":   part,
			"freeze": tell(syscall.SIGSTOP),
			"wake":   tell(syscall.SIGCONT),
			"until":  until,
			"lead":   lead,
			"pids":   pids,
		},
	})
}

// names spreads "runner-1..11" out.
func names(args []string) []string {
	var out []string
	for _, a := range args {
		kind, span, ok := strings.Cut(a, "-")
		var low, high int
		if n, err := fmt.Sscanf(span, "%d..%d", &low, &high); !ok || err != nil || n != 2 {
			out = append(out, a)
			continue
		}
		for i := low; i <= high; i++ {
			out = append(out, fmt.Sprintf("%s-%d", kind, i))
		}
	}
	return out
}

func signal(sig os.Signal) func(ts *testscript.TestScript, neg bool, args []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, name := range names(args) {
			ts.Value("fleet").(*fleet).end(name, sig)
		}
	}
}

func tell(sig os.Signal) func(ts *testscript.TestScript, neg bool, args []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, name := range names(args) {
			ts.Check(ts.Value("fleet").(*fleet).procs[name].Process.Signal(sig))
		}
	}
}

// until runs a command again and again until its output matches the pattern
// given first, or a wide limit has passed: until PATTERN program args...
func until(ts *testscript.TestScript, neg bool, args []string) {
	const limit = 90 * time.Second
	last, want := "", regexp.MustCompile(args[0])
	pace := time.NewTicker(100 * time.Millisecond)
	defer pace.Stop()
	for end := time.Now().Add(limit); time.Now().Before(end); <-pace.C {
		name := filepath.Join(bin, args[1])
		if args[1] == "cat" {
			name = args[1]
		}
		cmd := exec.Command(name, args[2:]...)
		cmd.Env = append(os.Environ(), "ORCHIDWARD_GATES="+ts.Getenv("ORCHIDWARD_GATES"))
		cmd.Dir = ts.Getenv("WORK")
		text, _ := cmd.CombinedOutput()
		last = string(text)
		if want.MatchString(last) != neg {
			return
		}
	}
	ts.Value("fleet").(*fleet).tails(ts)
	ts.Fatalf("after %v %v still says:\n%s", limit, args[1:], last)
}

// lead waits until some server leads and puts its name into LEAD.
func lead(ts *testscript.TestScript, _ bool, _ []string) {
	until(ts, false, []string{`leader`, "orchidctl", "servers"})
	cmd := exec.Command(filepath.Join(bin, "orchidctl"), "servers")
	cmd.Env = append(os.Environ(), "ORCHIDWARD_GATES="+ts.Getenv("ORCHIDWARD_GATES"))
	text, err := cmd.CombinedOutput()
	ts.Check(err)
	f := ts.Value("fleet").(*fleet)
	for _, line := range strings.Split(string(text), "\n") {
		for i := 1; i <= 4; i++ {
			name := fmt.Sprintf("server-%d", i)
			if addr := f.ports[name]; addr != "" && strings.Contains(line, addr) && strings.Contains(line, "leader") {
				ts.Setenv("LEAD", name)
				return
			}
		}
	}
	ts.Fatalf("no leader in:\n%s", text)
}

// pids puts the process ids of the named into PIDS, parted by commas.
func pids(ts *testscript.TestScript, _ bool, args []string) {
	f, list := ts.Value("fleet").(*fleet), []string{}
	for _, name := range names(args) {
		list = append(list, strconv.Itoa(f.procs[name].Process.Pid))
	}
	ts.Setenv("PIDS", strings.Join(list, ","))
}

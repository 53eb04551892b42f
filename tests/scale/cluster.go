// The fleet of a scale run: three keepers and gates, each in
// a process of its own, and the hollow crowd in this one.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"orchidward/internal/clock"
	"orchidward/internal/daemon/lifecycle"
)

const (
	serverCount  = 3
	gatewayCount = 2
	serverProcs  = 2
)

type cluster struct {
	dir        string
	goroutines *lifecycle.Group
	clock      *clock.System
	agents     *simulatedAgents
	http       *http.Client

	servers, gateways, agentProcesses []*process
	serverAddrs, serverHTTP           []string
	gatewayHTTP                       []string
}

// freePorts finds a row of ports that nobody listens on.
func freePorts(n int) (first int, err error) {
	for at := 21000; at < 29000; at += n {
		free := true
		for i := 0; i < n && free; i++ {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", at+i))
			if free = err == nil; free {
				ln.Close()
			}
		}
		if free {
			return at, nil
		}
	}
	return 0, errors.New("no free ports")
}

func localAddr(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func newCluster(dir string) (*cluster, error) {
	var err error
	f := &cluster{dir: dir, goroutines: lifecycle.New(), clock: clock.NewSystem(), http: &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
	if _, err = os.Stat("cmd/orchidward-server"); err != nil {
		return nil, errors.Wrap(err, "run from the root of the repository")
	}
	cmd := exec.Command("go", "build", "-o", dir+"/", "./cmd/orchidward-server", "./cmd/orchidward-gateway")
	cmd.Stderr = os.Stderr
	if err = cmd.Run(); err != nil {
		return nil, errors.Wrap(err, "build")
	}
	return f, f.start()
}

// start starts the processes; those that came up are ended by close.
func (f *cluster) start() error {
	at, err := freePorts(50)
	if err != nil {
		return err
	}
	for i := range serverCount {
		f.serverAddrs, f.serverHTTP = append(f.serverAddrs, localAddr(at+10*i)), append(f.serverHTTP, localAddr(at+10*i+5))
	}
	seeds := strings.Join(f.serverAddrs, ",")
	for i := range serverCount {
		name := fmt.Sprintf("server-%d", i)
		c, err := startProcess(f.dir, name, "orchidward-server", serverProcs, nil, "--data", filepath.Join(f.dir, "data-"+name), "--addr", f.serverAddrs[i], "--http", f.serverHTTP[i], "--domain", fmt.Sprintf("z%d", i), "--seeds", seeds)
		if err != nil {
			return err
		}
		f.servers = append(f.servers, c)
	}
	for i := range gatewayCount {
		f.gatewayHTTP = append(f.gatewayHTTP, localAddr(at+40+2*i+1))
		c, err := startProcess(f.dir, fmt.Sprintf("gateway-%d", i), "orchidward-gateway", 1, nil, "--addr", localAddr(at+40+2*i), "--http", f.gatewayHTTP[i], "--domain", fmt.Sprintf("z%d", i), "--seeds", seeds, "--body-kb", "4096")
		if err != nil {
			return err
		}
		f.gateways = append(f.gateways, c)
	}
	f.agents = newSimulatedAgents(f.goroutines, f.clock, f.serverAddrs)
	return f.wait(20*time.Second, "gates ready", func() bool {
		for _, front := range f.gatewayHTTP {
			if status, _, err := f.get("http://" + front + "/ready"); err != nil || status != 200 {
				return false
			}
		}
		return true
	})
}

func (f *cluster) close() {
	ctx, end := context.WithTimeout(context.Background(), 5*time.Second)
	defer end()
	_ = f.goroutines.Stop(ctx)
	for _, list := range [][]*process{f.agentProcesses, f.gateways, f.servers} {
		for _, c := range list {
			c.end()
		}
	}
}

// kill ends the processes at once.
func (f *cluster) kill() {
	for _, list := range [][]*process{f.agentProcesses, f.gateways, f.servers} {
		for _, c := range list {
			_ = c.cmd.Process.Kill()
		}
	}
}

func (f *cluster) wait(most time.Duration, what string, met func() (ok bool)) error {
	for end := time.Now().Add(most); !met(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.Errorf("not within %v: %s", most, what)
		}
	}
	return nil
}

func (f *cluster) get(url string) (status int, body []byte, err error) {
	return f.send(http.MethodGet, url, "")
}

func (f *cluster) send(verb, url, text string) (status int, body []byte, err error) {
	r, err := http.NewRequest(verb, url, strings.NewReader(text))
	if err != nil {
		return 0, nil, err
	}
	res, err := f.http.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	body, err = io.ReadAll(res.Body)
	return res.StatusCode, body, err
}

// metrics reads a daemon's metrics page.
func (f *cluster) metrics(addr string) (map[string]float64, error) {
	_, body, err := f.get("http://" + addr + "/metrics")
	if err != nil {
		return nil, err
	}
	vals := map[string]float64{}
	for s := bufio.NewScanner(strings.NewReader(string(body))); s.Scan(); {
		key, val, _ := strings.Cut(s.Text(), " ")
		if n, err := strconv.ParseFloat(val, 64); err == nil {
			vals[strings.TrimPrefix(key, "orchidward_")] = n
		}
	}
	return vals, nil
}

// leader is the place of the keeper that leads, -1 if none says so.
func (f *cluster) leader() (i int, vals map[string]float64) {
	for i, page := range f.serverHTTP {
		if vals, err := f.metrics(page); err == nil && vals["leader"] == 1 {
			return i, vals
		}
	}
	return -1, nil
}

// submit hands one job in at a gate.
func (f *cluster) submit(front, id, body string) (status int, err error) {
	status, _, err = f.send(http.MethodPut, "http://"+front+"/v1/jobs/q/"+id, body)
	return status, err
}

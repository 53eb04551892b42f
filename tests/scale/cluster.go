package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/daemon/lifecycle"
)

const (
	serverCount  = 3
	gatewayCount = 2
	// serverProcs and gatewayProcs are the GOMAXPROCS of each process.
	serverProcs  = 2
	gatewayProcs = 1
	// maxBodyKB is the largest body that gateways accept.
	maxBodyKB = "4096"

	// The range of ports that freePorts searches. A cluster uses portCount consecutive
	// ports: portsPerServer for each server and the rest for gateways.
	firstPort      = 21000
	lastPort       = 29000
	portCount      = 50
	portsPerServer = 10
	httpPortOffset = 5
	gatewayPorts   = 40

	requestTimeout = 8 * time.Second
	readyTimeout   = 20 * time.Second
	stopTimeout    = 5 * time.Second
	waitInterval   = 10 * time.Millisecond
)

// clientName is the client that submits all jobs.
const clientName identifier.Client = "q"

// cluster holds the processes and the simulated agents of a run.
type cluster struct {
	dir        string
	goroutines *lifecycle.Group
	clock      *clock.System
	agents     *simulatedAgents
	http       *http.Client

	servers     []*process
	serverAddrs []string
	serverHTTP  []string
	gateways    []*process
	gatewayHTTP []string
}

// freePorts returns the first of count consecutive free ports.
func freePorts(count int) (first int, err error) {
	for port := firstPort; port < lastPort; port += count {
		if allFree(port, count) {
			return port, nil
		}
	}
	return 0, errors.New("no free ports")
}

func allFree(first, count int) bool {
	for port := first; port < first+count; port++ {
		listener, err := net.Listen("tcp", localAddr(port))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}

func localAddr(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// newCluster builds the programs into dir and starts the processes. If it fails, it may
// still return a cluster, which the caller must close.
func newCluster(dir string) (*cluster, error) {
	if _, err := os.Stat("cmd/orchidward-server"); err != nil {
		return nil, errors.Wrap(err, "run from the root of the repository")
	}
	build := exec.Command("go", "build", "-o", dir+"/", "./cmd/orchidward-server", "./cmd/orchidward-gateway")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return nil, errors.Wrap(err, "build")
	}
	c := &cluster{
		dir:        dir,
		goroutines: lifecycle.New(),
		clock:      clock.NewSystem(),
		http:       &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 32}},
	}
	return c, c.start()
}

// start starts the processes. If it fails, close stops those that were started.
func (c *cluster) start() error {
	port, err := freePorts(portCount)
	if err != nil {
		return err
	}
	for i := range serverCount {
		c.serverAddrs = append(c.serverAddrs, localAddr(port+portsPerServer*i))
		c.serverHTTP = append(c.serverHTTP, localAddr(port+portsPerServer*i+httpPortOffset))
	}
	seeds := strings.Join(c.serverAddrs, ",")
	for i := range serverCount {
		if err = c.startServer(i, seeds); err != nil {
			return err
		}
	}
	for i := range gatewayCount {
		if err = c.startGateway(i, port+gatewayPorts+2*i, seeds); err != nil {
			return err
		}
	}
	c.agents = newSimulatedAgents(c.goroutines, c.clock, c.serverAddrs)
	return c.wait(readyTimeout, "gateways ready", c.gatewaysReady)
}

func (c *cluster) startServer(i int, seeds string) error {
	name := fmt.Sprintf("server-%d", i)
	started, err := startProcess(c.dir, name, "orchidward-server", serverProcs,
		"--data", filepath.Join(c.dir, "data-"+name),
		"--addr", c.serverAddrs[i],
		"--http", c.serverHTTP[i],
		"--domain", fmt.Sprintf("z%d", i),
		"--seeds", seeds)
	if err != nil {
		return err
	}
	c.servers = append(c.servers, started)
	return nil
}

func (c *cluster) startGateway(i, port int, seeds string) error {
	httpAddr := localAddr(port + 1)
	started, err := startProcess(c.dir, fmt.Sprintf("gateway-%d", i), "orchidward-gateway", gatewayProcs,
		"--addr", localAddr(port),
		"--http", httpAddr,
		"--domain", fmt.Sprintf("z%d", i),
		"--seeds", seeds,
		"--body-kb", maxBodyKB)
	if err != nil {
		return err
	}
	c.gatewayHTTP = append(c.gatewayHTTP, httpAddr)
	c.gateways = append(c.gateways, started)
	return nil
}

func (c *cluster) gatewaysReady() bool {
	for _, addr := range c.gatewayHTTP {
		status, _, err := c.get("http://" + addr + "/ready")
		if err != nil || status != http.StatusOK {
			return false
		}
	}
	return true
}

// processes returns all processes, the servers last.
func (c *cluster) processes() []*process { return slices.Concat(c.gateways, c.servers) }

// close stops the goroutines and the processes gracefully.
func (c *cluster) close() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = c.goroutines.Stop(ctx)
	for _, p := range c.processes() {
		p.stop()
	}
}

// kill kills the processes without waiting for them.
func (c *cluster) kill() {
	for _, p := range c.processes() {
		_ = p.cmd.Process.Kill()
	}
}

// wait waits up to limit until a condition is met. The error on a timeout contains what.
func (c *cluster) wait(limit time.Duration, what string, met func() bool) error {
	for end := time.Now().Add(limit); !met(); time.Sleep(waitInterval) {
		if time.Now().After(end) {
			return errors.Errorf("timed out after %v: %s", limit, what)
		}
	}
	return nil
}

func (c *cluster) get(url string) (status int, body []byte, err error) {
	return c.send(http.MethodGet, url, "")
}

func (c *cluster) send(method, url, body string) (status int, response []byte, err error) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	received, err := c.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer received.Body.Close()
	response, err = io.ReadAll(received.Body)
	return received.StatusCode, response, err
}

// metrics returns the metrics of a server or gateway, by their names without the
// orchidward_ prefix.
func (c *cluster) metrics(addr string) (map[string]float64, error) {
	_, page, err := c.get("http://" + addr + "/metrics")
	if err != nil {
		return nil, err
	}
	values := map[string]float64{}
	for _, line := range strings.Split(string(page), "\n") {
		name, text, _ := strings.Cut(line, " ")
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			values[strings.TrimPrefix(name, "orchidward_")] = value
		}
	}
	return values, nil
}

// leader returns the number of the leader, or -1 if no server reports to be it, and its metrics.
func (c *cluster) leader() (number int, metrics map[string]float64) {
	for i, addr := range c.serverHTTP {
		metrics, err := c.metrics(addr)
		if err == nil && metrics["leader"] == 1 {
			return i, metrics
		}
	}
	return -1, nil
}

// submit submits a job to a gateway.
func (c *cluster) submit(gatewayHTTP, id, body string) (status int, err error) {
	path := endpoint.JobPath(identifier.NewJobKey(clientName, identifier.JobID(id)))
	status, _, err = c.send(http.MethodPut, "http://"+gatewayHTTP+path, body)
	return status, err
}

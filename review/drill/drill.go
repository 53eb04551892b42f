package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// drill is one play of a scenario.
type drill struct {
	program string
	// trouble is false if the scenario is played without its disruption.
	trouble bool
	dir     string
	begun   time.Time
	first   int

	recordMu sync.Mutex
	record   *os.File

	processes []*process
	servers   []string
	front     string
	fleet     *fleet
}

// newDrill prepares a drill in a temporary folder, on free ports.
func newDrill(program, record string, trouble bool) (*drill, error) {
	path, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err = os.Stat(path); err != nil {
		return nil, err
	}
	d := &drill{program: path, trouble: trouble, begun: time.Now()}
	if d.first, err = freePorts(); err != nil {
		return nil, err
	}
	if d.dir, err = os.MkdirTemp("", "drill"); err != nil {
		return nil, err
	}
	if d.record, err = os.Create(record); err != nil {
		return nil, err
	}
	d.fleet = newFleet(d)
	return d, nil
}

// Ports of every machine: those for traffic between nodes, then the others.
const (
	nodePorts   = 16
	frontPort   = nodePorts
	readyPort   = nodePorts + 1
	controlPort = nodePorts + 2
	blockPorts  = nodePorts + 4
	lowestPort  = 20000
	highestPort = 30000
)

// freePorts returns the first port of a block of which no port is in use.
func freePorts() (int, error) {
	start := lowestPort + os.Getpid()%400*blockPorts
	for first := start; first < highestPort; first += blockPorts {
		if blockFree(first) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no free block of ports from %d", start)
}

func blockFree(first int) bool {
	for port := first; port < first+blockPorts; port++ {
		listener, err := net.Listen("tcp", fmt.Sprintf(":%d", port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// machineIP returns the loopback address of a machine, numbered from 0.
func machineIP(machine int) string { return fmt.Sprintf("127.0.0.%d", machine+2) }

// addr returns the address of a machine's port, counted from the first port of its block.
func (d *drill) addr(machine, port int) string {
	return fmt.Sprintf("%s:%d", machineIP(machine), d.first+port)
}

// logf writes a line to the record, with the time since the drill began.
func (d *drill) logf(format string, args ...any) {
	d.recordMu.Lock()
	defer d.recordMu.Unlock()
	fmt.Fprintf(d.record, "%8.3f %s\n", time.Since(d.begun).Seconds(), fmt.Sprintf(format, args...))
}

// conclude records the result and returns the exit code.
func (d *drill) conclude(broken []string, err error) int {
	switch {
	case err != nil:
		d.logf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitFailed
	case len(broken) > 0:
		for _, line := range broken {
			d.logf("BROKEN %s", line)
			fmt.Println("BROKEN", line)
		}
		return exitBroken
	}
	d.logf("held")
	fmt.Println("held")
	return exitHeld
}

// close ends all processes and removes the temporary folder.
func (d *drill) close() {
	d.fleet.stop()
	for _, p := range d.processes {
		p.kill()
	}
	_ = d.record.Close()
	_ = os.RemoveAll(d.dir)
}

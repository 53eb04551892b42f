package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// ticksPerSecond is the unit of CPU times in /proc (USER_HZ), which is 100 on every Linux
// platform that Go supports.
const ticksPerSecond = 100

// stopGracePeriod is how long a process may take to stop before it is killed.
const stopGracePeriod = 5 * time.Second

// process is a child process of the run. Its usage is read from /proc, and it is stopped
// by its process ID.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
}

// startProcess starts a program with GOMAXPROCS set to processors. The kernel kills it when
// the thread that started it ends, so the caller must be on the main thread for the program
// to run until this process ends.
func startProcess(dir, name, program string, processors int, args ...string) (*process, error) {
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(filepath.Join(dir, program), args...)
	cmd.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", processors))
	cmd.Stdout = log
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = cmd.Start(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	return &process{name: name, cmd: cmd, log: log}, nil
}

func (p *process) pid() int { return p.cmd.Process.Pid }

// stop stops the process and waits for its end. It kills the process after stopGracePeriod.
func (p *process) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	killTimer := time.AfterFunc(stopGracePeriod, func() { _ = p.cmd.Process.Kill() })
	_ = p.cmd.Wait()
	killTimer.Stop()
	p.log.Close()
}

// usage is a process's use of resources since its start, and its current memory. cpu is in
// seconds, rss in bytes. readBytes and writtenBytes are those of all read and write system
// calls, on files and on sockets. The kernel's write_bytes is not usable here: it counts
// 2 MiB for every small write into a large page of the page cache.
type usage struct {
	cpu          float64
	rss          float64
	readBytes    float64
	writtenBytes float64
	readCalls    float64
	writeCalls   float64
}

// ratesSince returns the usage per second since an earlier sample; rss is the current value.
func (u usage) ratesSince(earlier usage, seconds float64) usage {
	return usage{
		cpu:          (u.cpu - earlier.cpu) / seconds,
		rss:          u.rss,
		readBytes:    (u.readBytes - earlier.readBytes) / seconds,
		writtenBytes: (u.writtenBytes - earlier.writtenBytes) / seconds,
		readCalls:    (u.readCalls - earlier.readCalls) / seconds,
		writeCalls:   (u.writeCalls - earlier.writeCalls) / seconds,
	}
}

// usageOf returns the usage of a process, read from /proc.
func usageOf(pid int) (usage, error) {
	var u usage
	dir := fmt.Sprintf("/proc/%d/", pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, err
	}
	if u.cpu, err = parseCPU(string(stat)); err != nil {
		return u, err
	}
	for _, name := range []string{"status", "io"} {
		text, err := os.ReadFile(dir + name)
		if err != nil {
			return u, err
		}
		u.parse(string(text))
	}
	return u, nil
}

// Indexes of the fields of /proc/PID/stat after the name: user and system time in ticks.
const (
	firstTimeField = 11
	lastTimeField  = 12
)

// parseCPU returns the seconds of CPU time in a process's stat line. The program name,
// which is in parentheses, may itself contain spaces and parentheses.
func parseCPU(stat string) (float64, error) {
	var seconds float64
	fields := strings.Fields(stat[strings.LastIndex(stat, ")")+1:])
	if len(fields) <= lastTimeField {
		return 0, errors.Errorf("malformed stat line %q", stat)
	}
	for _, field := range fields[firstTimeField : lastTimeField+1] {
		ticks, err := strconv.ParseFloat(field, 64)
		if err != nil {
			return 0, err
		}
		seconds += ticks / ticksPerSecond
	}
	return seconds, nil
}

// parse sets fields from the lines of /proc/PID/status or io. A line has a name and a
// number, which is in KiB if a unit follows.
func (u *usage) parse(text string) {
	targets := map[string]*float64{
		"VmRSS": &u.rss,
		"rchar": &u.readBytes,
		"wchar": &u.writtenBytes,
		"syscr": &u.readCalls,
		"syscw": &u.writeCalls,
	}
	for _, line := range strings.Split(text, "\n") {
		name, rest, _ := strings.Cut(line, ":")
		fields := strings.Fields(rest)
		if targets[name] == nil || len(fields) == 0 {
			continue
		}
		value, err := strconv.ParseFloat(fields[0], 64)
		if err != nil {
			continue
		}
		if len(fields) > 1 {
			value *= 1024
		}
		*targets[name] = value
	}
}

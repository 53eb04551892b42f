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

// ticksPerSecond is the kernel's count of processor time in a second, the same on every
// Linux that Go runs on.
const ticksPerSecond = 100

// endTimeout is how long a process may take to end before it is killed.
const stopGracePeriod = 5 * time.Second

// process is a process that a run starts, measured by what the kernel says of it and
// ended by its id.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
}

// startProcess runs a program with so many processors at its disposal. It is killed when
// this process dies; for that the caller must be on the main thread.
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

// end stops the process and waits for it.
func (p *process) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	killTimer := time.AfterFunc(stopGracePeriod, func() { _ = p.cmd.Process.Kill() })
	_ = p.cmd.Wait()
	killTimer.Stop()
	p.log.Close()
}

// usage is what a process has used since its start, and the memory it has. cpu is in
// seconds, rss in bytes. The bytes are those of system calls, the disk's included; the
// kernel's write_bytes is of no use here: it counts 2 MiB for every small write into a
// large page of the cache.
type usage struct {
	cpu          float64
	rss          float64
	readBytes    float64
	writtenBytes float64
	readCalls    float64
	writeCalls   float64
}

// ratesSince is the use a second since an earlier moment; the memory is as it is now.
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

// usageOf reads the usage of a process from /proc.
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

// Fields of /proc/PID/stat after the name: user and system time in ticks.
const (
	firstTimeField = 11
	lastTimeField  = 12
)

// parseCPU reads the seconds of processor time from a process's stat line. The name of
// the program, in parentheses, may have spaces and parentheses itself.
func parseCPU(stat string) (float64, error) {
	var seconds float64
	fields := strings.Fields(stat[strings.LastIndex(stat, ")")+1:])
	if len(fields) <= lastTimeField {
		return 0, errors.Errorf("stat %q", stat)
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

// parse takes in lines of /proc/PID/status or io: a name and a number, in KiB where a
// unit follows.
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

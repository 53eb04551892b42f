// Children are the processes that a scale run starts, measured by what the
// kernel says of them and ended by their pids.
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

type process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
}

// startProcess runs a program with so many processors at its call. It is killed when
// the scale run dies; for that the caller must be on the main thread.
func startProcess(dir, name, program string, procs int, env []string, args ...string) (*process, error) {
	var err error
	c := &process{name: name}
	if c.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, err
	}
	c.cmd = exec.Command(filepath.Join(dir, program), args...)
	c.cmd.Env = append(append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", procs)), env...)
	c.cmd.Stdout, c.cmd.Stderr = c.log, c.log
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = c.cmd.Start(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	return c, nil
}

func (c *process) pid() int { return c.cmd.Process.Pid }

// end stops the process and waits for it.
func (c *process) end() {
	_ = c.cmd.Process.Signal(syscall.SIGTERM)
	t := time.AfterFunc(5*time.Second, func() { _ = c.cmd.Process.Kill() })
	_ = c.cmd.Wait()
	t.Stop()
	c.log.Close()
}

// usage is what a process has used since its start, and the memory it holds.
// Read and written are bytes through system calls, the disk's included; gets
// and puts are the calls. The kernel's write_bytes is of no use here: it counts
// 2 MiB for every small write into a large page of the cache.
type usage struct{ cpu, rss, readBytes, writtenBytes, readCalls, writeCalls float64 }

func (u usage) ratesSince(was usage, secs float64) usage {
	return usage{cpu: (u.cpu - was.cpu) / secs, rss: u.rss, readBytes: (u.readBytes - was.readBytes) / secs, writtenBytes: (u.writtenBytes - was.writtenBytes) / secs,
		readCalls: (u.readCalls - was.readCalls) / secs, writeCalls: (u.writeCalls - was.writeCalls) / secs}
}

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

// parseCPU reads the seconds of processor time from a process's stat line.
func parseCPU(stat string) (float64, error) {
	var secs float64
	f := strings.Fields(stat[strings.LastIndex(stat, ")")+1:])
	if len(f) < 13 {
		return 0, errors.Errorf("stat %q", stat)
	}
	for _, one := range f[11:13] {
		n, err := strconv.ParseFloat(one, 64)
		if err != nil {
			return 0, err
		}
		secs += n / ticksPerSecond
	}
	return secs, nil
}

func (u *usage) parse(text string) {
	into := map[string]*float64{"VmRSS": &u.rss, "rchar": &u.readBytes, "wchar": &u.writtenBytes, "syscr": &u.readCalls, "syscw": &u.writeCalls}
	for _, l := range strings.Split(text, "\n") {
		key, val, _ := strings.Cut(l, ":")
		f := strings.Fields(val)
		if into[key] == nil || len(f) == 0 {
			continue
		}
		n, err := strconv.ParseFloat(f[0], 64)
		if err != nil {
			continue
		}
		if len(f) > 1 {
			n *= 1024
		}
		*into[key] = n
	}
}

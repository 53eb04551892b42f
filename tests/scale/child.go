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

// ticks is the kernel's count of processor time in a second, the same on every
// Linux that Go runs on.
const ticks = 100

type child struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
}

// start runs a program with so many processors at its call. It is killed when
// the scale run dies; for that the caller must be on the main thread.
func start(dir, name, program string, procs int, env []string, args ...string) (*child, error) {
	var err error
	c := &child{name: name}
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

func (c *child) pid() int { return c.cmd.Process.Pid }

// end stops the process and waits for it.
func (c *child) end() {
	_ = c.cmd.Process.Signal(syscall.SIGTERM)
	t := time.AfterFunc(5*time.Second, func() { _ = c.cmd.Process.Kill() })
	_ = c.cmd.Wait()
	t.Stop()
	c.log.Close()
}

// use is what a process has used since its start, and the memory it holds.
// Read and written are bytes through system calls, the disk's included; gets
// and puts are the calls. The kernel's write_bytes is of no use here: it counts
// 2 MiB for every small write into a large page of the cache.
type use struct{ cpu, rss, read, written, gets, puts float64 }

func (u use) minus(was use, secs float64) use {
	return use{cpu: (u.cpu - was.cpu) / secs, rss: u.rss, read: (u.read - was.read) / secs, written: (u.written - was.written) / secs,
		gets: (u.gets - was.gets) / secs, puts: (u.puts - was.puts) / secs}
}

func lookAt(pid int) (use, error) {
	var u use
	dir := fmt.Sprintf("/proc/%d/", pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, err
	}
	if u.cpu, err = cpuOf(string(stat)); err != nil {
		return u, err
	}
	for _, name := range []string{"status", "io"} {
		text, err := os.ReadFile(dir + name)
		if err != nil {
			return u, err
		}
		u.fill(string(text))
	}
	return u, nil
}

// cpuOf reads the seconds of processor time from a process's stat line.
func cpuOf(stat string) (float64, error) {
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
		secs += n / ticks
	}
	return secs, nil
}

func (u *use) fill(text string) {
	into := map[string]*float64{"VmRSS": &u.rss, "rchar": &u.read, "wchar": &u.written, "syscr": &u.gets, "syscw": &u.puts}
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

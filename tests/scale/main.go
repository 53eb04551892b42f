package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

type settings struct {
	outDir      string
	limit       time.Duration
	window      time.Duration
	repetitions int
	maxCores    float64
	small       bool
	phases      string
	longTask    time.Duration
	keepFiles   bool
	// runners, starts (per second) and tasks are the full size of the cluster.
	runners, starts, tasks int
}

func main() {
	runtime.LockOSThread()
	s := settings{}
	flag.StringVar(&s.outDir, "out", "tests/scale/out", "folder for the figures and the plot")
	flag.DurationVar(&s.limit, "limit", 4*time.Minute, "all points not begun by then are left out")
	flag.DurationVar(&s.window, "window", 3*time.Second, "length of one measurement")
	flag.IntVar(&s.repetitions, "reps", 2, "measurements of each point")
	flag.Float64Var(&s.maxCores, "cores", 3, "heavier points are left out once one took more processors than this")
	flag.BoolVar(&s.small, "small", false, "a tenth of every size, to try the tool itself")
	flag.StringVar(&s.phases, "phases", "fleet,queues,starts,clerk,running,all",
		"which to run; without fleet all runners are there from the start")
	flag.DurationVar(&s.longTask, "long", 50*time.Minute,
		"mean span of the tasks that run on; every hundredth of it the percentage of one moves")
	flag.BoolVar(&s.keepFiles, "keep", false, "keep the processes' logs and data")
	flag.IntVar(&s.runners, "runners", defaultRunners, "runners at full size")
	flag.IntVar(&s.starts, "starts", defaultStarts, "starts a second at full size")
	flag.IntVar(&s.tasks, "tasks", defaultTasks, "tasks running at full size")
	hold := flag.Bool("hold", false, "only the trial in virtual time of one agent's lease")
	flag.Parse()
	if *hold {
		runLeaseTrials()
		return
	}
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, "scale:", err)
		os.Exit(1)
	}
}

func run(s settings) error {
	var err error
	if err = os.MkdirAll(s.outDir, 0o755); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "orchidward-scale-")
	if err != nil {
		return err
	}
	if s.keepFiles {
		fmt.Println("# kept:", dir)
	} else {
		defer os.RemoveAll(dir)
	}
	f, err := newCluster(dir)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return err
	}
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM)
	f.goroutines.Go(func(done <-chan struct{}) {
		select {
		case <-done:
		case <-interrupts:
			fmt.Fprintln(os.Stderr, "scale: stopped")
			f.kill()
			os.Exit(1)
		}
	})
	r := newReport(s)
	p := &plan{
		settings:  s,
		cluster:   f,
		report:    r,
		load:      newLoad(f),
		changes:   &catalogChanges{cluster: f},
		startedAt: time.Now(),
	}
	p.run()
	return r.write(filepath.Join(s.outDir, "points.json"), filepath.Join(s.outDir, "scale.svg"))
}

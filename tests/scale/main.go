// scale measures what a site costs as it grows: a keeper group of three and
// gates in processes of their own, and hollow agents with
// stand-in runners in this one. It is bounded in time, ends what it started,
// prints one table and draws one plot.
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
	out    string
	limit  time.Duration
	window time.Duration
	reps   int
	most   float64
	small  bool
	phases string
	long   time.Duration
	keep   bool
	// The site's size.
	runners, starts, tasks int
}

func main() {
	runtime.LockOSThread()
	s := settings{}
	flag.StringVar(&s.out, "out", "tests/scale/out", "folder for the figures and the plot")
	flag.DurationVar(&s.limit, "limit", 4*time.Minute, "all points not begun by then are left out")
	flag.DurationVar(&s.window, "window", 3*time.Second, "length of one measurement")
	flag.IntVar(&s.reps, "reps", 2, "measurements of each point")
	flag.Float64Var(&s.most, "cores", 3, "heavier points are left out once one took more processors than this")
	flag.BoolVar(&s.small, "small", false, "a tenth of every size, to try the tool itself")
	flag.StringVar(&s.phases, "phases", "fleet,queues,starts,clerk,running,all", "which to run; without fleet all runners are there from the start")
	flag.DurationVar(&s.long, "long", 50*time.Minute, "mean span of the tasks that run on; every hundredth of it the percentage of one moves")
	flag.BoolVar(&s.keep, "keep", false, "keep the processes' logs and data")
	flag.IntVar(&s.runners, "runners", siteRunners, "runners at the site's size")
	flag.IntVar(&s.starts, "starts", siteStarts, "starts a second at the site's size")
	flag.IntVar(&s.tasks, "tasks", siteRunning, "tasks running at the site's size")
	hold := flag.Bool("hold", false, "only the trial in virtual time of one agent's hold")
	flag.Parse()
	if *hold {
		holdTrials()
		return
	}
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, "scale:", err)
		os.Exit(1)
	}
}

func run(s settings) error {
	var err error
	if err = os.MkdirAll(s.out, 0o755); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "orchidward-scale-")
	if err != nil {
		return err
	}
	if s.keep {
		fmt.Println("# kept:", dir)
	} else {
		defer os.RemoveAll(dir)
	}
	f, err := newFleet(dir)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	f.crew.Go(func(over <-chan struct{}) {
		select {
		case <-over:
		case <-stop:
			fmt.Fprintln(os.Stderr, "scale: stopped")
			f.kill()
			os.Exit(1)
		}
	})
	r := newReport(s)
	p := &points{settings: s, fleet: f, report: r, load: newLoad(f), changes: &catalogues{fleet: f}, begun: time.Now()}
	p.all()
	return r.write(filepath.Join(s.out, "points.json"), filepath.Join(s.out, "scale.svg"))
}

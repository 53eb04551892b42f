package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"

	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/daemon/settings"
	"orchidward/internal/transport/httpclient"
)

const programName = "zone-drill"

// Exit codes; settings.Parse exits with 2 on bad usage.
const (
	exitNotKept     = 1
	exitUnreachable = 3
)

// stopTimeout bounds the wait for the drill's goroutines at exit.
const stopTimeout = 3 * time.Second

// flags are the command-line flags.
type flags struct {
	Boot    string   `help:"Settings file, JSON, keys as the flags." placeholder:"FILE"`
	Gates   []string `help:"IP:PORT of gates." default:"127.0.0.1:7200" env:"ORCHIDWARD_GATES"`
	Runners []string `help:"IP:PORT of the stand-in runners' own HTTP, whose journals are read." required:""`
	Domain  string   `help:"Zone to take out." required:""`
	Pids    []int    `help:"Processes on this machine to kill instead of closing the zone, named by the operator, who also starts them again."`
	Row     string   `help:"Row of the table the load goes to." default:"default"`
	LoadS   int64    `help:"How many seconds of load; the zone is out for the middle third." default:"30"`
	RatePct int64    `help:"Load in percent of the usual." default:"100"`
	Output  string   `help:"How to print: text or json." default:"text" enum:"text,json"`
}

const outputJSON = "json"

func (f *flags) check(v *settings.Validator) {
	v.Addrs("gates", f.Gates, 1)
	v.Addrs("runners", f.Runners, 1)
	v.Name("domain", f.Domain)
	v.Name("row", f.Row)
	v.Range("load-s", f.LoadS, 9, 3600)
	v.Range("rate-pct", f.RatePct, 10, 2000)
	for _, pid := range f.Pids {
		if pid <= 1 {
			v.Invalid("pids", "want process ids, have %d", pid)
		}
	}
}

// kills reports whether the drill kills processes instead of draining the domain.
func (f *flags) kills() bool { return len(f.Pids) > 0 }

func main() {
	f := &flags{}
	settings.Parse(f, programName, "Takes a zone out of a running fleet and checks the promises.", f.check)
	goroutines := lifecycle.New()
	d := newDrill(f, goroutines)
	err := d.run()
	stop(goroutines)
	if err != nil {
		warnf("%v", err)
		if errors.Is(err, httpclient.ErrUnreachable) {
			os.Exit(exitUnreachable)
		}
		os.Exit(exitNotKept)
	}
	verdicts := d.verdicts()
	if f.Output == outputJSON {
		printJSON(verdicts, d.checker.Counts)
	} else {
		printText(verdicts)
	}
	if !allKept(verdicts) {
		os.Exit(exitNotKept)
	}
}

func stop(goroutines *lifecycle.Group) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := goroutines.Stop(ctx); err != nil {
		warnf("stopped late: %v", err)
	}
}

// warnf prints a line to standard error.
func warnf(text string, args ...any) {
	fmt.Fprintf(os.Stderr, programName+": "+text+"\n", args...)
}

// report is the JSON output of a drill.
type report struct {
	Counts   map[string]int `json:"counts"`
	Kept     bool           `json:"kept"`
	Promises []verdict      `json:"promises"`
}

func printJSON(verdicts []verdict, counts map[string]int) {
	text, err := json.Marshal(report{Counts: counts, Kept: allKept(verdicts), Promises: verdicts})
	if err != nil {
		panic(programName + ": the report does not encode: " + err.Error())
	}
	fmt.Println(string(text))
}

func printText(verdicts []verdict) {
	for _, v := range verdicts {
		fmt.Printf("%-4s %-20s %s\n     %s\n", v.Promise, v.Verdict, v.What, v.Figures)
	}
}

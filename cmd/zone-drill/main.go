// Command zone-drill puts a running cluster under load, takes a zone out and
// brings it back, and checks what clients were told and what runners did against
// the promises. It exits 0 when all were kept on enough evidence, 1 on
// a breach or too little evidence, 2 on bad usage, 3 when no gateway answered.
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

func (f *flags) check(c *settings.Validator) {
	c.Addrs("gates", f.Gates, 1)
	c.Addrs("runners", f.Runners, 1)
	c.Name("domain", f.Domain)
	c.Name("row", f.Row)
	c.Range("load-s", f.LoadS, 9, 3600)
	c.Range("rate-pct", f.RatePct, 10, 2000)
	for _, p := range f.Pids {
		if p <= 1 {
			c.Invalid("pids", "want process ids, have %d", p)
		}
	}
}

func main() {
	f := &flags{}
	settings.Parse(f, "zone-drill", "Takes a zone out of a running fleet and checks the promises.", f.check)
	c := lifecycle.New()
	d := newDesk(f, c)
	err := d.run()
	ctx, end := context.WithTimeout(context.Background(), 3*time.Second)
	defer end()
	if late := c.Stop(ctx); late != nil {
		fmt.Fprintf(os.Stderr, "zone-drill: stopped late: %v\n", late)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "zone-drill: %v\n", err)
		if errors.Is(err, httpclient.ErrUnreachable) {
			os.Exit(3)
		}
		os.Exit(1)
	}
	list := d.verdicts()
	good := true
	for _, v := range list {
		good = good && v.Verdict == kept
	}
	if f.Output == "json" {
		text, err := json.Marshal(map[string]any{"kept": good, "promises": list, "counts": d.watch.Counts})
		if err != nil {
			panic(err)
		}
		fmt.Println(string(text))
	} else {
		for _, v := range list {
			fmt.Printf("%-4s %-20s %s\n     %s\n", v.Promise, v.Verdict, v.What, v.Figures)
		}
	}
	if !good {
		os.Exit(1)
	}
}

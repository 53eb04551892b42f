// Command ablation measures the effect of a mechanism or a change: it runs the same days
// with the same seeds on several versions of the tree, and prints the differences of their
// scores from the first version, with standard errors. It is run by hand, because it needs
// the users' benchmark program, the bench:
//
//	go run ./tests/ablation -bench FLEETBENCH -site SITE.toml -days scale-1,scale-2 -seeds 6 \
//	    -versions HEAD,HEAD+no-reservation -out FOLDER
//
// A version is a git revision, followed by the names of edits (see edits.go) after plus
// signs. Results are stored in the folder and reused by later runs, so that versions can be
// added. The bench's journal entries are copied into journal/.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// options are the command-line options.
type options struct {
	bench    string
	site     string
	days     []string
	seeds    int
	versions []string
	out      string
	why      string
	atOnce   int
	small    bool
}

func readOptions() options {
	var o options
	days := flag.String("days", "", "names of standard days, with commas")
	versions := flag.String("versions", "HEAD", "REVISION[+EDIT...], with commas; the first is compared with")
	flag.StringVar(&o.bench, "bench", "", "path of fleetbench")
	flag.StringVar(&o.site, "site", "", "site file")
	flag.IntVar(&o.seeds, "seeds", 6, "how many seeds to play of each day")
	flag.StringVar(&o.out, "out", "", "folder for copies, results and the plot")
	flag.StringVar(&o.why, "why", "ablation", "reason, for the journal")
	flag.IntVar(&o.atOnce, "parallel", 1, "versions to play at once, 2 at most")
	flag.BoolVar(&o.small, "small", false, "play the small twins of large days")
	flag.Parse()
	o.days = strings.Split(*days, ",")
	o.versions = strings.Split(*versions, ",")
	o.atOnce = min(max(o.atOnce, 1), maxAtOnce)
	return o
}

func main() {
	o := readOptions()
	if o.bench == "" || o.site == "" || o.out == "" {
		flag.Usage()
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "ablation:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	out, err := filepath.Abs(o.out)
	if err != nil {
		return err
	}
	o.out = out
	site, err := writeSite(o)
	if err != nil {
		return err
	}
	results, err := playAll(o, site)
	if err != nil {
		return err
	}
	rows := compare(results)
	printRows(os.Stdout, site.name, rows)
	return plot(filepath.Join(o.out, site.name+".svg"), rows)
}

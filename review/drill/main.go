// Command drill plays one case of the review: it starts the servers, gateways and agents of
// the deploy file as separate processes on loopback addresses, acts as their clients, their
// operator and their runners, causes one trouble, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// longestRun ends a drill that does not end by itself.
const longestRun = 110 * time.Second

// scenario is one case. It returns what broke the rule, empty if the rule held.
type scenario func(d *drill) (broken []string, err error)

var scenarios = map[string]scenario{
	"gang":     halfEndedGang,
	"ends":     manyEnds,
	"failures": lateFailures,
}

func main() { os.Exit(play(os.Args[1:])) }

// play plays the scenario named by the first argument with the program given by the second, and
// writes the record to the file given by the third.
func play(args []string) int {
	if len(args) != 3 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drill SCENARIO PROGRAM RECORD")
		return exitFailed
	}
	d, err := newDrill(args[1], args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer d.close()
	type result struct {
		broken []string
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := scenarios[args[0]](d)
		results <- result{broken, err}
	}()
	select {
	case r := <-results:
		return d.conclude(r.broken, r.err)
	case <-time.After(longestRun):
		return d.conclude(nil, fmt.Errorf("not done after %v", longestRun))
	}
}

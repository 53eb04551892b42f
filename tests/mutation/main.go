package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
)

// maxLine bounds the printed part of a test's message, in bytes.
const maxLine = 120

// result is the outcome of one mutation: the failure message that noticed it, or an error.
type result struct {
	noticedBy string
	err       error
}

func main() {
	only := flag.String("only", "", "only mutations whose name has this in it")
	jobs := flag.Int("jobs", 1, "how many mutations are run at once")
	flag.Parse()
	chosen := choose(*only)
	if len(chosen) == 0 {
		fmt.Fprintf(os.Stderr, "no mutation has %q in its name\n", *only)
		os.Exit(2)
	}
	unnoticedCount, untried := runAll(chosen, max(1, *jobs))
	if untried > 0 {
		fmt.Printf("%d of %d mutations could not be tried\n", untried, len(chosen))
	}
	if unnoticedCount > 0 {
		fmt.Printf("%d of %d mutations went unnoticed\n", unnoticedCount, len(chosen))
	}
	if unnoticedCount+untried > 0 {
		os.Exit(1)
	}
	fmt.Printf("all %d mutations were noticed\n", len(chosen))
}

func choose(part string) []mutation {
	var chosen []mutation
	for _, m := range allMutations() {
		if strings.Contains(m.name, part) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// runAll runs the mutations, at most jobs at once, prints the results in the order of the
// list and returns how many mutations went unnoticed, and how many could not be tried.
func runAll(list []mutation, jobs int) (unnoticedCount, untried int) {
	results := make([]chan result, len(list))
	slots := make(chan struct{}, jobs)
	for i := range list {
		results[i] = make(chan result, 1)
	}
	go func() {
		for i, m := range list {
			slots <- struct{}{}
			go func() {
				noticedBy, err := m.run()
				results[i] <- result{noticedBy, err}
				<-slots
			}()
		}
	}()
	for i, m := range list {
		r := <-results[i]
		switch {
		case r.err == nil:
		case unnoticed(r.err):
			unnoticedCount++
		default:
			untried++
		}
		fmt.Printf("%-52s %s\n", m.name, r)
	}
	return unnoticedCount, untried
}

// String formats the result for printing.
func (r result) String() string {
	if r.err != nil {
		return r.err.Error()
	}
	return "noticed: " + r.noticedBy[:min(len(r.noticedBy), maxLine)]
}

// A verdict for every promise, with the figures it rests on. Too little
// evidence is a verdict of its own, and no success.
package main

import (
	"fmt"
	"sort"
	"strings"
)

const (
	kept   = "kept"
	broken = "BROKEN"
	thin   = "too little evidence"
)

type verdict struct {
	Promise string `json:"promise"`
	Verdict string `json:"verdict"`
	What    string `json:"what"`
	Figures string `json:"figures"`
}

func (d *desk) verdicts() []verdict {
	var list []verdict
	n := d.watch.Counts
	add := func(name, what string, enough bool, figures string, args ...any) {
		v := verdict{Promise: name, Verdict: kept, What: what, Figures: fmt.Sprintf(figures, args...)}
		if !enough {
			v.Verdict = thin
		}
		for _, b := range d.watch.Violations {
			if strings.HasPrefix(b, name+" ") {
				v.Verdict = broken
				v.Figures += "; " + b
			}
		}
		list = append(list, v)
	}
	starts, moved := n["event start"], n["event stopped"]+n["event lapsed"]
	shut := len(d.f.Pids) > 0 || d.openAt-d.shutAt > 5000
	add("P2", "no start in a closed zone 5 s after the acknowledgement", shut && starts > 20, "starts %d, zone out for %d ms", starts, d.openAt-d.shutAt)
	add("P3", "no task runs twice at once, or again after its end was told", starts > 20, "starts %d, called back %d, reruns no scheduler can decide %d", starts, moved, n["undecided rerun"])
	add("P4", "no start before the steps it depends on", starts > 20, "starts %d, ends unread on lost runners %d", starts, n["unseen ends"])
	add("P5", "no start after the allowed defects", starts > 20, "defects %d", n["event defect"])
	add("P6", "no start 3 s after a cancel, running work gone at once", n["ended cancelled"] > 0, "cancelled %d", n["ended cancelled"])
	add("P7", "no start without the label or past the room", starts > 20, "starts %d", starts)
	add("P8", "no gang runs in part", starts > 20, "gang parts over the limit: %d", n["breach P8"])
	add("P9", "accepted jobs are known everywhere and end truly", n["acked"] > 20 && n["stuck"] == 0, "accepted %d, well %d, failed %d, cancelled %d, not ended %d", n["acked"], n["ended well"], n["ended failed"], n["ended cancelled"], n["stuck"])
	add("P10", "the table's epoch never goes back", len(d.epochs) > 20, "reads %d", len(d.epochs))
	if d.gap > 12000 {
		d.watch.Violate("P11", "no answer for %d ms", d.gap)
	}
	add("P11", "service is back within 12 s", len(d.epochs) > 20, "longest time without an answer %d ms", d.gap)
	if d.halves > 0 {
		d.watch.Violate("P12", "%d answers broke off", d.halves)
	}
	add("P12", "no answer breaks off half-way", d.asked > 50, "requests %d, to be asked again %d, half answers %d", d.asked, d.lost, d.halves)
	sort.SliceStable(list, func(i, j int) bool { return len(list[i].Promise) < len(list[j].Promise) })
	return list
}

package main

import "slices"

// scheduled is a function to be called at a given time.
type scheduled struct {
	at int64
	do func()
}

// after runs a function after a delay.
func (d *drill) after(ms int64, do func()) {
	d.timers = append(d.timers, scheduled{d.clockNow() + ms, do})
}

// repeat runs a function after a delay, and then at a fixed interval until it returns false.
func (d *drill) repeat(delay, interval int64, do func() (again bool)) {
	d.repeatAt(d.clockNow()+delay, interval, do)
}

func (d *drill) repeatAt(at, interval int64, do func() (again bool)) {
	d.timers = append(d.timers, scheduled{at, func() {
		if do() {
			d.repeatAt(at+interval, interval, do)
		}
	}})
}

// runTimers calls the timers that are due.
func (d *drill) runTimers() {
	timers := d.timers
	d.timers = nil
	for _, timer := range timers {
		if timer.at <= d.now {
			timer.do()
		} else {
			d.timers = append(d.timers, timer)
		}
	}
}

// releaseEvents passes all events up to a given time to the checker, oldest first.
func (d *drill) releaseEvents(until int64) {
	slices.SortStableFunc(d.events, func(a, b scheduled) int { return int(a.at - b.at) })
	for len(d.events) > 0 && d.events[0].at <= until {
		event := d.events[0]
		d.events = d.events[1:]
		d.now = event.at
		event.do()
	}
}

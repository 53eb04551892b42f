// The points of a run, in their order: fleets, the catalogue, starts, tasks
// that run on, and all of it at once.
package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"orchidward/internal/clock"
)

const (
	phaseIdle    = "runners, idle"
	phaseSlow    = "runners, 10 starts/s"
	phaseStarts  = "starts/s, all runners"
	phaseRunning = "tasks running"
	phaseAll     = "all at once"
	phaseWhole   = "queues, whole catalogue"
	phasePatch   = "queues, one changed"
	phaseClerk   = "clerk"

	longJob = 10
	settle  = 2 * time.Second
)

// The site's size, where nothing else is asked for.
const (
	siteRunners = 600
	siteRunning = 8200
	siteStarts  = 70
)

type points struct {
	settings
	fleet   *fleet
	report  *report
	load    *load
	changes *catalogues
	begun   time.Time
	heavy   bool
}

func (p *points) size(n int) int {
	if p.small {
		return max(1, n/10)
	}
	return n
}

// may tells whether another point may begin, and says it where not.
func (p *points) may(what string) bool {
	switch {
	case time.Since(p.begun) > p.limit:
		p.report.say("not run, out of time: %s", what)
	case p.heavy:
		p.report.say("not run, would take more than %v processors: %s", p.most, what)
	default:
		return true
	}
	return false
}

// repeat measures a point a few times over.
func (p *points) repeat(phase string, x float64) {
	for range p.reps {
		m, err := p.fleet.measure(phase, x, p.window)
		if err != nil {
			p.report.say("failed: %s at %v: %v", phase, x, err)
			return
		}
		m.Vals["polls/s/agent"] = m.Vals["polls"] / float64(max(1, len(p.fleet.crowd.list)))
		p.report.add(m)
		p.heavy = p.heavy || m.Vals["cores"] > p.most
	}
}

func (p *points) loaded(phase string, x float64, rate int) {
	if rate == 0 {
		time.Sleep(settle)
		p.repeat(phase, x)
		return
	}
	end := p.load.start(rate, uint64(x)+uint64(rate))
	time.Sleep(shortSpan.Duration() + time.Second)
	p.repeat(phase, x)
	end()
	time.Sleep(shortSpan.Duration())
}

func (p *points) wants(phase string) bool {
	return strings.Contains(","+p.phases+",", ","+phase+",")
}

func (p *points) all() {
	if !p.first() || !p.fleets() {
		return
	}
	if p.wants("queues") {
		p.catalogues()
	}
	if p.wants("starts") {
		for _, rate := range []int{5, 20, p.starts} {
			if p.may(fmt.Sprintf("%d starts/s", rate)) {
				p.loaded(phaseStarts, float64(p.size(rate)), p.size(rate))
			}
		}
	}
	if p.wants("clerk") {
		p.clerk()
	}
	if p.wants("running") {
		p.running()
	}
	if p.wants("all") && p.may("all at once") {
		p.loaded(phaseAll, 1, p.size(p.starts))
	}
	p.load.mu.Lock()
	defer p.load.mu.Unlock()
	p.report.say("jobs taken %d, not taken by status (0 no answer, -1 the load's own line full) %v", p.load.taken.Load(), p.load.odd)
}

// fleets lets the fleet grow, at rest and with a little work at each size.
func (p *points) fleets() bool {
	sizes := []int{11, 100, 300, p.runners}
	if !p.wants("fleet") {
		sizes = sizes[3:]
	}
	for _, n := range sizes {
		if n = p.size(n); !p.may(fmt.Sprintf("%d runners", n)) {
			return false
		}
		if err := p.fleet.crowd.grow(n); err != nil {
			p.report.say("failed: %d runners: %v", n, err)
			return false
		}
		if !p.wants("fleet") {
			time.Sleep(3 * settle)
			return true
		}
		p.loaded(phaseIdle, float64(n), 0)
		p.loaded(phaseSlow, float64(n), p.size(10))
	}
	return true
}

// first gives the group its first catalogue, once all keepers know of such.
func (p *points) first() bool {
	var last error
	err := p.fleet.wait(20*time.Second, "first catalogue", func() bool {
		if _, last = p.changes.whole(3); last != nil {
			time.Sleep(200 * time.Millisecond)
		}
		return last == nil
	})
	if err != nil {
		p.report.say("failed: %v: %v", err, last)
	}
	return err == nil
}

func (p *points) catalogues() {
	for _, n := range []int{3, 280, 1400, 10000} {
		if n = max(1, p.size(n)); !p.may(fmt.Sprintf("catalogue of %d queues", n)) {
			return
		}
		time.Sleep(500 * time.Millisecond)
		for i := range p.reps {
			p.note(p.changes.timed(phaseWhole, n, func() (int, error) { return p.changes.whole(n) }))
			p.note(p.changes.timed(phasePatch, n, func() (int, error) { return p.changes.one(i % n) }))
		}
	}
	p.note(p.changes.timed(phaseWhole, 280, func() (int, error) { return p.changes.whole(280) }))
}

func (p *points) note(m measured, err error) {
	if err != nil {
		p.report.say("failed: catalogue: %v", err)
		return
	}
	p.report.add(m)
}

// running fills the site with tasks that run on, step by step.
func (p *points) running() {
	rnd, long := rand.New(rand.NewPCG(1, 2)), clock.Millis(p.long.Milliseconds())
	err := p.fleet.wait(10*time.Second, "short tasks over", func() bool { return p.fleet.crowd.running.Load() == 0 })
	if err != nil {
		p.report.say("failed: %v", err)
	}
	handed := int(p.fleet.crowd.running.Load())
	for _, n := range []int{500, 2000, 4000, p.tasks} {
		if n = p.size(n); !p.may(fmt.Sprintf("%d tasks running", n)) {
			return
		}
		was, began := p.fleet.crowd.running.Load(), time.Now()
		for k := 0; handed < n; k++ {
			tasks := min(longJob, n-handed)
			gpus := 0
			if k%8 == 7 {
				gpus = 1
			}
			p.load.offer(p.load.job(tasks, long*2/3+clock.Millis(rnd.Int64N(int64(long)*2/3)), false, gpus))
			handed += tasks
		}
		err := p.fleet.wait(25*time.Second, "the tasks run", func() bool { return int(p.fleet.crowd.running.Load()) >= n })
		now := p.fleet.crowd.running.Load()
		p.report.say("placing: %d tasks more in %.1f s, %.0f a second, %d of %d run (%v)", now-was, time.Since(began).Seconds(), float64(now-was)/time.Since(began).Seconds(), now, n, err)
		time.Sleep(settle)
		p.repeat(phaseRunning, float64(p.fleet.crowd.running.Load()))
	}
}

// clerk asks what operators ask.
func (p *points) clerk() {
	for _, path := range []string{"/v1/runners", "/v1/jobs?limit=100", "/v1/keepers", "/v1/table"} {
		for range p.reps {
			began := time.Now()
			status, body, err := p.fleet.get("http://" + p.fleet.fronts[0] + path)
			if err != nil || status != 200 {
				p.report.say("failed: GET %s: %d %v", path, status, err)
				continue
			}
			p.report.say("clerk: GET %s: %.1f kB in %d ms", path, float64(len(body))/1e3, time.Since(began).Milliseconds())
		}
	}
}

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/clock"
)

const (
	phaseIdle     = "runners, idle"
	phaseSlow     = "runners, 10 starts/s"
	phaseStarts   = "starts/s, all runners"
	phaseRunning  = "tasks running"
	phaseAll      = "all at once"
	phaseWhole    = "queues, whole catalog"
	phasePatch    = "queues, one changed"
	phaseOperator = "clerk"

	longJobTasks = 10
	settleTime   = 2 * time.Second
)

// The default full size.
const (
	defaultRunners = 600
	defaultTasks   = 8200
	defaultStarts  = 70
)

// plan runs the points of a run in order. overloaded is set once a point used more than
// maxCores processors; no further points are measured then.
type plan struct {
	settings
	cluster    *cluster
	report     *report
	load       *load
	changes    *catalogChanges
	startedAt  time.Time
	overloaded bool
}

// scaled returns n, or a tenth of it in a small run.
func (p *plan) scaled(n int) int {
	if p.small {
		return max(1, n/10)
	}
	return n
}

// mayRun reports whether another point may begin. If not, it adds a note to the report.
func (p *plan) mayRun(what string) bool {
	switch {
	case time.Since(p.startedAt) > p.limit:
		p.report.notef("not run, out of time: %s", what)
	case p.overloaded:
		p.report.notef("not run, would take more than %v processors: %s", p.maxCores, what)
	default:
		return true
	}
	return false
}

// repeat measures a point repetitions times.
func (p *plan) repeat(phase string, x float64) {
	for range p.repetitions {
		m, err := p.cluster.measure(phase, x, p.window)
		if err != nil {
			p.report.notef("failed: %s at %v: %v", phase, x, err)
			return
		}
		m.Values[figureAgentPolls] = m.Values[figurePolls] / float64(max(1, len(p.cluster.agents.agents)))
		p.report.add(m)
		p.overloaded = p.overloaded || m.Values[figureCores] > p.maxCores
	}
}

// measureUnderLoad measures a point while rate tasks are submitted per second. With a rate
// of 0 it measures the idle cluster.
func (p *plan) measureUnderLoad(phase string, x float64, rate int) {
	if rate == 0 {
		time.Sleep(settleTime)
		p.repeat(phase, x)
		return
	}
	end := p.load.start(rate, uint64(x)+uint64(rate))
	time.Sleep(shortTask.Duration() + time.Second)
	p.repeat(phase, x)
	end()
	time.Sleep(shortTask.Duration())
}

// selected reports whether a phase was requested.
func (p *plan) selected(phase string) bool {
	return strings.Contains(","+p.phases+",", ","+phase+",")
}

// run runs the requested phases.
func (p *plan) run() {
	if !p.publishFirstCatalog() || !p.growRunners() {
		return
	}
	if p.selected("queues") {
		p.catalogs()
	}
	if p.selected("starts") {
		for _, rate := range []int{5, 20, p.starts} {
			if p.mayRun(fmt.Sprintf("%d starts/s", rate)) {
				p.measureUnderLoad(phaseStarts, float64(p.scaled(rate)), p.scaled(rate))
			}
		}
	}
	if p.selected(phaseOperator) {
		p.operatorReads()
	}
	if p.selected("running") {
		p.running()
	}
	if p.selected("all") && p.mayRun("all at once") {
		p.measureUnderLoad(phaseAll, 1, p.scaled(p.starts))
	}
	p.load.mu.Lock()
	defer p.load.mu.Unlock()
	p.report.notef("jobs accepted %d, not accepted by status (0 no response, -1 the load's own queue full) %v",
		p.load.accepted.Load(), p.load.rejected)
}

// growRunners adds runners in steps, and measures each size idle and under a light load. It
// reports whether the full size was reached.
func (p *plan) growRunners() bool {
	sizes := []int{11, 100, 300, p.runners}
	if !p.selected("fleet") {
		sizes = sizes[3:]
	}
	for _, n := range sizes {
		if n = p.scaled(n); !p.mayRun(fmt.Sprintf("%d runners", n)) {
			return false
		}
		if err := p.cluster.agents.grow(n); err != nil {
			p.report.notef("failed: %d runners: %v", n, err)
			return false
		}
		if !p.selected("fleet") {
			time.Sleep(3 * settleTime)
			return true
		}
		p.measureUnderLoad(phaseIdle, float64(n), 0)
		p.measureUnderLoad(phaseSlow, float64(n), p.scaled(10))
	}
	return true
}

// publishFirstCatalog publishes the first catalog. It retries because the servers reject
// catalogs until the cluster's level allows them.
func (p *plan) publishFirstCatalog() bool {
	var last error
	err := p.cluster.wait(20*time.Second, "first catalog", func() bool {
		if _, last = p.changes.replaceAll(3); last != nil {
			time.Sleep(200 * time.Millisecond)
		}
		return last == nil
	})
	if err != nil {
		p.report.notef("failed: %v: %v", err, last)
	}
	return err == nil
}

// catalogs measures catalog changes with a growing number of queues.
func (p *plan) catalogs() {
	for _, n := range []int{3, 280, 1400, 10000} {
		if n = max(1, p.scaled(n)); !p.mayRun(fmt.Sprintf("catalog of %d queues", n)) {
			return
		}
		time.Sleep(500 * time.Millisecond)
		for i := range p.repetitions {
			p.addChange(p.changes.measure(phaseWhole, n, func() (int, error) { return p.changes.replaceAll(n) }))
			p.addChange(p.changes.measure(phasePatch, n, func() (int, error) { return p.changes.changeOne(i % n) }))
		}
	}
	p.addChange(p.changes.measure(phaseWhole, 280, func() (int, error) { return p.changes.replaceAll(280) }))
}

func (p *plan) addChange(m measurement, err error) {
	if err != nil {
		p.report.notef("failed: catalog: %v", err)
		return
	}
	p.report.add(m)
}

// running adds long-running tasks in steps, and measures each step.
func (p *plan) running() {
	random := rand.New(rand.NewPCG(1, 2))
	meanSpan := clock.Millis(p.longTask.Milliseconds())
	err := p.cluster.wait(10*time.Second, "short tasks over", func() bool { return p.cluster.agents.running.Load() == 0 })
	if err != nil {
		p.report.notef("failed: %v", err)
	}
	submitted := int(p.cluster.agents.running.Load())
	for _, n := range []int{500, 2000, 4000, p.tasks} {
		if n = p.scaled(n); !p.mayRun(fmt.Sprintf("%d tasks running", n)) {
			return
		}
		before := p.cluster.agents.running.Load()
		began := time.Now()
		for k := 0; submitted < n; k++ {
			tasks := min(longJobTasks, n-submitted)
			gpus := 0
			if k%8 == 7 {
				gpus = 1
			}
			p.load.submit(p.load.job(tasks, meanSpan*2/3+clock.Millis(random.Int64N(int64(meanSpan)*2/3)), false, gpus))
			submitted += tasks
		}
		err := p.cluster.wait(25*time.Second, "the tasks run", func() bool {
			return int(p.cluster.agents.running.Load()) >= n
		})
		now := p.cluster.agents.running.Load()
		took := time.Since(began).Seconds()
		p.report.notef("placing: %d tasks more in %.1f s, %.0f a second, %d of %d run (%v)",
			now-before, took, float64(now-before)/took, now, n, err)
		time.Sleep(settleTime)
		p.repeat(phaseRunning, float64(p.cluster.agents.running.Load()))
	}
}

// operatorReads requests the pages that operators use, and notes the size and duration of
// each response.
func (p *plan) operatorReads() {
	for _, path := range []string{
		endpoint.RunnersPath,
		endpoint.JobsPath + "?limit=100",
		endpoint.ServersPath,
		endpoint.LimitsPath,
	} {
		for range p.repetitions {
			began := time.Now()
			status, body, err := p.cluster.get("http://" + p.cluster.gatewayHTTP[0] + path)
			if err != nil || status != http.StatusOK {
				p.report.notef("failed: GET %s: %d %v", path, status, err)
				continue
			}
			p.report.notef("clerk: GET %s: %.1f kB in %d ms", path, float64(len(body))/1e3, time.Since(began).Milliseconds())
		}
	}
}

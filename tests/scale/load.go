package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"orchidward/internal/clock"
	"orchidward/internal/daemon/lifecycle"
)

const (
	queue        = "q0"
	jobTasks     = 10
	maxGang      = 64
	gangInterval = 4 * time.Second
	submitters   = 8
	// shortTask is the mean span of short tasks, in ms.
	shortTask clock.Millis = 3000
)

// queueFull is the status under which jobs are counted that did not fit in the load's own queue.
const queueFull = -1

// load submits jobs to the gateways at a constant rate of tasks.
type load struct {
	cluster  *cluster
	jobs     *lifecycle.Queue[string]
	next     atomic.Uint64
	accepted atomic.Int64
	// rejected counts jobs that were not accepted, by status: 0 for no response, queueFull
	// for the load's own queue.
	mu       sync.Mutex
	rejected map[int]int
}

func newLoad(c *cluster) *load {
	l := &load{cluster: c, jobs: lifecycle.NewQueue[string](2048), rejected: map[int]int{}}
	for i := range submitters {
		c.goroutines.Go(func(stop <-chan struct{}) { l.submitJobs(c.gatewayHTTP[i%len(c.gatewayHTTP)], stop) })
	}
	return l
}

func (l *load) submitJobs(gatewayHTTP string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case body := <-l.jobs.Out():
			id := fmt.Sprintf("%016x", l.next.Add(1))
			if status, err := l.cluster.submit(gatewayHTTP, id, body); err == nil && status < http.StatusMultipleChoices {
				l.accepted.Add(1)
			} else {
				l.mu.Lock()
				l.rejected[status]++
				l.mu.Unlock()
			}
		}
	}
}

// job returns the body of a job with the given number of equal tasks.
func (l *load) job(tasks int, span clock.Millis, gang bool, gpus int) string {
	step := fmt.Sprintf(`{"name":"s0","tasks":%d,"gang":%v,"milliCores":1000,"memMb":1000,"gpus":%d,"spanMs":%d}`,
		tasks, gang, gpus, span)
	payload := encodePayload(span, l.cluster.clock.Now())
	return fmt.Sprintf(`{"queue":%q,"text":%q,"steps":[%s]}`, queue, payload, step)
}

// submit queues a job to be submitted; it counts as rejected if the queue is full.
func (l *load) submit(body string) {
	if !l.jobs.TryPush(body) {
		l.mu.Lock()
		l.rejected[queueFull]++
		l.mu.Unlock()
	}
}

// start submits rate tasks per second until the returned function is called. Every
// gangInterval it submits one gang of rate tasks, at most maxGang; the other tasks are in
// jobs of at most jobTasks.
func (l *load) start(rate int, seed uint64) func() {
	done := make(chan struct{})
	rnd := rand.New(rand.NewPCG(seed, 1))
	span := func() clock.Millis { return shortTask*2/3 + clock.Millis(rnd.Int64N(int64(shortTask)*2/3)) }
	gang := min(maxGang, rate)
	plain := float64(rate) - float64(gang)/gangInterval.Seconds()
	tasks := max(1, min(jobTasks, rate/2))
	gap := time.Duration(float64(tasks) / plain * float64(time.Second))
	l.cluster.goroutines.Go(func(stop <-chan struct{}) {
		small := time.NewTicker(gap)
		defer small.Stop()
		big := time.NewTicker(gangInterval)
		defer big.Stop()
		for {
			select {
			case <-stop:
				return
			case <-done:
				return
			case <-small.C:
				l.submit(l.job(tasks, span(), false, 0))
			case <-big.C:
				l.submit(l.job(gang, span(), true, 0))
			}
		}
	})
	return func() { close(done) }
}

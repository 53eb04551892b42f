// The load hands jobs in at the gates at a steady rate of tasks.
package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"orchidward/internal/clock"
	"orchidward/internal/daemon/lifecycle"
)

const (
	queue     = "q0"
	jobTasks  = 10
	gangMost  = 64
	gangEvery = 4 * time.Second
	posters   = 8
	// shortSpan is the mean of the short tasks' spans.
	shortSpan clock.Millis = 3000
)

type load struct {
	fleet *fleet
	jobs  *lifecycle.Queue[string]
	next  atomic.Uint64
	taken atomic.Int64
	// odd counts jobs that were not taken, by status; 0 is no answer.
	mu  sync.Mutex
	odd map[int]int
}

func newLoad(f *fleet) *load {
	l := &load{fleet: f, jobs: lifecycle.NewQueue[string](2048), odd: map[int]int{}}
	for i := range posters {
		f.crew.Go(func(stop <-chan struct{}) { l.post(f.fronts[i%len(f.fronts)], stop) })
	}
	return l
}

func (l *load) post(front string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case body := <-l.jobs.Out():
			id := fmt.Sprintf("%016x", l.next.Add(1))
			if status, err := l.fleet.put(front, id, body); err == nil && status < 300 {
				l.taken.Add(1)
			} else {
				l.mu.Lock()
				l.odd[status]++
				l.mu.Unlock()
			}
		}
	}
}

// job is so many like tasks, whole as a gang if asked.
func (l *load) job(tasks int, span clock.Millis, gang bool, gpus int) string {
	return fmt.Sprintf(`{"queue":%q,"text":%q,"steps":[{"name":"s0","tasks":%d,"gang":%v,"milliCores":1000,"memMb":1000,"gpus":%d,"spanMs":%d}]}`,
		queue, note(span, l.fleet.clock.Now()), tasks, gang, gpus, span)
}

// offer hands a job to whoever posts next; one that finds the line full is
// counted as not taken.
func (l *load) offer(body string) {
	if !l.jobs.TryPush(body) {
		l.mu.Lock()
		l.odd[-1]++
		l.mu.Unlock()
	}
}

// start offers rate tasks a second until the returned function is called: one
// gang every gangEvery, of the rate's size and at most gangMost, the rest in
// jobs of at most jobTasks.
func (l *load) start(rate int, seed uint64) func() {
	over := make(chan struct{})
	rnd := rand.New(rand.NewPCG(seed, 1))
	span := func() clock.Millis { return shortSpan*2/3 + clock.Millis(rnd.Int64N(int64(shortSpan)*2/3)) }
	gang := min(gangMost, rate)
	plain := float64(rate) - float64(gang)/gangEvery.Seconds()
	tasks := max(1, min(jobTasks, rate/2))
	gap := time.Duration(float64(tasks) / plain * float64(time.Second))
	l.fleet.crew.Go(func(stop <-chan struct{}) {
		small, big := time.NewTicker(gap), time.NewTicker(gangEvery)
		defer small.Stop()
		defer big.Stop()
		for {
			select {
			case <-stop:
				return
			case <-over:
				return
			case <-small.C:
				l.offer(l.job(tasks, span(), false, 0))
			case <-big.C:
				l.offer(l.job(gang, span(), true, 0))
			}
		}
	})
	return func() { close(over) }
}

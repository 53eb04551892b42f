package main

import (
	"fmt"
	"net/http"
	"time"
)

// settleTime lets all runners register before a job is handed in.
const settleTime = 3 * time.Second

// calmAfter is how long after the last trouble the machines are in touch again: contactMs, with
// one second on top.
const calmAfter = 4 * time.Second

const (
	// waitStep is how often a scenario looks for what it waits for.
	waitStep = 10 * time.Millisecond
	startMax = 10 * time.Second
)

// waitFor waits until a condition holds.
func waitFor(what string, limit time.Duration, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(waitStep) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", limit, what)
}

// startGang hands in a job of one gang of two tasks, and returns the runners on which it runs.
func (d *drill) startGang(id string, job expectedJob) (members []*runner, err error) {
	if err = d.submit(id, job); err != nil {
		return nil, err
	}
	err = waitFor("the gang runs on two runners", startMax, func() bool {
		members = d.fleet.runnersOf(id)
		return len(members) == 2
	})
	return members, err
}

// halfEndedGang: the agents on the two machines on which a gang runs are killed, and come back five
// seconds later. The gang ends done meanwhile, under its hold. One of the two runners crashes
// before its end can be taken note of. Whatever becomes of the gang, no member may be started that
// waits for members that never come.
func halfEndedGang(d *drill) ([]string, error) {
	const (
		id         = "00000000000000a1"
		work       = 24 * time.Second
		estimate   = 24000
		killAt     = work - 1500*time.Millisecond
		down       = 5 * time.Second
		crashAfter = 4 * time.Second
		crashFor   = 1500 * time.Millisecond
		watch      = 18 * time.Second
	)
	if err := d.startCluster(); err != nil {
		return nil, err
	}
	if err := d.configure(4); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	gang := stage{Count: 2, CPU: 9000, Mem: 1000, Estimate: estimate, Coscheduled: true}
	members, err := d.startGang(id, expectedJob{stage: gang, work: work})
	if err != nil {
		return nil, err
	}
	time.Sleep(killAt)
	if d.trouble {
		for _, r := range members {
			r.agent.kill()
		}
		time.Sleep(crashAfter)
		members[1].crash(crashFor)
		time.Sleep(down - crashAfter)
		for _, r := range members {
			if err := r.agent.start(); err != nil {
				return nil, err
			}
		}
		time.Sleep(crashFor)
	}
	calm := time.Now().Add(calmAfter)
	d.logf("calm from %.3f", d.fleet.seconds(calm))
	_ = waitFor("the job is settled", watch, func() bool {
		time.Sleep(time.Second)
		return d.mode(id) == "settled"
	})
	d.logf("at the end the job is shown as %q", d.mode(id))
	return d.fleet.endedAlone(calm), nil
}

// manyEnds: an agent is killed and comes back 2.5 s later. Meanwhile over 500 tasks end done on its
// runner, under their hold, and the operator evacuates the zone. A runner lists 500 ends at once;
// the others it lists once these were taken note of. No task may run again.
func manyEnds(d *drill) ([]string, error) {
	const (
		id      = "00000000000000b2"
		tasks   = 1900
		work    = 4500 * time.Millisecond
		killAt  = 4 * time.Second
		evacAt  = 2 * time.Second
		restart = 500 * time.Millisecond
		watch   = 25 * time.Second
	)
	if err := d.startCluster(); err != nil {
		return nil, err
	}
	if err := d.configure(4); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	step := stage{Count: tasks, CPU: 10, Mem: 10, Estimate: 4500}
	if err := d.submit(id, expectedJob{stage: step, work: work}); err != nil {
		return nil, err
	}
	begun := time.Now()
	if err := waitFor("all tasks have started", killAt, func() bool { return d.fleet.startCount() >= tasks }); err != nil {
		return nil, err
	}
	time.Sleep(time.Until(begun.Add(killAt)))
	busiest := d.fleet.busiest()
	if d.trouble {
		busiest.agent.kill()
	}
	time.Sleep(evacAt)
	if err := d.order(http.MethodPost, "/orchidward/evacuation/"+busiest.zone, nil, nil); err != nil {
		return nil, err
	}
	time.Sleep(restart)
	if d.trouble {
		if err := busiest.agent.start(); err != nil {
			return nil, err
		}
	}
	_ = waitFor("the job is settled", watch, func() bool {
		time.Sleep(time.Second)
		return d.mode(id) == "settled"
	})
	return d.fleet.startedTwice(), nil
}

// lateFailures: the agents on the two machines on which a gang runs are killed, and come back five
// seconds later. Meanwhile the gang's first run fails through its own fault, on both machines at
// once. The queue allows two failed runs, so that the job must not be shown as failed.
func lateFailures(d *drill) ([]string, error) {
	const (
		id     = "00000000000000c3"
		tries  = 2
		work   = 2 * time.Second
		killAt = 700 * time.Millisecond
		down   = 5 * time.Second
		watch  = 15 * time.Second
	)
	if err := d.startCluster(); err != nil {
		return nil, err
	}
	if err := d.configure(tries); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	gang := stage{Count: 2, CPU: 9000, Mem: 1000, Estimate: 2000, Coscheduled: true}
	members, err := d.startGang(id, expectedJob{stage: gang, work: work, faultyRuns: 1})
	if err != nil {
		return nil, err
	}
	time.Sleep(killAt)
	if d.trouble {
		for _, r := range members {
			r.agent.kill()
		}
		time.Sleep(down)
		for _, r := range members {
			if err := r.agent.start(); err != nil {
				return nil, err
			}
		}
	}
	mode := ""
	_ = waitFor("the job is settled or failed", watch, func() bool {
		time.Sleep(time.Second)
		mode = d.mode(id)
		return mode == "settled" || mode == "failed"
	})
	if failed := d.fleet.failedRuns(); mode == "failed" && failed < tries {
		return []string{fmt.Sprintf("LOST: job %s is shown as failed after %d failed run of %d", id, failed, tries)}, nil
	}
	return nil, nil
}

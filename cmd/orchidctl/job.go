// Commands on jobs.
package main

import (
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"
	"time"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
)

type jobCmd struct {
	Put    jobPut    `cmd:"" help:"Hand in a job from a JSON file, or - for standard input."`
	Get    jobGet    `cmd:"" help:"Show a job, step by step and task by task."`
	Wait   jobWait   `cmd:"" help:"Wait until a job has ended and show it; exits 1 unless it ended well."`
	Cancel jobCancel `cmd:"" help:"Cancel a job."`
	List   jobList   `cmd:"" help:"List jobs."`
}

func jobPath(name string) (path string, err error) {
	agent, id, ok := strings.Cut(name, "/")
	if !ok || agent == "" || id == "" || strings.Contains(id, "/") {
		return "", usage{"a job is named AGENT/ID, have " + name}
	}
	key := identifier.NewJobKey(identifier.Client(url.PathEscape(agent)), identifier.JobID(url.PathEscape(id)))
	return endpoint.JobPath(key), nil
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, usage{err.Error()}
	}
	return text, nil
}

type jobPut struct {
	Job  string `arg:"" help:"AGENT/ID"`
	File string `arg:"" help:"JSON file or -"`
}

func (c *jobPut) Run(d *desk) error {
	path, err := jobPath(c.Job)
	if err != nil {
		return err
	}
	text, err := readFile(c.File)
	if err != nil {
		return err
	}
	if text, err = d.ask("PUT", path, text); err != nil {
		return err
	}
	return d.show(text, func(doc map[string]any) { fmt.Printf("accepted %v at %v\n", doc["job"], doc["accepted"]) })
}

type jobGet struct {
	Job string `arg:"" help:"AGENT/ID"`
}

func (c *jobGet) Run(d *desk) error {
	path, err := jobPath(c.Job)
	if err != nil {
		return err
	}
	text, err := d.ask("GET", path, nil)
	if err != nil {
		return err
	}
	return d.show(text, printJob)
}

type jobWait struct {
	Job    string `arg:"" help:"AGENT/ID"`
	MostMs int64  `help:"Give up after so long." default:"600000"`
}

func (c *jobWait) Run(d *desk) error {
	path, err := jobPath(c.Job)
	if err != nil {
		return err
	}
	end := time.Now().Add(time.Duration(c.MostMs) * time.Millisecond)
	for pace := time.NewTicker(250 * time.Millisecond); ; <-pace.C {
		text, err := d.ask("GET", path, nil)
		if err != nil {
			return err
		}
		state := ""
		if err = (&desk{}).show(text, func(doc map[string]any) { state = fmt.Sprint(doc["state"]) }); err != nil {
			return err
		}
		over := state == "well" || state == "failed" || state == "cancelled"
		if !over && time.Now().Before(end) {
			continue
		}
		if err = d.show(text, printJob); err != nil {
			return err
		}
		if state != "well" {
			return fmt.Errorf("job %s is %s", c.Job, state)
		}
		return nil
	}
}

func printJob(doc map[string]any) {
	fmt.Printf("%v  %v  row %v  urgency %v  accepted %v", doc["job"], doc["state"], doc["pending"], doc["urgency"], doc["accepted"])
	for _, k := range []string{"notBefore", "ended", "why"} {
		if doc[k] != nil {
			fmt.Printf("  %s %v", k, doc[k])
		}
	}
	fmt.Println()
	steps, _ := doc["steps"].([]any)
	for _, s := range steps {
		step, _ := s.(map[string]any)
		fmt.Printf("  step %v", step["name"])
		if step["why"] != nil {
			fmt.Printf("  (%v)", step["why"])
		}
		fmt.Println()
		tasks, _ := step["tasks"].([]any)
		for i, t := range tasks {
			task, _ := t.(map[string]any)
			fmt.Printf("    %d  %v", i, task["state"])
			for _, k := range []string{"runner", "defects", "why"} {
				if v := task[k]; v != nil && v != float64(0) {
					fmt.Printf("  %s %v", k, v)
				}
			}
			fmt.Println()
		}
	}
}

type jobCancel struct {
	Job string `arg:"" help:"AGENT/ID"`
}

func (c *jobCancel) Run(d *desk) error {
	path, err := jobPath(c.Job)
	if err != nil {
		return err
	}
	text, err := d.ask("DELETE", path, nil)
	if err != nil {
		return err
	}
	return d.show(text, func(doc map[string]any) { fmt.Printf("%v  %v\n", doc["job"], doc["state"]) })
}

type jobList struct {
	Agent   string `help:"Only this agent's."`
	Pending string `help:"Only this row's."`
	State   string `help:"Only in this state."`
	After   string `help:"Go on after this job."`
	Limit   int    `help:"At most so many." default:"100"`
}

func (c *jobList) Run(d *desk) error {
	q := url.Values{"limit": {fmt.Sprint(c.Limit)}}
	for k, v := range map[string]string{"agent": c.Agent, "pending": c.Pending, "state": c.State, "after": c.After} {
		if v != "" {
			q.Set(k, v)
		}
	}
	text, err := d.ask("GET", endpoint.JobsPath+"?"+q.Encode(), nil)
	if err != nil {
		return err
	}
	return d.show(text, func(doc map[string]any) {
		list, _ := doc["jobs"].([]any)
		for _, j := range list {
			one, _ := j.(map[string]any)
			fmt.Printf("%-10v %-12v %v\n", one["state"], one["pending"], one["job"])
		}
		if doc["next"] != nil {
			fmt.Printf("more after %v\n", doc["next"])
		}
	})
}

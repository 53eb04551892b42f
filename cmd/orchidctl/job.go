package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
	"orchidward/internal/controlplane"
	"orchidward/internal/state"
)

// waitInterval is the time between two reads of a job's state.
const waitInterval = 250 * time.Millisecond

type jobCommand struct {
	Put     jobSubmit  `cmd:"" help:"Submit a job from a JSON file, or - for standard input."`
	Get     jobGet     `cmd:"" help:"Show a job, step by step and task by task."`
	Explain jobExplain `cmd:"" help:"Show where a job's time went: waiting, running, and attempts that came to nothing."`
	Wait    jobWait    `cmd:"" help:"Wait until a job has ended and show it; exits 1 unless it ended well."`
	Cancel  jobCancel  `cmd:"" help:"Cancel a job."`
	List    jobList    `cmd:"" help:"List jobs."`
}

// jobPath returns the API path of a job named AGENT/ID.
func jobPath(name string) (string, error) {
	client, id, ok := strings.Cut(name, "/")
	if !ok || client == "" || id == "" || strings.Contains(id, "/") {
		return "", usageError{"a job is named AGENT/ID, have " + name}
	}
	key := identifier.NewJobKey(identifier.Client(url.PathEscape(client)), identifier.JobID(url.PathEscape(id)))
	return endpoint.JobPath(key), nil
}

// readFile reads a file named on the command line, or standard input for "-".
func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, usageError{err.Error()}
	}
	return text, nil
}

type jobSubmit struct {
	Job  string `arg:"" help:"AGENT/ID"`
	File string `arg:"" help:"JSON file or -"`
}

// Run submits a job.
func (c *jobSubmit) Run(a *api) error {
	path, err := jobPath(c.Job)
	if err != nil {
		return err
	}
	text, err := readFile(c.File)
	if err != nil {
		return err
	}
	return callAndShow(a, http.MethodPut, path, text, func(ack state.SubmitAck) {
		fmt.Printf("accepted %v at %v\n", ack.Job, ack.Accepted)
	})
}

type jobGet struct {
	Job string `arg:"" help:"AGENT/ID"`
}

// Run shows a job.
func (c *jobGet) Run(a *api) error {
	path, err := jobPath(c.Job)
	if err != nil {
		return err
	}
	return callAndShow(a, http.MethodGet, path, nil, printJob)
}

type jobWait struct {
	Job    string `arg:"" help:"AGENT/ID"`
	MostMs int64  `help:"Give up after so long." default:"600000"`
}

// Run waits until a job has ended or the timeout has passed, and shows the job.
func (c *jobWait) Run(a *api) error {
	path, err := jobPath(c.Job)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(time.Duration(c.MostMs) * time.Millisecond)
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for ; ; <-ticker.C {
		text, err := a.call(http.MethodGet, path, nil)
		if err != nil {
			return err
		}
		var job controlplane.JobStateDoc
		if err = json.Unmarshal(text, &job); err != nil {
			return errors.Wrap(err, "answer does not parse")
		}
		current := state.TaskState(job.State)
		if !current.Ended() && time.Now().Before(deadline) {
			continue
		}
		if err = show(a, text, printJob); err != nil {
			return err
		}
		if current != state.Succeeded {
			return fmt.Errorf("job %s is %s", c.Job, current)
		}
		return nil
	}
}

func printJob(j controlplane.JobDoc) {
	fmt.Printf("%v  %v  row %v  urgency %v  accepted %v", j.Job, j.State, j.Row, j.Urgency, j.Accepted)
	printField("notBefore", j.NotBefore)
	printField("ended", j.Ended)
	printField("why", j.Reason)
	fmt.Println()
	for _, step := range j.Steps {
		fmt.Printf("  step %v", step.Name)
		if step.Reason != "" {
			fmt.Printf("  (%v)", step.Reason)
		}
		fmt.Println()
		for i, task := range step.Tasks {
			printTask(i, task)
		}
	}
}

func printTask(number int, task controlplane.TaskDoc) {
	fmt.Printf("    %d  %v", number, task.State)
	printField("runner", string(task.Runner))
	if task.Defects != 0 {
		fmt.Printf("  defects %v", task.Defects)
	}
	printField("why", task.Reason)
	fmt.Println()
}

// printField prints a field unless it is empty.
func printField(name, value string) {
	if value != "" {
		fmt.Printf("  %s %s", name, value)
	}
}

type jobCancel struct {
	Job string `arg:"" help:"AGENT/ID"`
}

// Run cancels a job.
func (c *jobCancel) Run(a *api) error {
	path, err := jobPath(c.Job)
	if err != nil {
		return err
	}
	return callAndShow(a, http.MethodDelete, path, nil, func(doc controlplane.CancelledJobDoc) {
		fmt.Printf("%v  %v\n", doc.Job, doc.State)
	})
}

type jobList struct {
	Agent   string `help:"Only this agent's."`
	Pending string `help:"Only this row's."`
	State   string `help:"Only in this state."`
	After   string `help:"Go on after this job."`
	Limit   int    `help:"At most so many." default:"100"`
}

// Run lists jobs.
func (c *jobList) Run(a *api) error {
	query := url.Values{"limit": {fmt.Sprint(c.Limit)}}
	for name, value := range map[string]string{"agent": c.Agent, "pending": c.Pending, "state": c.State, "after": c.After} {
		if value != "" {
			query.Set(name, value)
		}
	}
	return callAndShow(a, http.MethodGet, endpoint.JobsPath+"?"+query.Encode(), nil, func(page controlplane.JobListDoc) {
		for _, job := range page.Jobs {
			fmt.Printf("%-10v %-12v %v\n", job.State, job.Row, job.Job)
		}
		if page.Next != "" {
			fmt.Printf("more after %v\n", page.Next)
		}
	})
}

package identifier

import "fmt"

// TaskRef identifies a task by its job, the index of its step in the job and its index within
// the step, both counted from 0.
type TaskRef struct {
	Job  JobKey `json:"job"`
	Step int    `json:"step"`
	Num  int    `json:"num"`
}

func (r TaskRef) String() string { return fmt.Sprintf("%s/%d/%d", r.Job, r.Step, r.Num) }

// A side is a stand-in runner that beats over HTTP, to a whole agent in a
// process of its own.
package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"orchidward/agent"
	"orchidward/ids"
	"orchidward/platform"
	"orchidward/poll"
)

type side struct {
	crowd *crowd
	run   *standIn
	url   string
	web   *http.Client
}

func newSide(w *crowd, run *standIn, control string) (s *side) {
	return &side{crowd: w, run: run, url: "http://" + control + "/orchidward/instances/" + string(run.inc), web: &http.Client{Timeout: time.Second}}
}

type beatOut struct {
	Target   string   `json:"target"`
	Zone     string   `json:"zone"`
	Mode     string   `json:"mode"`
	Headroom room     `json:"headroom"`
	Labels   []string `json:"labels"`
	Seq      uint64   `json:"callSeq"`
	Active   [][]any  `json:"active"`
	Finished [][]any  `json:"finished"`
}

type room struct {
	CPU int64 `json:"cpu"`
	Mem int64 `json:"memMb"`
	GPU int64 `json:"gpu"`
}

type ordersIn struct {
	Hold     ids.Span            `json:"holdMs"`
	Observed uint64              `json:"observed"`
	Start    [][]json.RawMessage `json:"start"`
	Stop     [][]json.RawMessage `json:"stop"`
	Retry    ids.Span            `json:"retryMs"`
}

// told are the platform's words for how runs ended.
var told = map[string]string{poll.Well: "done", poll.Stopped: "stopped", poll.Lapsed: "lapsed", poll.Refused: "refused"}

func write(b agent.Beat) (text []byte) {
	out := beatOut{Target: b.Pool, Zone: string(b.Domain), Mode: "active", Headroom: room{b.Cap.Milli, b.Cap.Mem, b.Cap.GPUs}, Labels: []string{"std", string(b.Rack)}, Seq: b.Seq}
	for _, a := range b.Active {
		out.Active = append(out.Active, []any{platform.TaskName(a.Task), a.Run, "", a.Percent})
	}
	for _, e := range b.Finished {
		out.Finished = append(out.Finished, []any{e.N, platform.TaskName(e.Task), e.Run, told[e.How]})
	}
	text, err := json.Marshal(out)
	if err != nil {
		panic(err)
	}
	return text
}

// read turns the answer back into orders; ok is false if it is none.
func read(text []byte) (o agent.Orders, ok bool) {
	in := ordersIn{}
	if json.Unmarshal(text, &in) != nil {
		return o, false
	}
	o = agent.Orders{Hold: in.Hold, Observed: in.Observed, Retry: in.Retry}
	for _, r := range in.Start {
		s := poll.Start{}
		if s.Task, s.No, ok = task(r); !ok || len(r) < 3 || json.Unmarshal(r[2], &s.Text) != nil {
			return o, false
		}
		o.Start = append(o.Start, s)
	}
	for _, r := range in.Stop {
		s := poll.RunStop{}
		if s.Task, s.Run, ok = task(r); !ok {
			return o, false
		}
		o.Stop = append(o.Stop, s)
	}
	return o, true
}

func task(r []json.RawMessage) (ref ids.Ref, no uint64, ok bool) {
	name := ""
	if len(r) < 2 || json.Unmarshal(r[0], &name) != nil || json.Unmarshal(r[1], &no) != nil {
		return ref, 0, false
	}
	ref, err := platform.ParseTask(name)
	return ref, no, err == nil
}

func (s *side) live(stop <-chan struct{}) {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		now, was := s.crowd.clock.Now(), len(s.run.runs)
		if s.run.due(now) {
			s.beat(now)
		}
		s.crowd.lapsed.Add(s.run.lapses)
		s.run.lapses = 0
		s.crowd.running.Add(int64(len(s.run.runs) - was))
	}
}

func (s *side) beat(now ids.Mono) {
	s.run.next = now + beatGap
	r, err := http.NewRequest(http.MethodPut, s.url, bytes.NewReader(write(s.run.beat(now))))
	if err != nil {
		return
	}
	res, err := s.web.Do(r)
	if err != nil {
		return
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if o, ok := read(text); err == nil && res.StatusCode == 200 && ok {
		s.run.obey(o, now, s.crowd.clock.Now())
	}
}

// The hall is where requests made at this keeper wait. Each is given to the
// machine as from a peer of its own; one that met no leader is given again a
// little later, until its budget is up.
package coredesk

import (
	"sort"
	"strconv"

	"orchidward/doc"
	"orchidward/gate"
	"orchidward/ids"
	"orchidward/wire"
)

const (
	usual     ids.Span = 2000
	againGap  ids.Span = 100
	mostOpen           = 4096
	mostBytes          = 64 << 20
)

// visit is one request in the hall. While given is set the machine has it;
// else it is due at again.
type visit struct {
	req   gate.Request
	back  chan<- gate.Answer
	until ids.Mono
	given bool
	again ids.Mono
}

// handed is a request on its way to the machine.
type handed struct {
	peer wire.Peer
	ask  *wire.Ask
}

type hall struct {
	open  map[uint64]*visit
	bytes int
	out   []handed
}

func newHall() (h *hall) { return &hall{open: map[uint64]*visit{}} }

func local(p wire.Peer) (yes bool) { return p != "" && p[0] == '@' }

func peer(id uint64) (p wire.Peer) { return wire.Peer("@" + strconv.FormatUint(id, 10)) }

// take hands over what is to be given to the machine.
func (h *hall) take() (list []handed) {
	list, h.out = h.out, nil
	return list
}

func (h *hall) enter(r gate.Request, back chan<- gate.Answer, now ids.Mono) {
	if len(h.open) >= mostOpen || h.bytes+len(r.Body) > mostBytes {
		back <- full()
		return
	}
	if r.Budget <= 0 {
		r.Budget = usual
	}
	h.open[r.ID] = &visit{req: r, back: back, until: now.Add(r.Budget)}
	h.bytes += len(r.Body)
	h.give(h.open[r.ID], now)
}

func (h *hall) give(v *visit, now ids.Mono) {
	r := v.req
	v.given = true
	h.out = append(h.out, handed{peer(r.ID), &wire.Ask{ID: r.ID, Verb: r.Verb, Path: r.Path, Query: r.Query, Body: r.Body, Budget: v.until.Since(now)}})
}

func (h *hall) reply(to wire.Peer, r *wire.Reply, now ids.Mono) {
	v := h.open[r.ID]
	if v == nil || to != peer(r.ID) || !v.given {
		return
	}
	if r.Moved {
		v.given, v.again = false, now.Add(againGap)
		return
	}
	h.settle(v, gate.Answer{ID: r.ID, Status: r.Status, Body: r.Body, Retry: r.Retry})
}

// tick settles what is out of time, and gives again what is due.
func (h *hall) tick(now ids.Mono) {
	for _, id := range h.order() {
		v := h.open[id]
		switch {
		case now >= v.until && v.given:
			h.settle(v, refusal(504, "no-answer", "the leader did not answer in time; the outcome is not known", 500))
		case now >= v.until:
			h.settle(v, refusal(503, "no-leader", "no leader is known here", 1000))
		case !v.given && now >= v.again:
			h.give(v, now)
		}
	}
}

func (h *hall) order() (list []uint64) {
	for id := range h.open {
		list = append(list, id)
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}

func (h *hall) settle(v *visit, a gate.Answer) {
	a.ID = v.req.ID
	h.leave(a.ID)
	v.back <- a
}

// leave forgets a request whose caller has gone.
func (h *hall) leave(id uint64) {
	if v := h.open[id]; v != nil {
		delete(h.open, id)
		h.bytes -= len(v.req.Body)
	}
}

func refusal(status int, code, why string, retry ids.Span) (a gate.Answer) {
	return gate.Answer{Status: status, Retry: retry, Body: doc.Trouble{Code: code, Why: why, Retry: retry}.JSON()}
}

func full() (a gate.Answer) { return refusal(503, "busy", "this keeper is full", 1000) }

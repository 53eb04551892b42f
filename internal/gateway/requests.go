// Requests: taken in, checked by the rules at hand, passed on to the leader, and
// answered once.

package gateway

import (
	"encoding/json"
	"strings"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/jsondoc"
	"orchidward/internal/api/limits"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/controlplane"
	"orchidward/internal/transport/wire"
)

// HandleRequest takes one in. It is answered at once when it can't be passed on.
func (m *Gateway) HandleRequest(r Request, now clock.Monotonic) {
	m.observe(now)
	m.Counts.Forwarded++
	r.Budget = r.patience()
	c := &call{Request: r, until: m.now.Add(r.Budget), again: r.Repeatable()}
	m.calls[r.ID] = c
	m.bytes += len(r.Body)
	switch {
	case !m.Ready(m.now):
		m.refuse(r.ID, 503, "out-of-touch", "this gate has lost touch with the core", 1000)
	case r.Method != "GET" && m.paused.Draining(m.now):
		m.refuse(r.ID, 503, "woken", "this gate stood still and can't tell how old the request is", 500)
	case len(m.calls) > most || m.bytes > mostBytes:
		m.refuse(r.ID, 503, "busy", "too many requests under way", 1000)
	case m.check(c):
		m.pass(c)
	}
}

// Forget forgets a request whose caller has hung up.
func (m *Gateway) Forget(id uint64) {
	if c := m.calls[id]; c != nil {
		delete(m.byAsk, c.ask)
		delete(m.calls, id)
		m.bytes -= len(c.Body)
	}
}

// check runs what can be judged here: shape and the row's rules.
func (m *Gateway) check(c *call) bool {
	var f jsondoc.FieldErrors
	parts := strings.Split(strings.Trim(c.Path, "/"), "/")
	switch {
	case c.Method == "PUT" && len(parts) == 4 && parts[1] == "jobs":
		for _, p := range parts[2:] {
			if !identifier.ValidName(p) {
				f.Invalid("path", "agent and job id want 1 to 64 letters, digits, '.', '-' or '_'")
			}
		}
		if s := job.Read(c.Body, &f); s != nil && !f.Any() && s.Queue == "" {
			m.rules.Check(s, -1, &f)
		}
	case c.Method == "POST" && len(parts) == 4 && parts[3] == "poll":
		if !identifier.ValidName(parts[2]) {
			f.Invalid("path", "runner's name wants 1 to 64 letters, digits, '.', '-' or '_'")
		}
		runnerapi.Read(c.Body, &f)
	case c.Method == "PUT" && len(parts) == 2 && parts[1] == "table":
		limits.ReadWhole(c.Body, &f)
	case c.Method == "PATCH" && len(parts) == 2 && parts[1] == "table":
		limits.ReadPatch(c.Body, &f)
	}
	if f.Any() {
		m.settle(Response{ID: c.ID, Status: f.Status(), Body: f.ErrorBody()})
		return false
	}
	return true
}

func (m *Gateway) pass(c *call) {
	to := m.via
	if to == "" {
		to = m.choose()
	}
	if c.ask != 0 && to == c.to && m.now.Since(c.sent) > tryWait {
		m.bad[to] = m.now
		m.via = ""
		to = m.choose()
	}
	c.lost = c.lost || c.ask != 0
	delete(m.byAsk, c.ask)
	m.nextID++
	c.ask, c.to, c.sent, c.later = m.nextID, to, m.now, 0
	m.byAsk[c.ask] = c.ID
	epoch := m.Epoch()
	c.epoch = epoch
	if c.stale >= staleMost {
		epoch = 0
	}
	m.send(to, wire.Message{Request: &wire.Request{ID: c.ask, Method: c.Method, Path: c.Path, Query: c.Query, Body: c.Body, Epoch: epoch, Budget: c.until.Since(m.now),
		HasLeaderTime: true, LeaderTime: m.leaderClock}})
}

// reply takes the answer to a try: only the one that was asked may give it.
func (m *Gateway) reply(from wire.Peer, r *wire.Response) {
	id, ok := m.byAsk[r.ID]
	if !ok || m.calls[id].to != from {
		return
	}
	c := m.calls[id]
	switch {
	case r.Expired && m.now < c.until && c.expired < expiredMost:
		c.expired++
		delete(m.byAsk, c.ask)
		c.ask = 0
		m.pass(c)
	case r.Stale:
		m.stale(c, r)
	case r.NotLeader:
		m.Counts.Redirected++
		delete(m.byAsk, c.ask)
		c.ask, c.later = 0, m.now.Add(againGap)
		if m.via == c.to {
			m.bad[c.to] = m.now
			m.via = ""
		}
	case r.Status == 504 && c.again && m.now < c.until:
		delete(m.byAsk, c.ask)
		c.lost = true
		c.ask, c.later = 0, m.now.Add(againGap)
	case c.lost && c.Method != "GET" && (r.Status == 503 || r.Status == 429):
		m.refuse(id, 504, "no-answer", "an earlier try may have been taken; the outcome is not known", 500)
	default:
		m.settle(Response{ID: id, Status: r.Status, Body: r.Body, RetryAfter: r.RetryAfter})
	}
}

// stale takes the answer that a request was checked by an older table: with it
// comes what changed, or the gateway asks for that once for all its requests.
func (m *Gateway) stale(c *call, r *wire.Response) {
	m.Counts.Stale++
	c.stale++
	delete(m.byAsk, c.ask)
	c.ask = 0
	before := m.Epoch()
	var s controlplane.StaleResponse
	if err := json.Unmarshal(r.Body, &s); err == nil && s.Page != nil {
		m.adopted(m.routes.Patch(*s.Page))
	} else if err == nil && s.Epoch > 0 {
		m.adopt(&s.RoutingTable)
	}
	if m.Epoch() == before && before <= c.epoch && len(r.Body) == 0 {
		m.compare(before + 1)
		c.later = m.now.Add(staleGap)
		m.syncNow()
		return
	}
	if m.check(c) {
		m.pass(c)
	}
}

// giveUp answers a request at once: with 503 if it is certain that no keeper
// took it, and otherwise with 504.
func (m *Gateway) giveUp(id uint64, code, why string) {
	if c := m.calls[id]; c.Method != "GET" && (c.lost || c.ask != 0) {
		m.refuse(id, 504, code, why+"; the outcome is not known", 1000)
		return
	}
	m.refuse(id, 503, code, why, 1000)
}

func (m *Gateway) refuse(id uint64, status int, code, why string, retry clock.Millis) {
	m.Counts.Refused++
	m.settle(Response{ID: id, Status: status, Body: jsondoc.ErrorBody{Code: code, Message: why, RetryAfter: retry}.JSON(), RetryAfter: retry})
}

func (m *Gateway) settle(a Response) {
	m.Counts.Answered++
	m.Forget(a.ID)
	m.out.Responses = append(m.out.Responses, a)
}

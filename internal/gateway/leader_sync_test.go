package gateway

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"testing"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/controlplane"
	"orchidward/internal/routing"
	"orchidward/internal/transport/wire"
)

// leading stands in for a leader: it answers a gateway's syncs from a history.
type leading struct {
	t       *testing.T
	m       *Gateway
	table   routing.Table
	history *routing.History
	now     clock.Monotonic
	syncs   int
	largest int
}

func newLeading(t *testing.T, places int) *leading {
	l := &leading{t: t, m: touched(t), now: 1000}
	l.table = routing.Table{Epoch: 2, Version: 2, Rows: l.m.routing.replica.Rows()}
	for i := 0; i < places; i++ {
		l.table.Routes = append(l.table.Routes, catalog.Route{Queue: fmt.Sprintf("q%05d", i), Host: "h", Prefix: fmt.Sprintf("/%d/", i)})
	}
	l.history = routing.NewHistory(l.table)
	return l
}

// change gives one queue another place.
func (l *leading) change(name, prefix string) {
	l.table.Epoch++
	l.table.Version++
	l.table.Routes = append([]catalog.Route(nil), l.table.Routes...)
	for i, p := range l.table.Routes {
		if p.Queue == name {
			l.table.Routes[i].Prefix = prefix
		}
	}
	l.history.RoutesChanged(l.table)
}

// serve answers the syncs in an output and returns the rest.
func (l *leading) serve(o Output) []wire.Envelope {
	var rest []wire.Envelope
	for _, s := range o.Messages {
		if s.Message.Request == nil || s.Message.Request.Method != "SYNC" {
			rest = append(rest, s)
			continue
		}
		l.syncs++
		q, err := url.ParseQuery(s.Message.Request.Query)
		if err != nil {
			l.t.Fatal(err)
		}
		since, err := strconv.ParseUint(q.Get(controlplane.SyncSinceParam), 10, 64)
		if err != nil {
			l.t.Fatalf("synced with %s", s.Message.Request.Query)
		}
		doc := controlplane.SyncResponse{Epoch: l.table.Epoch, Leader: identifier.Node(7).String(), Members: l.m.servers.members}
		if identifier.Epoch(since) != l.table.Epoch || q.Get(controlplane.SyncAfterParam) != "" {
			page := l.history.Page(identifier.Epoch(since), q.Get(controlplane.SyncAfterParam))
			doc.Page = &page
		}
		text, err := json.Marshal(doc)
		if err != nil {
			l.t.Fatal(err)
		}
		l.largest = max(l.largest, len(text))
		l.m.HandleMessage("k", wire.Message{Response: &wire.Response{ID: s.Message.Request.ID, Status: 200, Body: text}}, l.now)
	}
	return rest
}

func (l *leading) tick(ms clock.Monotonic) Output {
	var o Output
	for end := l.now + ms; l.now < end; l.now += 50 {
		l.m.Tick(l.now)
		o = l.m.TakeOutput()
		l.serve(o)
	}
	return o
}

// TestPagedSync: a table of 10,000 queues comes in pages, each small, one after
// another; a change of one queue comes as that alone.
func TestPagedSync(t *testing.T) {
	l := newLeading(t, 10000)
	l.tick(3000)
	if l.m.Epoch() != 2 || l.m.CatalogVersion() != 2 || l.largest > 80<<10 || l.syncs < 10 {
		t.Fatalf("epoch %d, version %d after %d syncs, the largest of %d bytes", l.m.Epoch(), l.m.CatalogVersion(), l.syncs, l.largest)
	}
	if name, _, ok := l.m.Queue("h", "/9999/x"); !ok || name != "q09999" {
		t.Errorf("the last queue is found as %q", name)
	}
	l.largest = 0
	l.change("q00007", "/moved/")
	l.tick(400)
	if name, _, _ := l.m.Queue("h", "/moved/x"); name != "q00007" || l.largest > 1000 {
		t.Errorf("after a change %q is found, the largest answer %d bytes", name, l.largest)
	}
	if _, _, ok := l.m.Queue("h", "/7/x"); ok {
		t.Error("the queue is found at its old place, too")
	}
}

// TestStaleAsksOnce: requests that met a newer table whose changes don't fit
// their replies wait a moment while the gateway asks once for all of them.
func TestStaleAsksOnce(t *testing.T) {
	l := newLeading(t, 3)
	l.tick(400)
	l.change("q00001", "/new/")
	before := l.syncs
	asks := []*wire.Request{}
	for i := uint64(1); i <= 50; i++ {
		l.m.HandleRequest(Request{ID: i, Method: "GET", Path: "/v1/jobs", Budget: 3000}, l.now)
		asks = append(asks, passed(l.m.TakeOutput()))
	}
	again := 0
	sent := func(o Output) {
		for _, s := range l.serve(o) {
			if s.Message.Request == nil {
				continue
			}
			if s.Message.Request.Epoch != l.table.Epoch {
				t.Errorf("went out again by the old table: %+v", s.Message.Request)
			}
			again++
		}
	}
	for i, a := range asks {
		l.m.HandleMessage("k", wire.Message{Response: &wire.Response{ID: a.ID, Status: 409, Stale: true}}, l.now)
		if sent(l.m.TakeOutput()); i == 0 && again > 0 {
			t.Error("the first went out again before there was a newer table")
		}
	}
	if n := l.syncs - before; n < 1 || n > 3 {
		t.Errorf("%d syncs for 50 stale requests", n)
	}
	if l.m.Epoch() != l.table.Epoch {
		t.Errorf("came to epoch %d of %d", l.m.Epoch(), l.table.Epoch)
	}
	l.now += 100
	l.m.Tick(l.now)
	sent(l.m.TakeOutput())
	if again != 50 {
		t.Errorf("%d of 50 requests went out again", again)
	}
}

// TestStalePage: what changed comes with the reply itself where it is little.
func TestStalePage(t *testing.T) {
	l := newLeading(t, 3)
	l.tick(400)
	l.m.HandleRequest(Request{ID: 1, Method: "GET", Path: "/v1/jobs", Budget: 3000}, l.now)
	a := passed(l.m.TakeOutput())
	l.change("q00001", "/new/")
	page := l.history.Page(a.Epoch, "")
	text, err := json.Marshal(controlplane.StaleResponse{Page: &page})
	if err != nil {
		t.Fatal(err)
	}
	l.m.HandleMessage("k", wire.Message{Response: &wire.Response{ID: a.ID, Status: 409, Stale: true, Body: text}}, l.now)
	if b := passed(l.m.TakeOutput()); b == nil || b.Epoch != l.table.Epoch {
		t.Errorf("after the page it went out as %+v", b)
	}
}

// TestBehind: a gateway that knows of a newer table for long, and has not got it,
// says that it is behind; once it has, it is not.
func TestBehind(t *testing.T) {
	l := newLeading(t, 3)
	l.tick(400)
	l.m.HandleRequest(Request{ID: 1, Method: "GET", Path: "/v1/jobs", Budget: 9000}, l.now)
	a := passed(l.m.TakeOutput())
	l.m.HandleMessage("k", wire.Message{Response: &wire.Response{ID: a.ID, Status: 409, Stale: true}}, l.now)
	l.m.TakeOutput()
	if l.m.Behind() {
		t.Error("behind at once")
	}
	late := l.now + 1100
	for ; l.now < late; l.now += 50 {
		l.m.Tick(l.now)
		l.m.TakeOutput()
	}
	if !l.m.Behind() {
		t.Error("not behind 1.1 s after it heard of a newer table")
	}
	l.change("q00001", "/new/")
	l.tick(2000)
	if l.m.Behind() || l.m.Epoch() != l.table.Epoch {
		t.Errorf("caught up to %d of %d, and behind: %v", l.m.Epoch(), l.table.Epoch, l.m.Behind())
	}
}

// TestStaleAnswerTwice: a second reply to an attempt that was answered as stale
// counts for nothing, while the next attempt is under way and after it.
func TestStaleAnswerTwice(t *testing.T) {
	l := newLeading(t, 3)
	l.tick(400)
	l.m.HandleRequest(Request{ID: 1, Method: "GET", Path: "/v1/jobs", Budget: 3000}, l.now)
	first := passed(l.m.TakeOutput())
	l.change("q00001", "/new/")
	page := l.history.Page(first.Epoch, "")
	text, err := json.Marshal(controlplane.StaleResponse{Page: &page})
	if err != nil {
		t.Fatal(err)
	}
	l.m.HandleMessage("k", wire.Message{Response: &wire.Response{ID: first.ID, Status: 409, Stale: true, Body: text}}, l.now)
	second := passed(l.m.TakeOutput())
	again := wire.Message{Response: &wire.Response{ID: first.ID, Status: 200, Body: []byte("first")}}
	l.m.HandleMessage("k", again, l.now)
	if o := l.m.TakeOutput(); len(o.Responses) != 0 {
		t.Errorf("the reply to an attempt that is over was taken: %+v", o.Responses)
	}
	l.m.HandleMessage("k", wire.Message{Response: &wire.Response{ID: second.ID, Status: 200, Body: []byte("second")}}, l.now)
	if o := l.m.TakeOutput(); len(o.Responses) != 1 || string(o.Responses[0].Body) != "second" {
		t.Errorf("answered %+v", o.Responses)
	}
	l.m.HandleMessage("k", again, l.now)
	if o := l.m.TakeOutput(); len(o.Responses) != 0 || len(l.m.requests.byAttempt) != 0 {
		t.Errorf("after the answer: %+v, %d attempts are kept", o.Responses, len(l.m.requests.byAttempt))
	}
}

package inflight

import (
	"testing"

	"orchidward/internal/clock"
	"orchidward/internal/gateway"
	"orchidward/internal/transport/wire"
)

// into is what an answer is put into.
func into(back chan gateway.Response) func(a gateway.Response) {
	return func(a gateway.Response) { back <- a }
}

// admitted is a set with one request in it, given to the machine at 1000 ms.
func admitted(t *testing.T, budget clock.Millis) (h *Requests, back chan gateway.Response) {
	t.Helper()
	return admittedAs(t, gateway.Request{ID: 7, Method: "PUT", Path: "/v1/closings/a", Body: []byte("{}"), Budget: budget})
}

func admittedAs(t *testing.T, q gateway.Request) (h *Requests, back chan gateway.Response) {
	t.Helper()
	h, back = New(), make(chan gateway.Response, 1)
	h.Admit(q, into(back), 1000, true)
	if list := h.TakeDispatches(); len(list) != 1 || list[0].Peer != "@7" || list[0].Request.Method != q.Method || !list[0].Peer.Local() {
		t.Fatalf("given to the machine: %+v", list)
	}
	return h, back
}

func got(t *testing.T, h *Requests, back chan gateway.Response, status int) {
	t.Helper()
	select {
	case a := <-back:
		if a.ID != 7 || a.Status != status {
			t.Errorf("answered %+v, want %d", a, status)
		}
	default:
		t.Errorf("no answer, want %d", status)
	}
	if len(h.pending) > 0 || h.bodyBytes != 0 {
		t.Errorf("%d requests of %d bytes are still waiting", len(h.pending), h.bodyBytes)
	}
}

func none(t *testing.T, back chan gateway.Response) {
	t.Helper()
	select {
	case a := <-back:
		t.Fatalf("answered %+v before its time", a)
	default:
	}
}

// TestAnswered: the reply sent to the request's own peer is its answer, and no
// other.
func TestAnswered(t *testing.T) {
	h, back := admitted(t, 0)
	h.Complete("@8", &wire.Response{ID: 7, Status: 500}, 1010)
	h.Complete("@8", &wire.Response{ID: 8, Status: 500}, 1010)
	none(t, back)
	h.Complete("@7", &wire.Response{ID: 7, Status: 201}, 1020)
	got(t, h, back, 201)
	h.Complete("@7", &wire.Response{ID: 7, Status: 500}, 1030)
	none(t, back)
}

// TestMoved: a try that met no leader is made again after 100 ms with what is
// left of the budget; when all of them did, the caller is told to come back.
func TestMoved(t *testing.T) {
	h, back := admitted(t, 0)
	for at := clock.Monotonic(1000); at < 2900; at += 100 {
		h.Complete("@7", &wire.Response{ID: 7, Status: 503, NotLeader: true}, at)
		h.Tick(at+99, true)
		if list := h.TakeDispatches(); len(list) > 0 {
			t.Fatalf("tried again after 99 ms: %+v", list)
		}
		h.Tick(at+100, true)
		list := h.TakeDispatches()
		if len(list) != 1 || list[0].Request.Budget != clock.Monotonic(3000).Since(at+100) {
			t.Fatalf("at %d given to the machine: %+v", at+100, list)
		}
		none(t, back)
	}
	h.Complete("@7", &wire.Response{ID: 7, Status: 503, NotLeader: true}, 2900)
	h.Tick(2999, true)
	none(t, back)
	h.Tick(3000, true)
	got(t, h, back, 503)
}

// TestUnknown: a try that a leader was given and nothing came back from leaves
// the outcome unknown, also when tries before it met none.
func TestUnknown(t *testing.T) {
	h, back := admitted(t, 300)
	h.Tick(1299, true)
	none(t, back)
	h.Tick(1300, true)
	got(t, h, back, 504)
	h, back = admitted(t, 300)
	h.Complete("@7", &wire.Response{ID: 7, Status: 503, NotLeader: true}, 1050)
	h.Tick(1150, true)
	h.Tick(1300, true)
	got(t, h, back, 504)
}

// TestLeft: a caller that left is forgotten.
func TestLeft(t *testing.T) {
	h, back := admitted(t, 0)
	h.Forget(7)
	h.Complete("@7", &wire.Response{ID: 7, Status: 201}, 1010)
	none(t, back)
	if len(h.pending) > 0 || h.bodyBytes != 0 {
		t.Errorf("%d requests of %d bytes are still waiting", len(h.pending), h.bodyBytes)
	}
}

// TestFull: the set is bounded by requests and by their bytes.
func TestFull(t *testing.T) {
	h, body := New(), make([]byte, 1<<20)
	full := func(n int, body []byte) int {
		var refused int
		for i := 0; i < n; i++ {
			back := make(chan gateway.Response, 1)
			h.Admit(gateway.Request{ID: uint64(len(h.pending) + 1), Body: body}, into(back), 0, true)
			if len(back) > 0 {
				if a := <-back; a.Status == 503 && a.RetryAfter > 0 {
					refused++
				}
			}
		}
		return refused
	}
	if n := full(80, body); n != 16 {
		t.Errorf("%d of 80 MiB refused, want 16", n)
	}
	h = New()
	if n := full(maxRequests+3, nil); n != 3 {
		t.Errorf("%d requests refused, want 3", n)
	}
}

// TestNoLeader: a request that finds no leader is answered at once, when it
// comes and while it waits, and told when to come back; one that a leader may
// have carried out is told that its outcome is not known.
func TestNoLeader(t *testing.T) {
	h, back := New(), make(chan gateway.Response, 1)
	h.Admit(gateway.Request{ID: 7, Method: "GET", Path: "/v1/table", Budget: 3000}, into(back), 1000, false)
	if len(back) != 1 {
		t.Fatal("no answer at once")
	}
	if a := <-back; a.Status != 503 || a.RetryAfter == 0 || a.ID != 7 {
		t.Errorf("without a leader: %+v", a)
	}
	h, back = admitted(t, 3000)
	h.Complete("@7", &wire.Response{ID: 7, Status: 503, NotLeader: true}, 1050)
	h.Tick(1060, false)
	got(t, h, back, 503)
	h, back = admitted(t, 3000)
	h.Tick(1060, false)
	none(t, back)
	h, back = admittedAs(t, gateway.Request{ID: 7, Method: "PUT", Path: "/v1/catalog", Budget: 3000})
	h.Complete("@7", &wire.Response{ID: 7, Status: 504}, 1050)
	none(t, back)
	h.Tick(1060, false)
	got(t, h, back, 504)
}

// TestExpired: an order that a leader could not tell the age of is dispatched
// again at once, a few times at most and only within its budget.
func TestExpired(t *testing.T) {
	h, back := admitted(t, 3000)
	for i := 0; i < maxExpired; i++ {
		h.Complete("@7", &wire.Response{ID: 7, Status: 503, Expired: true}, 1010)
		if list := h.TakeDispatches(); len(list) != 1 || list[0].Request.Budget != 2990 {
			t.Fatalf("try %d: dispatched %+v", i, list)
		}
	}
	h.Complete("@7", &wire.Response{ID: 7, Status: 503, Expired: true, RetryAfter: 200}, 1020)
	got(t, h, back, 503)
	h, back = admitted(t, 300)
	h.Complete("@7", &wire.Response{ID: 7, Status: 503, Expired: true, RetryAfter: 200}, 1300)
	if list := h.TakeDispatches(); len(list) != 0 {
		t.Errorf("dispatched past its budget: %+v", list)
	}
	got(t, h, back, 503)
}

// TestRepeated: what a leader does not know the outcome of is dispatched again
// if it may be; what may have been carried out is never refused as not taken.
func TestRepeated(t *testing.T) {
	h, back := admittedAs(t, gateway.Request{ID: 7, Method: "PUT", Path: "/v1/catalog", Budget: 3000})
	h.Complete("@7", &wire.Response{ID: 7, Status: 504}, 1010)
	none(t, back)
	h.Tick(1020, true)
	if list := h.TakeDispatches(); len(list) != 1 {
		t.Fatalf("not dispatched again: %+v", list)
	}
	h.Complete("@7", &wire.Response{ID: 7, Status: 429}, 1030)
	got(t, h, back, 504)
	h, back = admitted(t, 3000)
	h.Complete("@7", &wire.Response{ID: 7, Status: 504}, 1010)
	got(t, h, back, 504)
}

// TestWoken: what is read right after this process stood still may be as old as
// the pause was long, so that no order is taken then; reads are.
func TestWoken(t *testing.T) {
	h := New()
	for now := clock.Monotonic(0); now <= 1000; now += 20 {
		h.Tick(now, true)
	}
	ask := func(id uint64, verb string, now clock.Monotonic) gateway.Response {
		a := gateway.Response{}
		h.Admit(gateway.Request{ID: id, Method: verb, Path: "/v1/closings/a", Budget: 900}, func(got gateway.Response) { a = got }, now, true)
		return a
	}
	if a := ask(1, "PUT", 9000); a.Status != 503 || a.RetryAfter == 0 {
		t.Errorf("an order read at the wake-up: %+v", a)
	}
	if a := ask(2, "GET", 9000); a.Status != 0 || h.Len() != 1 {
		t.Errorf("a read at the wake-up: %+v", a)
	}
	for now := clock.Monotonic(9020); now < 9600; now += 20 {
		h.Tick(now, true)
	}
	if a := ask(3, "PUT", 9600); a.Status != 0 || h.Len() != 2 {
		t.Errorf("an order 600 ms after: %+v", a)
	}
}

package coredesk

import (
	"testing"

	"orchidward/gate"
	"orchidward/ids"
	"orchidward/wire"
)

// entered is a hall with one request in it, given to the machine at 1000 ms.
func entered(t *testing.T, budget ids.Span) (h *hall, back chan gate.Answer) {
	t.Helper()
	h, back = newHall(), make(chan gate.Answer, 1)
	h.enter(gate.Request{ID: 7, Verb: "PUT", Path: "/v1/jobs/a/b", Body: []byte("{}"), Budget: budget}, back, 1000)
	if list := h.take(); len(list) != 1 || list[0].peer != "@7" || list[0].ask.Verb != "PUT" || !local(list[0].peer) {
		t.Fatalf("given to the machine: %+v", list)
	}
	return h, back
}

func got(t *testing.T, h *hall, back chan gate.Answer, status int) {
	t.Helper()
	select {
	case a := <-back:
		if a.ID != 7 || a.Status != status {
			t.Errorf("answered %+v, want %d", a, status)
		}
	default:
		t.Errorf("no answer, want %d", status)
	}
	if len(h.open) > 0 || h.bytes != 0 {
		t.Errorf("%d requests of %d bytes are still in the hall", len(h.open), h.bytes)
	}
}

func none(t *testing.T, back chan gate.Answer) {
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
	h, back := entered(t, 0)
	h.reply("@8", &wire.Reply{ID: 7, Status: 500}, 1010)
	h.reply("@8", &wire.Reply{ID: 8, Status: 500}, 1010)
	none(t, back)
	h.reply("@7", &wire.Reply{ID: 7, Status: 201}, 1020)
	got(t, h, back, 201)
	h.reply("@7", &wire.Reply{ID: 7, Status: 500}, 1030)
	none(t, back)
}

// TestMoved: a try that met no leader is made again after 100 ms with what is
// left of the budget; when all of them did, the caller is told to come back.
func TestMoved(t *testing.T) {
	h, back := entered(t, 0)
	for at := ids.Mono(1000); at < 2900; at += 100 {
		h.reply("@7", &wire.Reply{ID: 7, Status: 503, Moved: true}, at)
		h.tick(at + 99)
		if list := h.take(); len(list) > 0 {
			t.Fatalf("tried again after 99 ms: %+v", list)
		}
		h.tick(at + 100)
		list := h.take()
		if len(list) != 1 || list[0].ask.Budget != ids.Mono(3000).Since(at+100) {
			t.Fatalf("at %d given to the machine: %+v", at+100, list)
		}
		none(t, back)
	}
	h.reply("@7", &wire.Reply{ID: 7, Status: 503, Moved: true}, 2900)
	h.tick(2999)
	none(t, back)
	h.tick(3000)
	got(t, h, back, 503)
}

// TestUnknown: a try that a leader was given and nothing came back from leaves
// the outcome unknown, also when tries before it met none.
func TestUnknown(t *testing.T) {
	h, back := entered(t, 300)
	h.tick(1299)
	none(t, back)
	h.tick(1300)
	got(t, h, back, 504)
	h, back = entered(t, 300)
	h.reply("@7", &wire.Reply{ID: 7, Status: 503, Moved: true}, 1050)
	h.tick(1150)
	h.tick(1300)
	got(t, h, back, 504)
}

// TestLeft: a caller that left is forgotten.
func TestLeft(t *testing.T) {
	h, back := entered(t, 0)
	h.leave(7)
	h.reply("@7", &wire.Reply{ID: 7, Status: 201}, 1010)
	none(t, back)
	if len(h.open) > 0 || h.bytes != 0 {
		t.Errorf("%d requests of %d bytes are still in the hall", len(h.open), h.bytes)
	}
}

// TestFullHall: the hall is bounded by requests and by their bytes.
func TestFullHall(t *testing.T) {
	h, body := newHall(), make([]byte, 1<<20)
	full := func(n int, body []byte) (refused int) {
		for i := 0; i < n; i++ {
			back := make(chan gate.Answer, 1)
			h.enter(gate.Request{ID: uint64(len(h.open) + 1), Body: body}, back, 0)
			if len(back) > 0 {
				if a := <-back; a.Status == 503 && a.Retry > 0 {
					refused++
				}
			}
		}
		return refused
	}
	if n := full(80, body); n != 16 {
		t.Errorf("%d of 80 MiB refused, want 16", n)
	}
	h = newHall()
	if n := full(mostOpen+3, nil); n != 3 {
		t.Errorf("%d requests refused, want 3", n)
	}
}

package inflight

import (
	"net/http"
	"testing"

	"orchidward/internal/clock"
	"orchidward/internal/gateway"
	"orchidward/internal/transport/wire"
)

// testID is the id of the request in these tests, testPeer the peer in whose name it is
// dispatched.
const (
	testID             = 7
	testPeer wire.Peer = "@7"
)

// repeatable is a request that may be dispatched again if its outcome is unknown.
var repeatable = gateway.Request{ID: testID, Method: "PUT", Path: "/v1/catalog", Budget: 3000}

// singleRequest is a set with a single request, dispatched at 1000 ms.
type singleRequest struct {
	*Requests
	t         *testing.T
	responses chan gateway.Response
}

// admit admits a request that may not be dispatched again if its outcome is unknown.
func admit(t *testing.T, budget clock.Millis) *singleRequest {
	t.Helper()
	return admitRequest(t, gateway.Request{ID: testID, Method: "PUT", Path: "/v1/closings/a", Body: []byte("{}"), Budget: budget})
}

func admitRequest(t *testing.T, q gateway.Request) *singleRequest {
	t.Helper()
	s := &singleRequest{Requests: New(), t: t, responses: make(chan gateway.Response, 1)}
	s.Admit(q, s.respond, 1000, true)
	dispatched := s.wantDispatch()
	if dispatched.Peer != testPeer || dispatched.Request.Method != q.Method || !dispatched.Peer.Local() {
		t.Fatalf("dispatched: %+v", dispatched)
	}
	return s
}

func (s *singleRequest) respond(response gateway.Response) { s.responses <- response }

// reply passes in the server's reply to the dispatch.
func (s *singleRequest) reply(reply wire.Response, now clock.Monotonic) {
	reply.ID = testID
	s.Complete(testPeer, &reply, now)
}

// wantDispatch returns the only new dispatch and fails the test if there is not exactly one.
func (s *singleRequest) wantDispatch() Dispatch {
	s.t.Helper()
	dispatches := s.TakeDispatches()
	if len(dispatches) != 1 {
		s.t.Fatalf("dispatched %+v, want one", dispatches)
	}
	return dispatches[0]
}

func (s *singleRequest) wantNoDispatch() {
	s.t.Helper()
	if dispatches := s.TakeDispatches(); len(dispatches) != 0 {
		s.t.Fatalf("dispatched %+v, want none", dispatches)
	}
}

func (s *singleRequest) wantResponse(status int) {
	s.t.Helper()
	select {
	case response := <-s.responses:
		if response.ID != testID || response.Status != status {
			s.t.Errorf("response %+v, want status %d", response, status)
		}
	default:
		s.t.Errorf("no response, want %d", status)
	}
	s.wantEmpty()
}

func (s *singleRequest) wantNoResponse() {
	s.t.Helper()
	select {
	case response := <-s.responses:
		s.t.Fatalf("unexpected response %+v", response)
	default:
	}
}

func (s *singleRequest) wantEmpty() {
	s.t.Helper()
	if s.Len() > 0 || s.bodyBytes != 0 {
		s.t.Errorf("%d requests of %d bytes are still pending", s.Len(), s.bodyBytes)
	}
}

// TestReplyIsResponse checks that only the reply to the request's own peer becomes its
// response.
func TestReplyIsResponse(t *testing.T) {
	s := admit(t, 0)
	s.Complete("@8", &wire.Response{ID: testID, Status: http.StatusInternalServerError}, 1010)
	s.Complete("@8", &wire.Response{ID: 8, Status: http.StatusInternalServerError}, 1010)
	s.wantNoResponse()
	s.reply(wire.Response{Status: http.StatusCreated}, 1020)
	s.wantResponse(http.StatusCreated)
	s.reply(wire.Response{Status: http.StatusInternalServerError}, 1030)
	s.wantNoResponse()
}

// TestNotLeaderRetried checks that a request that reached no leader is dispatched again after
// 100 ms with the rest of its budget, and is answered with 503 if no dispatch reaches a
// leader.
func TestNotLeaderRetried(t *testing.T) {
	notLeader := wire.Response{Status: http.StatusServiceUnavailable, NotLeader: true}
	s := admit(t, 0)
	for now := clock.Monotonic(1000); now < 2900; now += 100 {
		s.reply(notLeader, now)
		s.Tick(now+99, true)
		s.wantNoDispatch()
		s.Tick(now+100, true)
		if d := s.wantDispatch(); d.Request.Budget != clock.Monotonic(3000).Since(now+100) {
			t.Fatalf("at %d dispatched: %+v", now+100, d)
		}
		s.wantNoResponse()
	}
	s.reply(notLeader, 2900)
	s.Tick(2999, true)
	s.wantNoResponse()
	s.Tick(3000, true)
	s.wantResponse(http.StatusServiceUnavailable)
}

// TestNoReplyOutcomeUnknown checks that a dispatch without a reply leaves the outcome unknown,
// even if earlier dispatches reached no leader.
func TestNoReplyOutcomeUnknown(t *testing.T) {
	s := admit(t, 300)
	s.Tick(1299, true)
	s.wantNoResponse()
	s.Tick(1300, true)
	s.wantResponse(http.StatusGatewayTimeout)

	s = admit(t, 300)
	s.reply(wire.Response{Status: http.StatusServiceUnavailable, NotLeader: true}, 1050)
	s.Tick(1150, true)
	s.Tick(1300, true)
	s.wantResponse(http.StatusGatewayTimeout)
}

// TestForget checks that a request whose caller has disconnected is dropped.
func TestForget(t *testing.T) {
	s := admit(t, 0)
	s.Forget(testID)
	s.reply(wire.Response{Status: http.StatusCreated}, 1010)
	s.wantNoResponse()
	s.wantEmpty()
}

// TestBounds checks that the set is bounded by the number of requests and by the bytes of their
// bodies.
func TestBounds(t *testing.T) {
	tests := []struct {
		name     string
		requests int
		body     []byte
		refused  int
	}{
		{"80 MiB", 80, make([]byte, 1<<20), 16},
		{"three requests too many", maxRequests + 3, nil, 3},
	}
	for _, test := range tests {
		requests := New()
		refused := 0
		for i := 0; i < test.requests; i++ {
			id := uint64(requests.Len() + 1)
			requests.Admit(gateway.Request{ID: id, Body: test.body}, func(response gateway.Response) {
				if response.Status == http.StatusServiceUnavailable && response.RetryAfter > 0 {
					refused++
				}
			}, 0, true)
		}
		if refused != test.refused {
			t.Errorf("%s: %d refused, want %d", test.name, refused, test.refused)
		}
	}
}

// TestNoLeader checks that a request is answered immediately with 503 and a retry delay if no
// leader is known, on admission as well as while it is pending, and that a request that a
// leader may have executed is answered with 504.
func TestNoLeader(t *testing.T) {
	var refusal gateway.Response
	New().Admit(gateway.Request{ID: testID, Method: "GET", Path: "/v1/table", Budget: 3000}, func(response gateway.Response) { refusal = response }, 1000, false)
	if refusal.Status != http.StatusServiceUnavailable || refusal.RetryAfter == 0 || refusal.ID != testID {
		t.Errorf("without a leader: %+v", refusal)
	}

	s := admit(t, 3000)
	s.reply(wire.Response{Status: http.StatusServiceUnavailable, NotLeader: true}, 1050)
	s.Tick(1060, false)
	s.wantResponse(http.StatusServiceUnavailable)

	s = admit(t, 3000)
	s.Tick(1060, false)
	s.wantNoResponse()

	s = admitRequest(t, repeatable)
	s.reply(wire.Response{Status: http.StatusGatewayTimeout}, 1050)
	s.wantNoResponse()
	s.Tick(1060, false)
	s.wantResponse(http.StatusGatewayTimeout)
}

// TestExpired checks that an order rejected as expired, because the leader could not tell its
// age, is dispatched again immediately, at most maxExpired times and only within its budget.
func TestExpired(t *testing.T) {
	expired := wire.Response{Status: http.StatusServiceUnavailable, Expired: true, RetryAfter: 200}
	s := admit(t, 3000)
	for i := 0; i < maxExpired; i++ {
		s.reply(expired, 1010)
		if d := s.wantDispatch(); d.Request.Budget != 2990 {
			t.Fatalf("dispatch %d: %+v", i, d)
		}
	}
	s.reply(expired, 1020)
	s.wantResponse(http.StatusServiceUnavailable)

	s = admit(t, 300)
	s.reply(expired, 1300)
	s.wantNoDispatch()
	s.wantResponse(http.StatusServiceUnavailable)
}

// TestOutcomeUnknownRepeated checks that a request with an unknown outcome is dispatched again
// if it is idempotent, and that a request that may have been executed is never answered with
// a refusal.
func TestOutcomeUnknownRepeated(t *testing.T) {
	s := admitRequest(t, repeatable)
	s.reply(wire.Response{Status: http.StatusGatewayTimeout}, 1010)
	s.wantNoResponse()
	s.Tick(1020, true)
	s.wantDispatch()
	s.reply(wire.Response{Status: http.StatusTooManyRequests}, 1030)
	s.wantResponse(http.StatusGatewayTimeout)

	s = admit(t, 3000)
	s.reply(wire.Response{Status: http.StatusGatewayTimeout}, 1010)
	s.wantResponse(http.StatusGatewayTimeout)
}

// TestOrdersRefusedAfterStall checks that orders are refused right after a pause of the
// process, because a request read then may be as old as the pause was long. Reads are still
// accepted.
func TestOrdersRefusedAfterStall(t *testing.T) {
	requests := New()
	for now := clock.Monotonic(0); now <= 1000; now += 20 {
		requests.Tick(now, true)
	}
	admitAt := func(id uint64, method string, now clock.Monotonic) (response gateway.Response) {
		requests.Admit(gateway.Request{ID: id, Method: method, Path: "/v1/closings/a", Budget: 900}, func(r gateway.Response) { response = r }, now, true)
		return response
	}
	if response := admitAt(1, "PUT", 9000); response.Status != http.StatusServiceUnavailable || response.RetryAfter == 0 {
		t.Errorf("an order read at the end of the pause: %+v", response)
	}
	if response := admitAt(2, "GET", 9000); response.Status != 0 || requests.Len() != 1 {
		t.Errorf("a read at the end of the pause: %+v", response)
	}
	for now := clock.Monotonic(9020); now < 9600; now += 20 {
		requests.Tick(now, true)
	}
	if response := admitAt(3, "PUT", 9600); response.Status != 0 || requests.Len() != 2 {
		t.Errorf("an order 600 ms after the pause: %+v", response)
	}
}

// TestAbandonedOrderIsWithdrawn checks that an order to start or end a drain is withdrawn from
// the server's state machine once its caller has disconnected or its budget is used up, and
// only then.
func TestAbandonedOrderIsWithdrawn(t *testing.T) {
	for name, abandon := range map[string]func(s *singleRequest){
		"caller disconnected": func(s *singleRequest) { s.Forget(testID) },
		"budget used up":      func(s *singleRequest) { s.Tick(1900, true) },
	} {
		s := admit(t, 900)
		s.Tick(1800, true)
		if early := s.TakeDispatches(); len(early) > 0 {
			t.Errorf("%s: dispatched %+v too early", name, early)
		}
		abandon(s)
		withdrawal := s.wantDispatch()
		if id, ok := withdrawal.Request.Withdraws(); !ok || id != testID || withdrawal.Peer != testPeer {
			t.Errorf("%s: dispatched %+v", name, withdrawal)
		}
	}
	s := admitRequest(t, repeatable)
	s.Forget(testID)
	if list := s.TakeDispatches(); len(list) > 0 {
		t.Errorf("a change that can be recognized when repeated is withdrawn: %+v", list)
	}
	s = admit(t, 900)
	s.reply(wire.Response{Status: http.StatusOK}, 1010)
	s.Forget(testID)
	if list := s.TakeDispatches(); len(list) > 0 {
		t.Errorf("an order that was answered is withdrawn: %+v", list)
	}
}

// TestTimeWaitedCounts checks that the time that a request waited in the process before its
// admission is subtracted from its budget.
func TestTimeWaitedCounts(t *testing.T) {
	order := gateway.Request{ID: testID, Method: "PUT", Path: "/v1/closings/a", Budget: 700, Waited: 500}
	requests := New()
	requests.Admit(order, func(gateway.Response) {}, 1000, true)
	if list := requests.TakeDispatches(); len(list) != 1 || list[0].Request.Budget != 200 {
		t.Errorf("dispatched %+v, want a budget of 200 ms", list)
	}
	order.Waited = 700
	refused := 0
	requests = New()
	requests.Admit(order, func(response gateway.Response) { refused = response.Status }, 1000, true)
	if list := requests.TakeDispatches(); len(list) > 0 || refused != http.StatusServiceUnavailable {
		t.Errorf("with no time left: answered %d, dispatched %+v", refused, list)
	}
}

package register

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand"
	"net/http"
	"testing"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/jsondoc"
	"orchidward/internal/state"
)

var historyCount = flag.Int("histories", 1000, "how many histories of changes at the state machine")

// requestCopy is one copy of a change in flight to the leader.
type requestCopy struct {
	call    *registerCall
	command *state.Command
	// awaited is set while the leader that proposed it still waits for its outcome.
	awaited bool
}

// replicatedRegister simulates a state machine that applies a replicated log, with a
// network and leader changes: requests arrive in any order, late, twice or never, and
// responses may be lost. It replaces consensus, which TestChaos checks.
type replicatedRegister struct {
	random   *rand.Rand
	now      int64
	state    *state.Store
	network  []*requestCopy
	proposed []*requestCopy
	changes  changeSet
	calls    []*registerCall
	// acceptedBefore are the changes accepted before the history began.
	acceptedBefore []*change
	// lastRead is the version that each operator last read.
	lastRead []uint64
}

func (m *replicatedRegister) send(c *change) {
	method, body := c.encode()
	var faults jsondoc.FieldErrors
	read := catalog.ReadWhole
	if method == http.MethodPatch {
		read = catalog.ReadPatch
	}
	cmd := &state.Command{ChangeCatalog: read(body, &faults)}
	if faults.Any() {
		panic(fmt.Sprint(faults.List))
	}
	call := &registerCall{startedAt: m.now, endedAt: noAnswer, change: c}
	m.calls = append(m.calls, call)
	m.network = append(m.network, &requestCopy{call, cmd, true})
}

// deliver delivers a copy to the leader, which proposes it. Sometimes a duplicate stays in
// the network.
func (m *replicatedRegister) deliver() {
	if len(m.network) == 0 {
		return
	}
	i := m.random.Intn(len(m.network))
	arrived := *m.network[i]
	m.proposed = append(m.proposed, &arrived)
	if m.random.Intn(4) > 0 {
		m.network = append(m.network[:i], m.network[i+1:]...)
	}
}

// commit applies the next entry; its response may be lost.
func (m *replicatedRegister) commit() {
	if len(m.proposed) == 0 {
		return
	}
	entry := m.proposed[0]
	m.proposed = m.proposed[1:]
	cmd, err := state.DecodeCommand(entry.command.Encode())
	if err != nil {
		panic(err)
	}
	answer := m.state.Apply(cmd)
	call := entry.call
	if entry.awaited && call.outcomeUnknown() && call.status == 0 && m.random.Intn(3) > 0 {
		m.complete(call, answer.Status)
	}
}

func (m *replicatedRegister) complete(call *registerCall, status int) {
	call.status = status
	if status != http.StatusGatewayTimeout {
		call.endedAt = m.now
	}
}

// depose ends the leader's term: the tail of its log is lost, and no leader waits for the
// outcome of the remaining entries.
func (m *replicatedRegister) depose() {
	m.proposed = m.proposed[:m.random.Intn(len(m.proposed)+1)]
	for _, entry := range m.proposed {
		entry.awaited = false
	}
}

// restart continues with the state decoded from a snapshot.
func (m *replicatedRegister) restart() {
	restored, err := state.Decode(m.state.Encode())
	if err != nil {
		panic(err)
	}
	m.state = restored
}

func (m *replicatedRegister) read(operator int) {
	r := m.register()
	m.lastRead[operator] = r.version
	m.calls = append(m.calls, &registerCall{startedAt: m.now, endedAt: m.now, status: 200, content: r.String()})
}

func (m *replicatedRegister) register() register {
	var r register
	shown := catalog.Catalog{}
	if m.state.Catalog != nil {
		shown = m.state.Catalog.Published()
	}
	body, err := json.Marshal(&shown)
	if err != nil {
		panic(err)
	}
	if r, err = decodeRegister(body); err != nil {
		panic(err)
	}
	return r
}

func (m *replicatedRegister) step() {
	m.now++
	operator := m.random.Intn(len(m.lastRead))
	switch m.random.Intn(20) {
	case 0, 1, 2:
		m.send(m.changes.draw(m.random, m.lastRead[operator]))
	case 3, 4, 5:
		if len(m.changes.list) > 0 {
			m.send(pick(m.random, m.changes.list...))
		}
	case 6, 7, 8, 9, 10:
		m.deliver()
	case 11, 12, 13, 14, 15:
		m.commit()
	case 16:
		m.depose()
	case 17:
		m.restart()
	case 18:
		m.state.Apply(&state.Command{RaiseLevel: &state.RaiseLevel{Level: state.ResendLevel}})
	default:
		m.read(operator)
	}
}

// nearlyFullRegister returns a snapshot of a state that holds dedup records of count
// changes, almost as many as it may hold, and the changes that it will drop first.
func nearlyFullRegister(count uint64) (view []byte, oldest []*change) {
	full := state.New()
	full.Level = state.ResendLevel
	for version := uint64(1); version <= count; version++ {
		c := &change{number: -int(version), base: version - 1, version: version}
		_, body := c.encode()
		var faults jsondoc.FieldErrors
		full.Apply(&state.Command{ChangeCatalog: catalog.ReadPatch(body, &faults)})
		if version <= 4 {
			oldest = append(oldest, c)
		}
	}
	return full.Encode(), oldest
}

// historiesPerTest is the number of histories per subtest.
const historiesPerTest = 500

// TestRegisterHistories checks the responses of the state machine in many histories
// against the specification of the register.
func TestRegisterHistories(t *testing.T) {
	t.Parallel()
	view, oldest := nearlyFullRegister(4096)
	for first := 0; first < *historyCount; first += historiesPerTest {
		t.Run(fmt.Sprint(first), func(t *testing.T) {
			t.Parallel()
			statuses := map[int]int{}
			for seed := first; seed < first+historiesPerTest; seed++ {
				m := newReplicated(int64(seed), view, oldest)
				m.play(t, seed)
				for _, x := range m.calls {
					statuses[x.status]++
				}
			}
			t.Log("responses by status, 0 for none:", statuses)
			for status, minimum := range map[int]int{0: historiesPerTest, 200: historiesPerTest, 412: historiesPerTest, 422: historiesPerTest / 4, 504: 4} {
				if statuses[status] < minimum {
					t.Errorf("too little evidence: %d responses with status %d", statuses[status], status)
				}
			}
		})
	}
}

// newReplicated begins a history: every second one at the old level, some of which raise
// the level later, and one in sixteen with a state that drops the dedup record of a change
// with every change that it accepts.
func newReplicated(seed int64, view []byte, oldest []*change) *replicatedRegister {
	m := &replicatedRegister{random: rand.New(rand.NewSource(seed)), state: state.New(), lastRead: make([]uint64, 3)}
	m.state.Level = state.ResendLevel
	switch {
	case seed%16 == 15:
		m.state, _ = state.Decode(view)
		m.acceptedBefore = oldest
		m.changes.list = append(m.changes.list, oldest...)
	case seed%2 == 1:
		m.state.Level, m.changes.ignoreMethod = state.CatalogLevel, true
	}
	return m
}

func (m *replicatedRegister) play(t *testing.T, seed int) {
	t.Helper()
	first := m.register()
	for operator := range m.lastRead {
		m.lastRead[operator] = first.version
	}
	for range 60 + m.random.Intn(120) {
		m.step()
	}
	if !linearizable(first, m.acceptedBefore, m.calls) {
		t.Fatalf("seed %d: history is not linearizable:\n%s", seed, formatCalls(m.calls))
	}
}

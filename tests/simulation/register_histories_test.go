// The register at the state machine: many short histories.

package simulation

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand"
	"testing"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/jsondoc"
	"orchidward/internal/state"
)

var histories = flag.Int("histories", 1000, "how many histories of changes at the state machine")

// copyOf is one copy of a change on its way to the leader.
type copyOf struct {
	call *exchange
	cmd  *state.Command
	// waits says that the leader which proposed it still waits for its outcome.
	waits bool
}

// replicated is a state machine under a log, with the network before it and
// leaders that come and go: copies arrive in any order, late, twice or never,
// and so do the answers. It stands for agreement, which TestChaos checks.
type replicated struct {
	rnd      *rand.Rand
	now      int64
	state    *state.Store
	network  []*copyOf
	proposed []*copyOf
	changes  proposals
	calls    []*exchange
	// before are changes accepted before the history began, seen the version that
	// each operator last read.
	before []*change
	seen   []uint64
}

func (w *replicated) send(c *change) {
	verb, body := c.text()
	var faults jsondoc.FieldErrors
	read := catalog.ReadWhole
	if verb == "PATCH" {
		read = catalog.ReadPatch
	}
	cmd := &state.Command{ChangeCatalog: read(body, &faults)}
	if faults.Any() {
		panic(fmt.Sprint(faults.List))
	}
	call := &exchange{begin: w.now, end: never, change: c}
	w.calls = append(w.calls, call)
	w.network = append(w.network, &copyOf{call, cmd, true})
}

// deliver lets a copy reach the leader, which proposes it. Now and then another
// copy stays behind.
func (w *replicated) deliver() {
	if len(w.network) == 0 {
		return
	}
	i := w.rnd.Intn(len(w.network))
	arrived := *w.network[i]
	w.proposed = append(w.proposed, &arrived)
	if w.rnd.Intn(4) > 0 {
		w.network = append(w.network[:i], w.network[i+1:]...)
	}
}

// commit applies the next entry; its answer may be lost on the way.
func (w *replicated) commit() {
	if len(w.proposed) == 0 {
		return
	}
	entry := w.proposed[0]
	w.proposed = w.proposed[1:]
	cmd, err := state.DecodeCommand(entry.cmd.Encode())
	if err != nil {
		panic(err)
	}
	answer := w.state.Apply(cmd)
	call := entry.call
	if entry.waits && call.unclear() && call.status == 0 && w.rnd.Intn(3) > 0 {
		w.answered(call, answer.Status)
	}
}

func (w *replicated) answered(call *exchange, status int) {
	call.status = status
	if status != 504 {
		call.end = w.now
	}
}

// depose ends the leader: a tail of its log is lost, and nobody waits for the
// rest any more.
func (w *replicated) depose() {
	w.proposed = w.proposed[:w.rnd.Intn(len(w.proposed)+1)]
	for _, entry := range w.proposed {
		entry.waits = false
	}
}

// restart goes on with the state as a view has it.
func (w *replicated) restart() {
	restored, err := state.Decode(w.state.Encode())
	if err != nil {
		panic(err)
	}
	w.state = restored
}

func (w *replicated) read(operator int) {
	r := w.register()
	w.seen[operator] = r.version
	w.calls = append(w.calls, &exchange{begin: w.now, end: w.now, status: 200, content: r.String()})
}

func (w *replicated) register() register {
	var r register
	shown := catalog.Catalog{}
	if w.state.Catalog != nil {
		shown = w.state.Catalog.Published()
	}
	body, err := json.Marshal(&shown)
	if err != nil {
		panic(err)
	}
	if r, err = readRegister(body); err != nil {
		panic(err)
	}
	return r
}

func (w *replicated) step() {
	w.now++
	operator := w.rnd.Intn(len(w.seen))
	switch w.rnd.Intn(20) {
	case 0, 1, 2:
		w.send(w.changes.draw(w.rnd, w.seen[operator]))
	case 3, 4, 5:
		if len(w.changes.list) > 0 {
			w.send(pick(w.rnd, w.changes.list...))
		}
	case 6, 7, 8, 9, 10:
		w.deliver()
	case 11, 12, 13, 14, 15:
		w.commit()
	case 16:
		w.depose()
	case 17:
		w.restart()
	case 18:
		w.state.Apply(&state.Command{RaiseLevel: &state.RaiseLevel{Level: state.ResendLevel}})
	default:
		w.read(operator)
	}
}

// filled is a state whose memory of changes is all but full, and the changes it
// will have to forget first.
func filled(count uint64) (view []byte, oldest []*change) {
	full := state.New()
	full.Level = state.ResendLevel
	for version := uint64(1); version <= count; version++ {
		c := &change{number: -int(version), base: version - 1, version: version}
		_, body := c.text()
		var faults jsondoc.FieldErrors
		full.Apply(&state.Command{ChangeCatalog: catalog.ReadPatch(body, &faults)})
		if version <= 4 {
			oldest = append(oldest, c)
		}
	}
	return full.Encode(), oldest
}

// historiesApart is how many histories run in one go beside others.
const historiesApart = 500

// TestRegisterHistories holds what the state machine answers, over many
// histories, against the specification of the register.
func TestRegisterHistories(t *testing.T) {
	t.Parallel()
	view, oldest := filled(4096)
	for first := 0; first < *histories; first += historiesApart {
		t.Run(fmt.Sprint(first), func(t *testing.T) {
			t.Parallel()
			statuses := map[int]int{}
			for seed := first; seed < first+historiesApart; seed++ {
				w := newReplicated(int64(seed), view, oldest)
				w.play(t, seed)
				for _, x := range w.calls {
					statuses[x.status]++
				}
			}
			t.Log("answers by status, 0 for none:", statuses)
			for status, least := range map[int]int{0: historiesApart, 200: historiesApart, 412: historiesApart, 422: historiesApart / 4, 504: 4} {
				if statuses[status] < least {
					t.Errorf("too little evidence: %d answers with %d", statuses[status], status)
				}
			}
		})
	}
}

// newReplicated begins a history: every second one at the former level, of which
// some raise it under way, and one in sixteen with a memory that forgets with
// every change that is accepted.
func newReplicated(seed int64, view []byte, oldest []*change) *replicated {
	w := &replicated{rnd: rand.New(rand.NewSource(seed)), state: state.New(), seen: make([]uint64, 3)}
	w.state.Level = state.ResendLevel
	switch {
	case seed%16 == 15:
		w.state, _ = state.Decode(view)
		w.before = oldest
		w.changes.list = append(w.changes.list, oldest...)
	case seed%2 == 1:
		w.state.Level, w.changes.verbless = state.CatalogLevel, true
	}
	return w
}

func (w *replicated) play(t *testing.T, seed int) {
	t.Helper()
	first := w.register()
	for operator := range w.seen {
		w.seen[operator] = first.version
	}
	for range 60 + w.rnd.Intn(120) {
		w.step()
	}
	if !linearizable(first, w.before, w.calls) {
		t.Fatalf("seed %d: no register answers so:\n%s", seed, listing(w.calls))
	}
}

// break shows that the tests can fail: for every promise it breaks the code in
// one place, in a copy of the tree, and wants the promise's own check to
// complain. It is run by hand, from the top of the tree: go run ./tests/mutation
package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// wound is one way of breaking the code. Want must be found in what the tests
// then print.
type wound struct {
	name, file, old, new string
	args                 []string
	want                 string
	also                 []edit
}

// edit is a further place that must be broken for the wound to be one: some
// promises are kept twice over.
type edit struct{ file, old, new string }

// trial names one of the simulator's trials, by the beginning of its name.
func trial(name string) []string {
	return []string{"./tests/simulation", "-run", "TestTrials/^(" + name + ")"}
}

var wounds = []wound{
	{"fence never goes up (zone)", "internal/state/drain_scope.go", "runner.cordonedBy = id", "runner.cordonedBy = \"\"", trial("closing"), "P2 at", nil},
	{"fence never goes up (leaving)", "internal/state/drain_scope.go", "runner.cordonedBy = id", "runner.cordonedBy = \"\"", trial("leaving"), "P1 at", []edit{
		{"internal/controlplane/polls.go", "case !c.running[g.ID] && !c.drain && r.CordonedBy() == \"\":", "case !c.running[g.ID]:"}, {"internal/controlplane/lead.go", "c.known && !c.drain &&", "c.known &&"}}},
	{"re-placed before the grant is over", "internal/controlplane/lead.go", "return now.Since(c.heard) > grant+grant/10+1000", "return now.Since(c.heard) > 3000", trial("half|steps"), "P3 at", nil},
	{"runner ignores its grant", "internal/runner/machine.go", "lapsed := m.now.Since(m.contact) > m.grant", "lapsed := false", []string{"./tests/simulation", "-run", "TestCutOff"}, "P3 at", nil},
	{"steps in any order", "internal/state/job.go", "if j.Spec.Steps[i].Name == name && !j.stepSucceeded(i) {", "if j.Spec.Steps[i].Name == name && j.stepCounts[i].succeeded < 0 {", trial("steps"), "P4 at", nil},
	{"appointed times ignored", "internal/state/submit.go", "	return spec.NotBefore\n", "	return 0\n", trial("steps"), "P4 at", nil},
	{"cluster time believes any clock", "internal/controlplane/clock.go", "if young && diff > coldGap {", "if diff > coldGap || diff < -coldGap {", []string{"./tests/simulation", "-run", "TestClocks"}, "cluster time is off", nil},
	{"defects not counted", "internal/state/row_attempts.go", "	task.Defects++\n", "", trial("half"), "P5 at", nil},
	{"cancel calls nothing back", "internal/state/job_lifecycle.go", "		s.abortTasks(j, RevokeCancelled)\n", "", trial("cancelled"), "P6 at", nil},
	{"labels ignored", "internal/scheduler/feasibility/pack.go", "		if !slices.Contains(have, label) {\n			return false", "		if !slices.Contains(have, label) {\n			return true", trial("little"), "P7 at", nil},
	{"room ignored", "internal/api/job/demand.go", "return d.CPU() <= room.CPU() && d.Mem <= room.Mem && d.GPUs <= room.GPUs", "return true", []string{"./internal/state", "./internal/scheduler"}, "unsound placements", nil},
	{"partners left alone", "internal/state/lease_lifecycle.go", "if partner.RevokeReason == \"\" {", "if partner.RevokeReason == \"never\" {", []string{"./internal/state", "-run", "TestGangIsRevokedAndPlacedTogether"}, "goes on alone", nil},
	{"finished while work runs", "internal/state/job_lifecycle.go", "if j.EndState != \"\" || j.openLeases > 0 || j.Spec.Repeat != nil && !j.occurrencesDone() {", "if j.EndState != \"\" {", []string{"./internal/state", "-run", "TestLateEndOfLostLease"}, "job a/x is well, want running", nil},
	{"committed without a quorum", "internal/consensus/raft/replication.go", "at := list[r.voters()/2]", "at := list[0]", []string{"./internal/consensus/raft"}, "seed ", nil},
	{"acknowledged before it is on disk", "internal/consensus/raft/step.go", "now := min(match, r.synced)", "now := match", []string{"./tests/simulation", "-run", "TestAckIsOnDisk"}, "P9 at", nil},
	{"stale bases win", "internal/api/limits/table.go", "if at > c.Base && (c.Whole || c.names(name)) {", "if at > c.Base && at == 0 {", trial("tables"), "P10 at", nil},
	{"no election", "internal/consensus/raft/raft.go", "if now.Since(r.heard) >= r.wait && r.voter(r.id) && !r.leaving {", "if now.Since(r.heard) >= r.wait && r.voter(r.id) && r.hard.Term == 0 {", trial("a_zone"), "P11 at", nil},
	{"woken gate decides", "internal/gateway/machine.go", "return m.rules != nil && now.Since(m.touch) < LeaderContactTimeout", "return m.rules != nil", []string{"./tests/simulation", "-run", "TestWokenGate"}, "just woken it answered", nil},
	{"leader acts without a lease", "internal/consensus/raft/lease.go", "return r.role == Leader && now.Since(r.quorumAck(now)) < r.tm.Lease", "return r.role == Leader", []string{"./internal/consensus/raft"}, "lease at once", nil},
	{"older term's entries committed by count", "internal/consensus/raft/replication.go", "at > r.commit && t == r.hard.Term", "at > r.commit && t > 0", []string{"./internal/consensus/raft"}, "committed by count", nil},
	{"votes for a shorter log", "internal/consensus/raft/step.go", "return m.LogTerm > t || m.LogTerm == t && m.Index >= r.log.last()", "return t > 0 || m.LogTerm >= t", []string{"./internal/consensus/raft"}, "seed ", nil},
	{"two seats changed at once", "internal/consensus/raft/membership.go", "r.commit < r.first || r.configurations[len(r.configurations)-1].index > r.commit", "false", []string{"./internal/consensus/raft"}, "seed ", nil},
	{"vote told before it is on disk", "internal/consensus/raft/step.go", "	r.sendAfterSync(Message{Kind: VoteReply, To: m.From})\n}", "	r.send(Message{Kind: VoteReply, To: m.From})\n}", []string{"./internal/consensus/raft"}, "before the sync", nil},
	{"young process helps to elect", "internal/consensus/raft/step.go", "if r.now.Since(r.start) < r.tm.ElectionTimeout {", "if false {", []string{"./internal/consensus/raft"}, "helped to elect another", nil},
	{"members go on without word", "internal/runner/machine.go", "case lapsed || w.GangLease > 0 && m.now.Since(w.whole) > w.GangLease:", "case lapsed:", []string{"./tests/simulation", "-run", "TestGangInPart"}, "in part for", nil},
	{"silence not doubted", "internal/controlplane/lead.go", "	m.doubts()\n", "", []string{"./tests/simulation", "-run", "TestGangInPart"}, "in part for", nil},
	{"clocks need not agree", "internal/controlplane/clock.go", "low := clock.ClusterTime(alike + 1)", "low := clock.ClusterTime(1 << 40)", []string{"./tests/simulation", "-run", "TestClocks"}, "cluster time is off", nil},
	{"starts appointed by an unset time", "internal/controlplane/ask.go", "if s.HasStartTime() && !m.lead.clock.sure", "if false && !m.lead.clock.sure", []string{"./tests/simulation", "-run", "TestColdClocks"}, "P4 at", nil},
	{"time set back by a late entry", "internal/controlplane/apply.go", "newClusterClock(m.state.Now, at), e.Term", "newClusterClock(m.state.Now, max(at, m.now)), e.Term", []string{"./tests/simulation", "-run", "TestLateEntry"}, "cluster time is off", nil},
	{"level raised by most", "internal/controlplane/level.go", "if s.SilentFor > 2000 || s.Level <= m.state.Level {", "if s.SilentFor > 2000 {", []string{"./tests/simulation", "-run", "TestUpgrade"}, "upgraded, the level is", []edit{{"internal/controlplane/level.go", "to = min(to, s.Level)", ""}}},
	{"unknown entries read as empty", "internal/state/commands.go", "	d.DisallowUnknownFields()\n", "", []string{"./tests/simulation", "-run", "TestUnknownEntry"}, "went on past an entry", nil},
	{"books not compared", "internal/controlplane/level.go", "if !ok || sum == c.Checksum {", "if !ok || sum > 0 || sum == c.Checksum {", []string{"./tests/simulation", "-run", "TestBooksPart"}, "its book parted", nil},
	{"an old version joins", "internal/controlplane/ask.go", "if j.Level < m.state.Level {", "if false {", []string{"./tests/simulation", "-run", "TestLeftBehind"}, "former version joined", nil},
	{"torn tail keeps its time", "internal/controlplane/clock.go", "torn > 0 && m.gots", "torn < 0 && m.gots", trial("tables"), "P4 at", nil},
	{"an overtaken draft is finished", "internal/consensus/wal/draft.go", "if d.view.Index <= r.view {", "if d.view.Index == 0 {", []string{"./internal/consensus/wal"}, "TestDraft", nil},
	{"a gate is asked for a seat", "internal/controlplane/find.go", "if t.Role != \"keeper\" {", "if false {", []string{"./tests/simulation", "-run", "TestEveryAddress"}, "nobody leads", nil},
	{"an unknown leader gets no answer", "internal/controlplane/apply.go", "case msg.To == m.voice.id:", "case msg.To == 0:", []string{"./tests/simulation", "-run", "TestEveryAddress"}, "members:", nil},
	{"late answers start work", "internal/runner/machine.go", "if seq != m.seq || m.now.Since(sent) > a.StartTimeout ||", "if", []string{"./internal/runner"}, "after its poll", nil},
	{"grants begin again", "internal/runner/machine.go", "if _, used := m.tombs[s.Lease]; used || m.tasks[s.Lease] != nil {", "if m.tasks[s.Lease] != nil {", []string{"./internal/runner"}, "used grants began again", nil},
	{"tables slide back", "internal/routing/replica.go", "if t.Epoch <= r.epoch {", "if t.Epoch == 0 {", []string{"./internal/gateway"}, "the table slid back", nil},
	{"given up and held back", "internal/gateway/machine.go", "for _, id := range m.order() {\n			m.giveUp(id, \"out", "for _, id := range m.order()[:0] {\n			m.giveUp(id, \"out", []string{"./internal/gateway"}, "of budget left", nil},
	{"clock stands still in sleep", "internal/clock/system.go", "const source = unix.CLOCK_BOOTTIME", "const source = unix.CLOCK_MONOTONIC", []string{"./internal/clock"}, "does not count suspend", nil},
	{"step not held to its stage", "internal/state/drain_stages.go", "if drain == nil || drain.Stage != command.From {", "if drain == nil {", []string{"./internal/state", "-run", "TestSuspendedUntilDrainEnds"}, "a step from a stage long past", nil},
	{"a silent seat is kept long", "internal/controlplane/seats.go", "silentMs = 2000", "silentMs = 10000", []string{"./tests/simulation", "-run", "TestLossesInTurn"}, "nobody leads", nil},
	{"three voters on a larger site", "internal/controlplane/seats.go", "mostSeats = 5", "mostSeats = 3", []string{"./tests/simulation", "-run", "TestTwoLostAtOnce|TestZoneLost"}, "nobody leads", nil},
	{"seats regardless of zones", "internal/controlplane/reseat.go", "t.held[s.Domain] < t.held[t.ready.Domain]", "s.ID < t.ready.ID", []string{"./tests/simulation", "-run", "TestFiveSeats|TestZoneLost"}, "by zone map", []edit{{"internal/controlplane/reseat.go", "t.held[t.ready.Domain]+1", "99"}}},
	{"a lagging learner votes", "internal/controlplane/seats.go", "s.Match >= m.raft.TermStart() && s.Match+readyGap >= m.raft.CommitIndex()", "true", []string{"./tests/simulation", "-run", "TestTwoLostAtOnce"}, "became a voter with its log", nil},
	{"seats go whoever lives", "internal/controlplane/reseat.go", "return up > voters/2", "return up >= 0", []string{"./internal/controlplane", "-run", "TestReseat"}, "voters would be live", nil},
	{"five voters for good", "internal/controlplane/seats.go", "m.now.Since(m.lead.enough) <= deadMs", "true", []string{"./tests/simulation", "-run", "TestFiveSeats"}, "with four alive for long", nil},
	{"only a leading seed lets join", "internal/controlplane/find.go", "	if t.Founded {", "	if t.Founded && t.Lead == t.Node {", []string{"./tests/simulation", "-run", "TestLeaderReplacedOldSeeds"}, "two leaders were replaced", nil},
	{"killed once, never elected again", "internal/consensus/raft/raft.go", "if now.Since(r.heard) >= r.wait && r.voter(r.id) && !r.leaving {", "if now.Since(r.heard) >= r.wait && r.voter(r.id) && r.hard.Term == 0 {", []string{"./tests/simulation", "-run", "TestAllKilled"}, "all are back for 2 s", nil},
	{"two of five commit", "internal/consensus/raft/replication.go", "at := list[r.voters()/2]", "at := list[min(1, r.voters()/2)]", []string{"./internal/consensus/raft", "-run", "TestChaosOfFive"}, "seed ", nil},
	{"two of five's seats changed at once", "internal/consensus/raft/membership.go", "r.commit < r.first || r.configurations[len(r.configurations)-1].index > r.commit", "false", []string{"./internal/consensus/raft", "-run", "TestChaosOfFive"}, "seed ", nil},
	{"a porter goes by a leader long gone", "internal/controlplane/porter.go", "now.Since(p.heard) > vouchLife", "p.heard < 0", []string{"./tests/simulation", "-run", "TestPorterPasses"}, "after the leader's end", nil},
	{"a porter keeps to itself what it knows", "internal/controlplane/find.go", "\"porter\", 0, p.knows(), p.members", "\"porter\", 0, false, p.members", []string{"./tests/simulation", "-run", "TestPorters"}, "replaced, nobody leads", nil},
	{"founded without listening for a group", "internal/controlplane/find.go", "len(list) < len(m.config.Seeds) && !m.find.still(m.now)", "false", []string{"./tests/simulation", "-run", "TestSeedWiped"}, "two groups", nil},
	{"an agent's last word is taken for its runner's", "internal/controlplane/lead.go", "return now.Since(c.heard) > span || c.silent > span", "return c.quiet(now) > span", []string{"./internal/controlplane", "-run", "TestSilentThenCut"}, "TWICE", nil},
	{"drained starts are kept", "internal/controlplane/health.go", "if never := m.never(); len(never) > 0 {", "if never := m.never(); len(never) > 1<<20 {", []string{"./internal/controlplane", "-run", "TestDraining"}, "is running", nil},
	{"what stands still is left", "internal/controlplane/health.go", "return p.still+m.now.Since(c.heard) > span", "return false", []string{"./internal/controlplane", "-run", "TestStandsStill"}, "the job is running", nil},
	{"a silent runner is taken for dead", "internal/agent/machine.go", "m.now > m.held.Add(deadSlack)", "m.now > m.beaten.Add(deadSlack)", []string{"./internal/controlplane", "-run", "TestDeadRunner"}, "TWICE", nil},
	{"a dead runner is waited for", "internal/agent/machine.go", "	a.PresumedDead = m.dead()\n", "", []string{"./internal/controlplane", "-run", "TestDeadRunner"}, "after the crash the job is running", nil},
	{"both racing changes win", "internal/state/catalog.go", "if current.Version != change.Base {", "if current.Version < change.Base {", []string{"./internal/state", "-run", "TestConcurrentCatalogChanges"}, "want 412", nil},
	{"a gang's failure counts by member", "internal/state/queue_attempts.go", "if attempt != unknownAttempt && counted.LastDefectiveAttempt >= attempt {", "if false {", []string{"./internal/state", "-run", "TestQueueAttempts"}, "counted twice", nil},
	{"any pool will do", "internal/state/queue_jobs.go", "	return r.Pool == j.Terms.Pool\n", "	return r.Pool != \"\"\n", []string{"./internal/state", "-run", "TestQueuePlacement"}, "outside the pool", nil},
	{"times begin early", "internal/state/repeat.go", "if dueAt > s.Now {", "if dueAt > s.Now+5000 {", []string{"./internal/state", "-run", "TestRepeatedJob"}, "is running, want waiting", nil},
	{"progress of another task", "internal/state/checkpoints.go", "	j.Task(lease.Task).Checkpoint = data\n", "	j.Steps[lease.Task.Step][1].Checkpoint = data\n", []string{"./internal/state", "-run", "TestCheckpoints"}, "saved", nil},
	{"late work first", "internal/scheduler/queues.go", "for want := onTime; want <= tooLate; want++ {", "for want := tooLate; want >= onTime; want-- {", []string{"./internal/scheduler", "-run", "TestTimelyJobsFirst"}, "want q/first", nil},
	{"answers to replaced polls are nothing", "internal/agent/machine.go", "		m.stale(r)\n", "", []string{"./internal/agent", "-run", "TestReplacedPoll"}, "held for", nil},
	{"slow runs are left", "internal/controlplane/health.go", "return here > there+there/4+moveCost", "return here > there+1<<40", []string{"./internal/controlplane", "-run", "TestTurnsSlow"}, "turned slow job", nil},
	{"runs named unlike", "internal/state/attempt_lookup.go", "		ref.Job = occurrenceKey(j.Key, 0)", "		_ = occurrenceKey", []string{"./internal/controlplane", "-run", "TestCancelAtOnce"}, "LIMIT", nil},
	{"refused what may be taken", "internal/gateway/requests.go", "c.Method != \"GET\" && (c.lost || c.ask != 0)", "c.Method == \"\"", []string{"./internal/gateway", "-run", "TestOutcomeUnknown"}, "passed on, then out of touch", nil},
	{"torn records taken", "internal/consensus/wal/record.go", "if binary.LittleEndian.Uint32(rec[16:]) != sum(rec) {", "if false {", []string{"./internal/consensus/wal"}, "FAIL", nil},
	{"stopped gate hangs up", "internal/transport/httpserver/serve.go", "return s.http.Shutdown(ctx)", "return s.http.Close()", []string{"./tests/devcluster", "-run", "TestScripts/drill$"}, "the answer in hand broke off", nil},
	{"stopped server hangs up", "internal/transport/httpserver/serve.go", "return s.http.Shutdown(ctx)", "return s.http.Close()", []string{"./internal/transport/httpserver", "-run", "TestStopWaits"}, "past the parting, the request in hand got", nil},
}

// all lists the mutations of every file of this program.
func all() []wound {
	var list []wound
	for _, part := range [][]wound{wounds, agreementMutations, operatorMutations, requestMutations} {
		list = append(list, part...)
	}
	return list
}

func main() {
	only := flag.String("only", "", "only wounds whose name has this in it")
	flag.Parse()
	bad := 0
	for _, w := range all() {
		if !strings.Contains(w.name, *only) {
			continue
		}
		say, ok := try(w)
		fmt.Printf("%-36s %s\n", w.name, say)
		if !ok {
			bad++
		}
	}
	if bad > 0 {
		fmt.Printf("%d wounds went unnoticed\n", bad)
		os.Exit(1)
	}
}

func try(w wound) (say string, ok bool) {
	dir, err := os.MkdirTemp("", "orchidward-break")
	if err != nil {
		return err.Error(), false
	}
	defer os.RemoveAll(dir)
	if out, err := exec.Command("sh", "-c", "git ls-files -z | xargs -0 cp --parents -t "+dir).CombinedOutput(); err != nil {
		return string(out), false
	}
	for _, e := range append([]edit{{w.file, w.old, w.new}}, w.also...) {
		path := filepath.Join(dir, e.file)
		text, err := os.ReadFile(path)
		if err != nil {
			return err.Error(), false
		}
		if strings.Count(string(text), e.old) != 1 {
			return "the place to break is not there, or there twice: " + e.old, false
		}
		if err = os.WriteFile(path, []byte(strings.Replace(string(text), e.old, e.new, 1)), 0o644); err != nil {
			return err.Error(), false
		}
	}
	cmd := exec.Command("go", append([]string{"test", "-count=1", "-timeout", "120s"}, w.args...)...)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	if err == nil {
		return "UNNOTICED", false
	}
	for _, line := range strings.Split(string(out), "\n") {
		if strings.Contains(line, w.want) {
			line = strings.TrimSpace(line)
			return "noticed: " + line[:min(len(line), 120)], true
		}
	}
	return "failed, but not by " + w.want + ": " + tail(string(out)), false
}

func tail(text string) string { return text[max(0, len(text)-300):] }

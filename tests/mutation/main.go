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
	return []string{"./tests/simulation/scenarios", "-run", "TestFaultSequences/^(" + name + ")"}
}

var wounds = []wound{
	{"fence never goes up (zone)", "internal/state/drain_scope.go", "runner.cordonedBy = id", "runner.cordonedBy = \"\"", trial("domain_drained"), "P2 at", nil},
	{"fence never goes up (leaving)", "internal/state/drain_scope.go", "runner.cordonedBy = id", "runner.cordonedBy = \"\"", trial("racks"), "P1 at", []edit{
		{"internal/controlplane/runner_polls.go", "case !contact.running[lease.ID] && !contact.draining && runner.CordonedBy() == \"\":", "case !contact.running[lease.ID]:"}, {"internal/controlplane/scheduling.go", "contact.hasPolled && !contact.draining &&", "contact.hasPolled &&"}}},
	{"re-placed before the grant is over", "internal/controlplane/runner_contact.go", "return now.Since(c.lastHeard) > lease+lease/10+runnerLapseMargin", "return now.Since(c.lastHeard) > 3000", trial("half|steps"), "P3 at", nil},
	{"runner ignores its grant", "internal/runner/runner.go", "lapsed := r.now.Since(r.polls.contact) > r.polls.lease", "lapsed := false", []string{"./tests/simulation/scenarios", "-run", "TestRunnersCutOff"}, "P3 at", nil},
	{"steps in any order", "internal/state/job.go", "if j.Spec.Steps[i].Name == name && !j.stepSucceeded(i) {", "if j.Spec.Steps[i].Name == name && j.stepCounts[i].succeeded < 0 {", trial("steps"), "P4 at", nil},
	{"appointed times ignored", "internal/state/submit.go", "	return spec.NotBefore\n", "	return 0\n", trial("steps"), "P4 at", nil},
	{"cluster time believes any clock", "internal/controlplane/cluster_clock.go", "if young && diff > minStep {", "if diff > minStep || diff < -minStep {", []string{"./tests/simulation/scenarios", "-run", "TestClocks"}, "cluster time is off", nil},
	{"defects not counted", "internal/state/row_attempts.go", "	task.Defects++\n", "", trial("half"), "P5 at", nil},
	{"cancel calls nothing back", "internal/state/job_lifecycle.go", "		s.abortTasks(j, RevokeCancelled)\n", "", trial("jobs_cancelled"), "P6 at", nil},
	{"labels ignored", "internal/scheduler/feasibility/pack.go", "		if !slices.Contains(have, label) {\n			return false", "		if !slices.Contains(have, label) {\n			return true", trial("little"), "P7 at", nil},
	{"room ignored", "internal/api/job/demand.go", "return d.CPU() <= room.CPU() && d.Mem <= room.Mem && d.GPUs <= room.GPUs", "return true", []string{"./internal/state", "./internal/scheduler"}, "unsound placements", nil},
	{"partners left alone", "internal/state/lease_lifecycle.go", "if partner.RevokeReason == \"\" {", "if partner.RevokeReason == \"never\" {", []string{"./internal/state", "-run", "TestGangIsRevokedAndPlacedTogether"}, "goes on alone", nil},
	{"finished while work runs", "internal/state/job_lifecycle.go", "if j.EndState != \"\" || j.openLeases > 0 || j.Spec.Repeat != nil && !j.occurrencesDone() {", "if j.EndState != \"\" {", []string{"./internal/state", "-run", "TestLateEndOfLostLease"}, "job a/x is well, want running", nil},
	{"committed without a quorum", "internal/consensus/raft/replication.go", "quorumMatch := matches[r.voterCount()/2]", "quorumMatch := matches[0]", []string{"./internal/consensus/raft"}, "seed ", nil},
	{"acknowledged before it is on disk", "internal/consensus/raft/follower.go", "synced := min(match, r.outbox.syncedIndex)", "synced := match", []string{"./tests/simulation/scenarios", "-run", "TestAckIsOnDisk"}, "P9 at", nil},
	{"stale bases win", "internal/api/limits/table.go", "if at > c.Base && (c.Whole || c.names(name)) {", "if at > c.Base && at == 0 {", trial("limits"), "P10 at", nil},
	{"no election", "internal/consensus/raft/tick.go", "if r.timer.expired(now) && r.isVoter(r.id) && !r.leaving {", "if r.timer.expired(now) && r.isVoter(r.id) && r.hardState.Term == 0 {", trial("a_domain"), "P11 at", nil},
	{"woken gate decides", "internal/gateway/gateway.go", "return g.routing.rules != nil && now.Since(g.sync.leaderHeardAt) < LeaderContactTimeout", "return g.routing.rules != nil", []string{"./tests/simulation/scenarios", "-run", "TestResumedGateway"}, "just resumed it answered", []edit{{"internal/gateway/requests.go", "case r.Method != http.MethodGet && g.stalls.Draining(g.now):", "case false:"}}},
	{"leader acts without a lease", "internal/consensus/raft/lease.go", "return r.role == Leader && now.Since(r.quorumAck(now)) < r.timing.LeaseDuration", "return r.role == Leader", []string{"./internal/consensus/raft"}, "lease at once", nil},
	{"older term's entries committed by count", "internal/consensus/raft/replication.go", "quorumMatch > r.commit && term == r.hardState.Term", "quorumMatch > r.commit && term > 0", []string{"./internal/consensus/raft"}, "committed by count", nil},
	{"votes for a shorter log", "internal/consensus/raft/voting.go", "return m.LogTerm > lastTerm || m.LogTerm == lastTerm && m.Index >= r.log.last()", "return lastTerm > 0 || m.LogTerm >= lastTerm", []string{"./internal/consensus/raft"}, "seed ", nil},
	{"two seats changed at once", "internal/consensus/raft/membership.go", "r.commit < r.leadership.termStart || r.lastConfiguration().index > r.commit", "false", []string{"./internal/consensus/raft"}, "seed ", nil},
	{"vote told before it is on disk", "internal/consensus/raft/voting.go", "	r.sendAfterSync(Message{Kind: VoteReply, To: m.From})\n}", "	r.send(Message{Kind: VoteReply, To: m.From})\n}", []string{"./internal/consensus/raft"}, "before the sync", nil},
	{"young process helps to elect", "internal/consensus/raft/voting.go", "if r.now.Since(r.startedAt) < r.timing.ElectionTimeout {", "if false {", []string{"./internal/consensus/raft"}, "helped to elect another", nil},
	{"members go on without word", "internal/runner/runner.go", "case lapsed || running.GangLease > 0 && r.now.Since(running.gangComplete) > running.GangLease:", "case lapsed:", []string{"./tests/simulation/scenarios", "-run", "TestIncompleteGang"}, "in part for", nil},
	{"silence not doubted", "internal/controlplane/leader.go", "	s.revokeSilentGangs()\n", "", []string{"./tests/simulation/scenarios", "-run", "TestIncompleteGang"}, "in part for", nil},
	{"clocks need not agree", "internal/controlplane/cluster_clock.go", "low := clock.ClusterTime(agreementWindow + 1)", "low := clock.ClusterTime(1 << 40)", []string{"./tests/simulation/scenarios", "-run", "TestClocks"}, "cluster time is off", nil},
	{"starts appointed by an unset time", "internal/controlplane/requests.go", "if spec.HasStartTime() && !s.leader.clock.canAppoint", "if false && !s.leader.clock.canAppoint", []string{"./tests/simulation/scenarios", "-run", "TestDisagreeingClocks"}, "P4 at", nil},
	{"time set back by a late entry", "internal/controlplane/cluster_clock.go", "t.clock = newClusterClock(applied, arrivedAt)", "t.clock = newClusterClock(applied, max(arrivedAt, now))", []string{"./tests/simulation/scenarios", "-run", "TestLateEntry"}, "cluster time is off", nil},
	{"level raised by most", "internal/controlplane/levels.go", "if status.SilentFor > levelSilentLimit || status.Level <= s.state.Level {", "if status.SilentFor > levelSilentLimit {", []string{"./tests/simulation/scenarios", "-run", "TestUpgrade"}, "upgraded, the level is", []edit{{"internal/controlplane/levels.go", "to = min(to, status.Level)", ""}}},
	{"unknown entries read as empty", "internal/state/commands.go", "	d.DisallowUnknownFields()\n", "", []string{"./tests/simulation/scenarios", "-run", "TestUnknownEntry"}, "went on past an entry", nil},
	{"books not compared", "internal/controlplane/levels.go", "if !ok || checksum == command.Checksum {", "if !ok || checksum > 0 || checksum == command.Checksum {", []string{"./tests/simulation/scenarios", "-run", "TestStateDivergence"}, "its state diverged", nil},
	{"an old version joins", "internal/controlplane/membership.go", "if body.Level < s.state.Level {", "if false {", []string{"./tests/simulation/scenarios", "-run", "TestOldVersionRejected"}, "an old version joined", nil},
	{"torn tail keeps its time", "internal/controlplane/cluster_clock.go", "truncatedFrom > 0 && t.arrivals", "truncatedFrom < 0 && t.arrivals", []string{"./internal/controlplane", "-run", "TestArrivalOfReplacedEntries"}, "arrived at 1000", nil},
	{"an overtaken draft is finished", "internal/consensus/wal/snapshot_writer.go", "if w.snapshot.Index <= l.snapshotIndex {", "if w.snapshot.Index == 0 {", []string{"./internal/consensus/wal"}, "TestSnapshotWriter", nil},
	{"a gate is asked for a seat", "internal/controlplane/discovery.go", "if announcement.Role != wire.RoleServer {", "if false {", []string{"./tests/simulation/membership", "-run", "TestEveryAddress"}, "nobody leads", nil},
	{"an unknown leader gets no answer", "internal/controlplane/apply.go", "case msg.To == s.leaderLink.hint.id:", "case msg.To == 0:", []string{"./tests/simulation/membership", "-run", "TestEveryAddress"}, "members:", nil},
	{"late answers start work", "internal/runner/polls.go", "if seq != r.polls.seq || r.now.Since(sentAt) > response.StartTimeout ||", "if", []string{"./internal/runner"}, "after its poll", nil},
	{"grants begin again", "internal/runner/attempts.go", "if _, used := attempts.used[order.Lease]; used || attempts.running[order.Lease] != nil {", "if attempts.running[order.Lease] != nil {", []string{"./internal/runner"}, "used leases started again", nil},
	{"tables slide back", "internal/routing/replica.go", "if t.Epoch <= r.epoch {", "if t.Epoch == 0 {", []string{"./internal/gateway"}, "the table slid back", nil},
	{"given up and held back", "internal/gateway/gateway.go", "for _, id := range g.requests.ids() {\n		g.fail(id, codeOutOfTouch", "for _, id := range g.requests.ids()[:0] {\n		g.fail(id, codeOutOfTouch", []string{"./internal/gateway"}, "of budget left", nil},
	{"clock stands still in sleep", "internal/clock/system.go", "const source = unix.CLOCK_BOOTTIME", "const source = unix.CLOCK_MONOTONIC", []string{"./internal/clock"}, "does not count suspend", nil},
	{"step not held to its stage", "internal/state/drain_stages.go", "if drain == nil || drain.Stage != command.From {", "if drain == nil {", []string{"./internal/state", "-run", "TestSuspendedUntilDrainEnds"}, "a step from a stage long past", nil},
	{"a silent seat is kept long", "internal/controlplane/membership.go", "voterSilentLimit = 2000", "voterSilentLimit = 10000", []string{"./tests/simulation/membership", "-run", "TestLossesInTurn"}, "nobody leads", nil},
	{"three voters on a larger site", "internal/controlplane/membership.go", "maxVoters = 5", "maxVoters = 3", []string{"./tests/simulation/membership", "-run", "TestTwoLostAtOnce|TestDomainLost"}, "nobody leads", nil},
	{"seats regardless of zones", "internal/controlplane/membership_plan.go", "p.votersByDomain[member.Domain] < p.votersByDomain[p.readyLearner.Domain]", "member.ID < p.readyLearner.ID", []string{"./tests/simulation/membership", "-run", "TestFiveVoters|TestDomainLost"}, "by domain map", []edit{{"internal/controlplane/membership_plan.go", "p.votersByDomain[p.readyLearner.Domain]+1", "99"}}},
	{"a lagging learner votes", "internal/controlplane/membership.go", "status.Match >= s.raft.TermStart() && status.Match+caughtUpGap >= s.raft.CommitIndex()", "true", []string{"./tests/simulation/membership", "-run", "TestTwoLostAtOnce"}, "became a voter with its log", nil},
	{"seats go whoever lives", "internal/controlplane/membership_plan.go", "return liveVoters > voters/2", "return liveVoters >= 0", []string{"./internal/controlplane", "-run", "TestMembershipPlan"}, "voters would be live", nil},
	{"five voters for good", "internal/controlplane/membership.go", "s.now.Since(s.leader.maxVotersLiveAt) <= memberDeadAfter", "true", []string{"./tests/simulation/membership", "-run", "TestFiveVoters"}, "with four alive for long", nil},
	{"only a leading seed lets join", "internal/controlplane/discovery.go", "	if announcement.Founded {", "	if announcement.Founded && announcement.LeaderID == announcement.Node {", []string{"./tests/simulation/membership", "-run", "TestLeaderReplacedOldSeeds"}, "two leaders were replaced", nil},
	{"killed once, never elected again", "internal/consensus/raft/tick.go", "if r.timer.expired(now) && r.isVoter(r.id) && !r.leaving {", "if r.timer.expired(now) && r.isVoter(r.id) && r.hardState.Term == 0 {", []string{"./tests/simulation/membership", "-run", "TestAllKilled"}, "all are back for 2 s", nil},
	{"two of five commit", "internal/consensus/raft/replication.go", "quorumMatch := matches[r.voterCount()/2]", "quorumMatch := matches[min(1, r.voterCount()/2)]", []string{"./internal/consensus/raft", "-run", "TestChaosFiveVoters"}, "seed ", nil},
	{"two of five's seats changed at once", "internal/consensus/raft/membership.go", "r.commit < r.leadership.termStart || r.lastConfiguration().index > r.commit", "false", []string{"./internal/consensus/raft", "-run", "TestChaosFiveVoters"}, "seed ", nil},
	{"a porter goes by a leader long gone", "internal/controlplane/forwarder_node.go", "now.Since(f.vouchedAt) > leaderHintTTL", "f.vouchedAt < 0", []string{"./tests/simulation/membership", "-run", "TestDisklessServerForwards"}, "after the leader's end", nil},
	{"a porter keeps to itself what it knows", "internal/controlplane/forwarder_node.go", "announcement.Founded = f.knowsGroup()", "announcement.Founded = false", []string{"./tests/simulation/membership", "-run", "TestDisklessServers"}, "replaced, nobody leads", nil},
	{"founded without listening for a group", "internal/controlplane/discovery.go", "!everySeed && !s.discovery.quietLongEnough(s.now)", "everySeed && false", []string{"./tests/simulation/membership", "-run", "TestSeedWiped"}, "two groups", nil},
	{"an agent's last word is taken for its runner's", "internal/controlplane/runner_contact.go", "return now.Since(c.lastHeard) > span || c.silentBefore > span", "return c.silentFor(now) > span", []string{"./internal/controlplane", "-run", "TestIsolatedRunnerKeepsLease"}, "TWICE", nil},
	{"drained starts are kept", "internal/controlplane/runner_health.go", "if never := s.neverStarted(); len(never) > 0 {", "if never := s.neverStarted(); len(never) > 1<<20 {", []string{"./internal/controlplane", "-run", "TestNoStartOnDrainingRunner"}, "is running", nil},
	{"what stands still is left", "internal/controlplane/runner_health.go", "return p.stalledFor+s.now.Since(c.lastHeard) > span", "return span < 0", []string{"./internal/controlplane", "-run", "TestStalledRuns"}, "are left on the stalled runner", nil},
	{"a silent runner is taken for dead", "internal/agent/heartbeats.go", "now > r.leaseEnd.Add(deadSlack)", "now > r.heardAt.Add(deadSlack)", []string{"./internal/controlplane", "-run", "TestDeadRunnerWorkRestarted"}, "TWICE", nil},
	{"a dead runner is waited for", "internal/agent/polls.go", "		PresumedDead: a.runner.presumedDead(a.now),\n", "", []string{"./internal/controlplane", "-run", "TestDeadRunnerWorkRestarted"}, "after the crash the job is running", nil},
	{"both racing changes win", "internal/state/catalog.go", "if current.Version != change.Base {", "if current.Version < change.Base {", []string{"./internal/state", "-run", "TestConcurrentCatalogChanges"}, "want 412", nil},
	{"a gang's failure counts by member", "internal/state/queue_attempts.go", "if attempt != unknownAttempt && counted.LastDefectiveAttempt >= attempt {", "if false {", []string{"./internal/state", "-run", "TestQueueAttempts"}, "counted twice", nil},
	{"any pool will do", "internal/state/queue_jobs.go", "	return r.Pool == j.Terms.Pool\n", "	return r.Pool != \"\"\n", []string{"./internal/state", "-run", "TestQueuePlacement"}, "outside the pool", nil},
	{"times begin early", "internal/state/repeat.go", "if dueAt > s.Now {", "if dueAt > s.Now+5000 {", []string{"./internal/state", "-run", "TestRepeatedJob"}, "is running, want waiting", nil},
	{"progress of another task", "internal/state/checkpoints.go", "	j.Task(lease.Task).Checkpoint = data\n", "	j.Steps[lease.Task.Step][1].Checkpoint = data\n", []string{"./internal/state", "-run", "TestCheckpoints"}, "saved", nil},
	{"late work first", "internal/scheduler/queues.go", "for want := onTime; want <= tooLate; want++ {", "for want := tooLate; want >= onTime; want-- {", []string{"./internal/scheduler", "-run", "TestTimelyJobsFirst"}, "want q/first", nil},
	{"answers to replaced polls are nothing", "internal/agent/polls.go", "		a.handleReplacedPoll(r)\n", "", []string{"./internal/agent", "-run", "TestReplacedPollRenewsLease"}, "held for", nil},
	{"slow runs are left", "internal/controlplane/runner_health.go", "return here > there+there/4+minMoveGain", "return here > there+1<<40", []string{"./internal/controlplane", "-run", "TestSlowRunnerAvoided"}, "turned slow job", nil},
	{"runs named unlike", "internal/state/attempt_lookup.go", "		ref.Job = occurrenceKey(j.Key, 0)", "		_ = occurrenceKey", []string{"./internal/controlplane", "-run", "TestCancelDuringStart"}, "LIMIT", nil},
	{"refused what may be taken", "internal/gateway/requests.go", "r.Method != http.MethodGet && (r.outcomeUnknown || r.attempt != 0)", "r.Method == \"\"", []string{"./internal/gateway", "-run", "TestUnknownOutcomeIsTimeout"}, "passed on, then out of touch", nil},
	{"torn records taken", "internal/consensus/wal/record.go", "if binary.LittleEndian.Uint32(record[checksumOffset:]) != recordChecksum(record) {", "if false {", []string{"./internal/consensus/wal"}, "FAIL", nil},
	{"stopped gate hangs up", "internal/transport/httpserver/server.go", "return s.http.Shutdown(ctx)", "return s.http.Close()", []string{"./tests/devcluster", "-run", "TestScripts/drill$"}, "the response in flight broke off", nil},
	{"stopped server hangs up", "internal/transport/httpserver/server.go", "return s.http.Shutdown(ctx)", "return s.http.Close()", []string{"./internal/transport/httpserver", "-run", "TestStopWaitsForInFlight"}, "past the drain delay, the request in flight got", nil},
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

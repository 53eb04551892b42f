package main

// operatorMutations break how operators' changes and orders are taken.
var operatorMutations = []wound{
	{"accepted changes are soon forgotten", "internal/api/catalog/dedup.go", "dedupMost = 4096", "dedupMost = 64", []string{"./internal/state", "-run", "TestResendAfterADay"}, "was refused with", nil},
	{"forgotten changes are refused", "internal/state/queue.go", "if was.MayHaveForgotten(c) {", "if false {", []string{"./internal/state", "-run", "TestForgottenChange"}, "sent again: 412", nil},
	{"any old number may have been taken", "internal/api/catalog/dedup.go", "return ch.Base < ch.Version && ch.Version <= d.Horizon", "return ch.Version <= d.Horizon", []string{"./internal/state", "-run", "TestForgottenChange"}, "a number not above its own base: 504", nil},
	{"a patch passes for a whole catalogue", "internal/api/catalog/dedup.go", "	return kindPatch\n", "	return kindReplace\n", []string{"./internal/state", "-run", "TestSameTextOtherVerb"}, "two operators were confirmed under one number", nil},
	{"accepted changes are forgotten by the raise", "internal/api/catalog/catalog.go", "newDedup(c.LegacyRecords)", "newDedup(nil)", []string{"./internal/state", "-run", "TestDedupRaised"}, "sent again got 412", nil},
	{"a resend is taken for another change", "internal/state/queue.go", "	if was.Has(c) {", "	if false {", []string{"./tests/simulation/register", "-run", "TestRegisterHistories"}, "no register answers so", nil},
	{"one number confirmed for any content", "internal/api/catalog/dedup.go", "return known == makeDigest(ch.kind(), ch.Checksum) ||", "return true ||", []string{"./tests/simulation/register", "-run", "TestRegisterHistories"}, "no register answers so", nil},
	{"the memory of changes is not in views", "internal/api/catalog/catalog.go", "`json:\"dedup,omitempty\"`", "`json:\"-\"`", []string{"./tests/simulation/register", "-run", "TestRegisterHistories"}, "no register answers so", nil},
	{"a resend is refused by a whole site", "internal/state/queue.go", "	if was.Has(c) {", "	if false {", []string{"./tests/simulation/register", "-run", "TestRegisterExchange"}, "no register answers so", nil},
	{"given up, and said not to be taken", "internal/gateway/requests.go", "r.Method != http.MethodGet && (r.outcomeUnknown || r.attempt != 0)", "r.Method == \"\"", []string{"./tests/simulation/register", "-run", "TestRegisterExchange"}, "no register answers so", nil},
	{"a cancel holds no id back", "internal/state/jobs.go", "return b.holdBack(c.Key)", "return refuse(404, \"no-job\", \"no such job\")", []string{"./internal/state", "-run", "TestCancelArrivals"}, "cancelled, and the job runs", nil},
	{"an id is held back for good", "internal/state/idhold.go", "return max(0, clock.Millis(b.Tombstones[i].Until-b.Now))", "return idHoldSpan + clock.Millis(i-i)", []string{"./internal/state", "-run", "TestIDHeldBack"}, "want 201", nil},
	{"reopening finds an old closing", "internal/state/duty.go", "if b.Level >= ResendLevel && c != nil && !c.Stage.Reopening() && one.Stage.Reopening() {", "if false {", []string{"./internal/state", "-run", "TestReopenWithinAMoment"}, "stays closed", nil},
	{"a copy begins a closing of the same id again", "internal/state/apply.go", "if c.ID != \"\" && b.Drains[c.ID] != nil {", "if c.ID != \"\" && b.Drains[c.ID] != nil && !b.Drains[c.ID].Stage.Leaving() {", []string{"./internal/state", "-run", "TestClosingArrivals"}, "closed is true, want false", nil},
	{"unread parts of a patch are dropped", "platform/config.go", "out.Rest = upsert.beyond(remove)", "_ = upsert.beyond(remove)", []string{"./platform", "-run", "TestPatchesDiffer"}, "one and the same change", nil},
}

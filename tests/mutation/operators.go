package main

// operatorMutations break how operators' changes and orders are taken.
var operatorMutations = []wound{
	{"accepted changes are soon forgotten", "internal/api/catalog/dedup.go", "maxRecords = 4096", "maxRecords = 64", []string{"./internal/state", "-run", "TestCatalogResendAfterOneDay"}, "was refused with", nil},
	{"forgotten changes are refused", "internal/state/catalog.go", "if current.MayHaveForgotten(change) {", "if false {", []string{"./internal/state", "-run", "TestForgottenCatalogChange"}, "sent again: 412", nil},
	{"any old number may have been taken", "internal/api/catalog/dedup.go", "return change.Base < change.Version && change.Version <= d.Horizon", "return change.Version <= d.Horizon", []string{"./internal/state", "-run", "TestForgottenCatalogChange"}, "a number not above its own base: 504", nil},
	{"a patch passes for a whole catalogue", "internal/api/catalog/dedup.go", "	return kindPatch\n", "	return kindReplace\n", []string{"./internal/state", "-run", "TestSameTextOtherMethod"}, "two operators were confirmed under one number", nil},
	{"accepted changes are forgotten by the raise", "internal/api/catalog/catalog.go", "newDedup(c.LegacyRecords)", "newDedup(nil)", []string{"./internal/state", "-run", "TestRaiseToResendLevel"}, "sent again got 412", nil},
	{"a resend is taken for another change", "internal/state/catalog.go", "	if current.Has(change) {", "	if false {", []string{"./tests/simulation/register", "-run", "TestRegisterHistories"}, "no register answers so", nil},
	{"one number confirmed for any content", "internal/api/catalog/dedup.go", "return known == newDigest(change.kind(), change.Checksum) ||", "return true ||", []string{"./tests/simulation/register", "-run", "TestRegisterHistories"}, "no register answers so", nil},
	{"the memory of changes is not in views", "internal/api/catalog/catalog.go", "`json:\"dedup,omitempty\"`", "`json:\"-\"`", []string{"./tests/simulation/register", "-run", "TestRegisterHistories"}, "no register answers so", nil},
	{"a resend is refused by a whole site", "internal/state/catalog.go", "	if current.Has(change) {", "	if false {", []string{"./tests/simulation/register", "-run", "TestRegisterExchange"}, "no register answers so", nil},
	{"given up, and said not to be taken", "internal/gateway/requests.go", "r.Method != http.MethodGet && (r.outcomeUnknown || r.attempt != 0)", "r.Method == \"\"", []string{"./tests/simulation/register", "-run", "TestRegisterExchange"}, "no register answers so", nil},
	{"a cancel holds no id back", "internal/state/job_lifecycle.go", "return s.rejectUnknownCancel(command.Key)", "return rejected(http.StatusNotFound, codeNoJob, \"no such job\")", []string{"./internal/state", "-run", "TestCancelOrders"}, "cancelled, and the job runs", nil},
	{"an id is held back for good", "internal/state/tombstones.go", "return max(0, clock.Millis(s.Tombstones[i].Until-s.Now))", "return tombstoneLifetime + clock.Millis(i-i)", []string{"./internal/state", "-run", "TestTombstones"}, "want 201", nil},
	{"reopening finds an old closing", "internal/state/drain_requests.go", "if s.Level >= ResendLevel && found != nil && !found.Stage.Reopening() && candidate.Stage.Reopening() {", "if false {", []string{"./internal/state", "-run", "TestEndDrainWithinOneMillisecond"}, "stays closed", nil},
	{"a copy begins a closing of the same id again", "internal/state/drain_requests.go", "if command.ID != \"\" && s.Drains[command.ID] != nil {", "if command.ID != \"\" && s.Drains[command.ID] != nil && !s.Drains[command.ID].Stage.Reopening() {", []string{"./internal/state", "-run", "TestDrainRequestOrders"}, "closed is true, want false", nil},
	{"unread parts of a patch are dropped", "platform/config_translation.go", "out.Rest = upsert.unknownParts(remove)", "_ = upsert.unknownParts(remove)", []string{"./platform", "-run", "TestPatchesDiffer"}, "one and the same change", nil},
}

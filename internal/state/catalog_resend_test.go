package state

import (
	"fmt"
	"net/http"
	"testing"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/jsondoc"
)

// changesPerDay is the number of catalogue changes per day at the size that the system is
// designed for.
const changesPerDay = 1200

const (
	// minRememberedChanges is the minimum number of accepted changes that are remembered.
	minRememberedChanges = 4096
	// maxMemoryBytes bounds the size of the remembered changes in a snapshot.
	maxMemoryBytes = 128 << 10
)

// newChange returns an operator's change from one version to another.
func newChange(t *testing.T, base, version uint64) *catalog.Change {
	t.Helper()
	var faults jsondoc.FieldErrors
	text := fmt.Sprintf(`{"base":%d,"version":%d,"put":{"pools":[{"name":"x"}]}}`, base, version)
	change := catalog.ReadPatch([]byte(text), &faults)
	if faults.Any() {
		t.Fatal(faults.List)
	}
	return change
}

// acceptChanges advances the catalogue from version first to version last.
func (f *fixture) acceptChanges(first, last uint64) {
	f.Helper()
	for version := first + 1; version <= last; version++ {
		f.apply(http.StatusOK, &Command{ChangeCatalog: newChange(f.T, version-1, version)})
	}
}

// resend sends the change from version-1 to version again.
func (f *fixture) resend(version uint64) Result {
	return f.store.Apply(&Command{ChangeCatalog: newChange(f.T, version-1, version)})
}

// TestCatalogResendAfterOneDay checks that a change whose response was lost is
// acknowledged when it is sent again, even after a day of other changes and after the
// store was read from a snapshot.
func TestCatalogResendAfterOneDay(t *testing.T) {
	f := newFixtureAtLevel(t, ResendLevel)
	f.acceptChanges(0, changesPerDay+1)
	for range 2 {
		for version := uint64(1); version <= changesPerDay+1; version++ {
			if r := f.resend(version); r.Status != http.StatusOK {
				t.Fatalf("change %d sent again after %d others was refused with %d %s", version, changesPerDay+1-version, r.Status, r.Code)
			}
		}
		if f.store.Catalog.Version != changesPerDay+1 {
			t.Fatalf("resends changed the version to %d", f.store.Catalog.Version)
		}
		f.reload()
	}
}

// TestForgottenCatalogChange checks that a change older than the remembered ones gets an
// indefinite response, and that no other change does: a change that certainly was not
// accepted is rejected.
func TestForgottenCatalogChange(t *testing.T) {
	const last = minRememberedChanges + 500
	f := newFixtureAtLevel(t, ResendLevel)
	sizeBefore := len(f.store.Encode())
	f.acceptChanges(0, last)
	if size := len(f.store.Encode()) - sizeBefore; size > maxMemoryBytes {
		t.Errorf("the remembered changes take %d bytes of a snapshot, want at most %d", size, maxMemoryBytes)
	}
	horizon := uint64(last - minRememberedChanges)
	for version := uint64(1); version <= last; version++ {
		want := http.StatusOK
		if version <= horizon {
			want = http.StatusGatewayTimeout
		}
		if r := f.resend(version); r.Status != want || want == http.StatusGatewayTimeout && r.Code != "outcome-unknown" {
			t.Fatalf("change %d of %d sent again: %d %s, want %d", version, last, r.Status, r.Code, want)
		}
	}
	for _, rejected := range []struct {
		name          string
		base, version uint64
		want          int
	}{
		{"a remembered version on another base", horizon, horizon + 2, http.StatusPreconditionFailed},
		{"a version never used", horizon, last + 1, http.StatusPreconditionFailed},
		{"a version not above its own base", 5, 5, http.StatusPreconditionFailed},
		{"a version below its own base", 9, 5, http.StatusPreconditionFailed},
		{"an old version on the current base", last, 5, http.StatusUnprocessableEntity},
	} {
		if r := f.store.Apply(&Command{ChangeCatalog: newChange(t, rejected.base, rejected.version)}); r.Status != rejected.want {
			t.Errorf("%s: %d %s, want %d", rejected.name, r.Status, r.Code, rejected.want)
		}
	}
}

// TestRaiseToResendLevel checks that below the level 64 changes are remembered, as in
// earlier versions, and that raising the level keeps the remembered changes. The outcome
// of older changes is then reported as unknown.
func TestRaiseToResendLevel(t *testing.T) {
	const last, rememberedBefore = 100, 64
	f := newFixtureAtLevel(t, CatalogLevel)
	f.acceptChanges(0, last)
	if r := f.resend(last - rememberedBefore); r.Status != http.StatusPreconditionFailed {
		t.Errorf("below the level a forgotten change got %d, want 412 as in earlier versions", r.Status)
	}
	f.apply(0, &Command{RaiseLevel: &RaiseLevel{Level: ResendLevel}})
	for range 2 {
		for version := uint64(1); version <= last; version++ {
			want := http.StatusOK
			if version <= last-rememberedBefore {
				want = http.StatusGatewayTimeout
			}
			if r := f.resend(version); r.Status != want {
				t.Fatalf("after the raise change %d sent again got %d, want %d", version, r.Status, want)
			}
		}
		f.apply(http.StatusPreconditionFailed, &Command{ChangeCatalog: newChange(t, last-10, last-8)})
		f.reload()
	}
	f.acceptChanges(last, last+rememberedBefore+1)
	if r := f.resend(last + 1); r.Status != http.StatusOK {
		t.Errorf("after the raise a change is forgotten after %d others: %d", rememberedBefore, r.Status)
	}

	fewer := newFixtureAtLevel(t, CatalogLevel)
	fewer.acceptChanges(0, rememberedBefore-1)
	fewer.apply(0, &Command{RaiseLevel: &RaiseLevel{Level: ResendLevel}})
	fewer.apply(http.StatusOK, &Command{ChangeCatalog: newChange(t, 0, 1)})
	fewer.apply(http.StatusPreconditionFailed, &Command{ChangeCatalog: newChange(t, 1, 3)})
}

// TestSameTextOtherMethod checks that a text that parses both as a complete catalogue and
// as a patch is treated as two different changes, of which only one is acknowledged.
func TestSameTextOtherMethod(t *testing.T) {
	f := newFixtureAtLevel(t, ResendLevel)
	f.acceptChanges(0, 3)
	var faults jsondoc.FieldErrors
	text := []byte(`{"base":3,"version":4}`)
	replace := catalog.ReadWhole(text, &faults)
	patch := catalog.ReadPatch(text, &faults)
	f.apply(http.StatusOK, &Command{ChangeCatalog: patch})
	if r := f.store.Apply(&Command{ChangeCatalog: replace}); r.Status == http.StatusOK {
		t.Error("two changes were acknowledged under one version: a patch, and a whole catalogue of the same text")
	}
	f.apply(http.StatusOK, &Command{ChangeCatalog: patch})
}

// TestChangeAheadOfItsBase checks that a change based on a version that is not in force
// yet is rejected, and that a copy arriving once that version is in force is accepted.
// The store cannot distinguish that copy from a resend, so the copy must be dropped
// before it reaches the store.
func TestChangeAheadOfItsBase(t *testing.T) {
	f := newFixtureAtLevel(t, ResendLevel)
	f.acceptChanges(0, 3)
	ahead := &Command{ChangeCatalog: newChange(t, 4, 5)}
	f.apply(http.StatusPreconditionFailed, ahead)
	f.apply(http.StatusOK, &Command{ChangeCatalog: newChange(t, 3, 4)})
	f.apply(http.StatusOK, ahead)
}

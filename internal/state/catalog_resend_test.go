package state

import (
	"fmt"
	"testing"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/jsondoc"
)

// changesPerDay is how many changes a day brings at the size designed for.
const changesPerDay = 1200

// minRememberedChanges is how many accepted changes are remembered at least, and
// maxMemoryBytes what that memory may take in a view.
const (
	minRememberedChanges = 4096
	maxMemoryBytes       = 128 << 10
)

// newChange is an operator's change from one version to another.
func newChange(t *testing.T, base, version uint64) *catalog.Change {
	var c *catalog.Change
	t.Helper()
	var faults jsondoc.FieldErrors
	text := fmt.Sprintf(`{"base":%d,"version":%d,"put":{"pools":[{"name":"x"}]}}`, base, version)
	if c = catalog.ReadPatch([]byte(text), &faults); faults.Any() {
		t.Fatal(faults.List)
	}
	return c
}

// acceptChanges takes the catalogue from version first to version last.
func (f *fixture) acceptChanges(first, last uint64) {
	f.Helper()
	for version := first + 1; version <= last; version++ {
		f.apply(200, &Command{ChangeCatalog: newChange(f.T, version-1, version)})
	}
}

// resend sends the change from version-1 to version again.
func (f *fixture) resend(version uint64) Result {
	return f.store.Apply(&Command{ChangeCatalog: newChange(f.T, version-1, version)})
}

func newFixtureAtLevel(t *testing.T, level uint16) *fixture {
	f := newFixture(t, `{"a.weight":1}`)
	f.store.Level = level
	return f
}

// TestCatalogResendAfterOneDay: a change whose answer was lost is acknowledged when it is
// sent again, however many others a day has brought since; also from a view.
func TestCatalogResendAfterOneDay(t *testing.T) {
	f := newFixtureAtLevel(t, ResendLevel)
	f.acceptChanges(0, changesPerDay+1)
	for pass := 0; pass < 2; pass++ {
		for version := uint64(1); version <= changesPerDay+1; version++ {
			if r := f.resend(version); r.Status != 200 {
				t.Fatalf("change %d sent again after %d others was refused with %d %s", version, changesPerDay+1-version, r.Status, r.Code)
			}
		}
		if f.store.Catalog.Version != changesPerDay+1 {
			t.Fatalf("resends changed the version to %d", f.store.Catalog.Version)
		}
		f.reload()
	}
}

// reload goes on with the book read back from its own view.
func (f *fixture) reload() {
	f.Helper()
	back, err := Decode(f.store.Encode())
	if err != nil {
		f.Fatal(err)
	}
	f.store = back
}

// TestForgottenCatalogChange: what is older than the memory gets no clear answer, and
// only that: what certainly was not accepted is refused.
func TestForgottenCatalogChange(t *testing.T) {
	const last = minRememberedChanges + 500
	f := newFixtureAtLevel(t, ResendLevel)
	bare := len(f.store.Encode())
	f.acceptChanges(0, last)
	if size := len(f.store.Encode()) - bare; size > maxMemoryBytes {
		t.Errorf("the memory of changes takes %d bytes of a view, want at most %d", size, maxMemoryBytes)
	}
	horizon := uint64(last - minRememberedChanges)
	for version := uint64(1); version <= last; version++ {
		want := 200
		if version <= horizon {
			want = 504
		}
		if r := f.resend(version); r.Status != want || want == 504 && r.Code != "outcome-unknown" {
			t.Fatalf("change %d of %d sent again: %d %s, want %d", version, last, r.Status, r.Code, want)
		}
	}
	for _, never := range []struct {
		name          string
		base, version uint64
		want          int
	}{
		{"a remembered number on another base", horizon, horizon + 2, 412},
		{"a number never used", horizon, last + 1, 412},
		{"a number not above its own base", 5, 5, 412},
		{"a number below its own base", 9, 5, 412},
		{"an old number on the present base", last, 5, 422},
	} {
		if r := f.store.Apply(&Command{ChangeCatalog: newChange(t, never.base, never.version)}); r.Status != never.want {
			t.Errorf("%s: %d %s, want %d", never.name, r.Status, r.Code, never.want)
		}
	}
}

// TestRaiseToResendLevel: below its level the former rule of 64 changes holds; the
// raise takes over what was remembered and knows what was not.
func TestRaiseToResendLevel(t *testing.T) {
	const last, formerMost = 100, 64
	f := newFixtureAtLevel(t, CatalogLevel)
	f.acceptChanges(0, last)
	if r := f.resend(last - formerMost); r.Status != 412 {
		t.Errorf("at the former level a forgotten change got %d, want 412 as before", r.Status)
	}
	f.apply(0, &Command{RaiseLevel: &RaiseLevel{Level: ResendLevel}})
	for pass := 0; pass < 2; pass++ {
		for version := uint64(1); version <= last; version++ {
			want := 200
			if version <= last-formerMost {
				want = 504
			}
			if r := f.resend(version); r.Status != want {
				t.Fatalf("after the raise change %d sent again got %d, want %d", version, r.Status, want)
			}
		}
		f.apply(412, &Command{ChangeCatalog: newChange(t, last-10, last-8)})
		f.reload()
	}
	f.acceptChanges(last, last+formerMost+1)
	if r := f.resend(last + 1); r.Status != 200 {
		t.Errorf("after the raise a change is forgotten after %d others: %d", formerMost, r.Status)
	}

	few := newFixtureAtLevel(t, CatalogLevel)
	few.acceptChanges(0, formerMost-1)
	few.apply(0, &Command{RaiseLevel: &RaiseLevel{Level: ResendLevel}})
	few.apply(200, &Command{ChangeCatalog: newChange(t, 0, 1)})
	few.apply(412, &Command{ChangeCatalog: newChange(t, 1, 3)})
}

// TestSameTextOtherMethod: a text that may be read as a whole catalogue and as a
// patch is two changes; only one of them is confirmed under their number.
func TestSameTextOtherMethod(t *testing.T) {
	f := newFixtureAtLevel(t, ResendLevel)
	f.acceptChanges(0, 3)
	var faults jsondoc.FieldErrors
	text := []byte(`{"base":3,"version":4}`)
	replace, patch := catalog.ReadWhole(text, &faults), catalog.ReadPatch(text, &faults)
	f.apply(200, &Command{ChangeCatalog: patch})
	if r := f.store.Apply(&Command{ChangeCatalog: replace}); r.Status == 200 {
		t.Error("two operators were confirmed under one number: a patch, and a whole catalogue of the same text")
	}
	f.apply(200, &Command{ChangeCatalog: patch})
}

// TestChangeAheadOfItsBase: a change numbered ahead, on a base that is not yet in
// force, is refused, and a copy that arrives after its base is taken. The state
// machine can't tell that copy from a resend: it must be dropped on its way.
func TestChangeAheadOfItsBase(t *testing.T) {
	f := newFixtureAtLevel(t, ResendLevel)
	f.acceptChanges(0, 3)
	ahead := &Command{ChangeCatalog: newChange(t, 4, 5)}
	f.apply(412, ahead)
	f.apply(200, &Command{ChangeCatalog: newChange(t, 3, 4)})
	f.apply(200, ahead)
}

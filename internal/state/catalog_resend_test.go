package state

import (
	"fmt"
	"testing"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/jsondoc"
)

// dayOfChanges is how many changes a day brings at the size designed for.
const dayOfChanges = 1200

// rememberedMost is how many accepted changes are remembered at least, and
// memoryBytesMost what that memory may take in a view.
const (
	rememberedMost  = 4096
	memoryBytesMost = 128 << 10
)

// changeTo is an operator's change from one version to another.
func changeTo(t *testing.T, base, version uint64) *catalog.Change {
	var c *catalog.Change
	t.Helper()
	var f jsondoc.FieldErrors
	text := fmt.Sprintf(`{"base":%d,"version":%d,"put":{"pools":[{"name":"x"}]}}`, base, version)
	if c = catalog.ReadPatch([]byte(text), &f); f.Any() {
		t.Fatal(f.List)
	}
	return c
}

// acceptChanges takes the catalogue from version first to version last.
func (d *desk) acceptChanges(first, last uint64) {
	d.Helper()
	for version := first + 1; version <= last; version++ {
		d.must(200, &Command{ChangeCatalog: changeTo(d.T, version-1, version)})
	}
}

// resend sends the change from version-1 to version again.
func (d *desk) resend(version uint64) Result {
	return d.b.Apply(&Command{ChangeCatalog: changeTo(d.T, version-1, version)})
}

func newDeskAt(t *testing.T, level uint16) *desk {
	d := newDesk(t, `{"a.weight":1}`)
	d.b.Level = level
	return d
}

// TestResendAfterADay: a change whose answer was lost is acknowledged when it is
// sent again, however many others a day has brought since; also from a view.
func TestResendAfterADay(t *testing.T) {
	d := newDeskAt(t, ResendLevel)
	d.acceptChanges(0, dayOfChanges+1)
	for pass := 0; pass < 2; pass++ {
		for version := uint64(1); version <= dayOfChanges+1; version++ {
			if r := d.resend(version); r.Status != 200 {
				t.Fatalf("change %d sent again after %d others was refused with %d %s", version, dayOfChanges+1-version, r.Status, r.Code)
			}
		}
		if d.b.Catalog.Version != dayOfChanges+1 {
			t.Fatalf("resends changed the version to %d", d.b.Catalog.Version)
		}
		d.reload()
	}
}

// reload goes on with the book read back from its own view.
func (d *desk) reload() {
	d.Helper()
	back, err := Decode(d.b.Encode())
	if err != nil {
		d.Fatal(err)
	}
	d.b = back
}

// TestForgottenChange: what is older than the memory gets no clear answer, and
// only that: what certainly was not accepted is refused.
func TestForgottenChange(t *testing.T) {
	const last = rememberedMost + 500
	d := newDeskAt(t, ResendLevel)
	bare := len(d.b.Encode())
	d.acceptChanges(0, last)
	if size := len(d.b.Encode()) - bare; size > memoryBytesMost {
		t.Errorf("the memory of changes takes %d bytes of a view, want at most %d", size, memoryBytesMost)
	}
	horizon := uint64(last - rememberedMost)
	for version := uint64(1); version <= last; version++ {
		want := 200
		if version <= horizon {
			want = 504
		}
		if r := d.resend(version); r.Status != want || want == 504 && r.Code != "outcome-unknown" {
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
		if r := d.b.Apply(&Command{ChangeCatalog: changeTo(t, never.base, never.version)}); r.Status != never.want {
			t.Errorf("%s: %d %s, want %d", never.name, r.Status, r.Code, never.want)
		}
	}
}

// TestDedupRaised: below its level the former rule of 64 changes holds; the
// raise takes over what was remembered and knows what was not.
func TestDedupRaised(t *testing.T) {
	const last, formerMost = 100, 64
	d := newDeskAt(t, CatalogLevel)
	d.acceptChanges(0, last)
	if r := d.resend(last - formerMost); r.Status != 412 {
		t.Errorf("at the former level a forgotten change got %d, want 412 as before", r.Status)
	}
	d.must(0, &Command{RaiseLevel: &RaiseLevel{Level: ResendLevel}})
	for pass := 0; pass < 2; pass++ {
		for version := uint64(1); version <= last; version++ {
			want := 200
			if version <= last-formerMost {
				want = 504
			}
			if r := d.resend(version); r.Status != want {
				t.Fatalf("after the raise change %d sent again got %d, want %d", version, r.Status, want)
			}
		}
		d.must(412, &Command{ChangeCatalog: changeTo(t, last-10, last-8)})
		d.reload()
	}
	d.acceptChanges(last, last+formerMost+1)
	if r := d.resend(last + 1); r.Status != 200 {
		t.Errorf("after the raise a change is forgotten after %d others: %d", formerMost, r.Status)
	}

	few := newDeskAt(t, CatalogLevel)
	few.acceptChanges(0, formerMost-1)
	few.must(0, &Command{RaiseLevel: &RaiseLevel{Level: ResendLevel}})
	few.must(200, &Command{ChangeCatalog: changeTo(t, 0, 1)})
	few.must(412, &Command{ChangeCatalog: changeTo(t, 1, 3)})
}

// TestSameTextOtherVerb: a text that may be read as a whole catalogue and as a
// patch is two changes; only one of them is confirmed under their number.
func TestSameTextOtherVerb(t *testing.T) {
	d := newDeskAt(t, ResendLevel)
	d.acceptChanges(0, 3)
	var f jsondoc.FieldErrors
	text := []byte(`{"base":3,"version":4}`)
	replace, patch := catalog.ReadWhole(text, &f), catalog.ReadPatch(text, &f)
	d.must(200, &Command{ChangeCatalog: patch})
	if r := d.b.Apply(&Command{ChangeCatalog: replace}); r.Status == 200 {
		t.Error("two operators were confirmed under one number: a patch, and a whole catalogue of the same text")
	}
	d.must(200, &Command{ChangeCatalog: patch})
}

// TestCopyAheadOfItsBase: a change numbered ahead, on a base that is not yet in
// force, is refused, and a copy that arrives after its base is taken. The state
// machine can't tell that copy from a resend: it must be dropped on its way.
func TestCopyAheadOfItsBase(t *testing.T) {
	d := newDeskAt(t, ResendLevel)
	d.acceptChanges(0, 3)
	ahead := &Command{ChangeCatalog: changeTo(t, 4, 5)}
	d.must(412, ahead)
	d.must(200, &Command{ChangeCatalog: changeTo(t, 3, 4)})
	d.must(200, ahead)
}

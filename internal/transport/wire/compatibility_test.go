package wire

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// TestFirstVersionFrames reads frames as the first version wrote them, byte for byte, and
// has what this version writes read as the same. The files are never made
// anew: a version that cannot read them cannot run beside the former one.
func TestFirstVersionFrames(t *testing.T) {
	for i, want := range firstVersionMessages() {
		name := filepath.Join("testdata", "frame-1-"+string(rune('a'+i))+".bin")
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		have, err := NewDecoder(bytes.NewReader(text)).Decode()
		if err != nil || !reflect.DeepEqual(have, want) {
			t.Errorf("%s reads as %+v (%v), want %+v", name, have, err, want)
		}
	}
}

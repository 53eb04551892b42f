package wire

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// TestFirstVersionFrames decodes frames as the first version wrote them, byte for byte.
// The files are never made anew: a version that cannot read them cannot run beside the
// first one.
func TestFirstVersionFrames(t *testing.T) {
	for i, want := range firstVersionMessages() {
		name := filepath.Join("testdata", "frame-1-"+string(rune('a'+i))+".bin")
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := NewDecoder(bytes.NewReader(data)).Decode()
		if err != nil || !reflect.DeepEqual(decoded, want) {
			t.Errorf("%s reads as %+v (%v), want %+v", name, decoded, err, want)
		}
	}
}

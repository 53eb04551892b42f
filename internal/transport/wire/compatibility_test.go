package wire

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// TestFirstVersionFrames decodes frames written by the first version. The files must never be
// regenerated: a version that cannot read them cannot run in a cluster together with the first
// version.
func TestFirstVersionFrames(t *testing.T) {
	for i, want := range firstVersionMessages() {
		name := filepath.Join("testdata", "frame-1-"+string(rune('a'+i))+".bin")
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := NewDecoder(bytes.NewReader(data)).Decode()
		if err != nil || !reflect.DeepEqual(decoded, want) {
			t.Errorf("%s decodes to %+v (%v), want %+v", name, decoded, err, want)
		}
	}
}

// Parse turns JSON text into plain values while refusing what encoding/json
// lets pass: doubled keys, data after the value, and nesting without end.

package jsondoc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

const deep = 16

// Parse reads one JSON object. It returns nil, with a fault in f, when the text
// is not valid JSON, has a key twice, is nested deeper than 16 levels, is no
// object, or is followed by other data.
func Parse(text []byte, f *FieldErrors) *Object {
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.UseNumber()
	val, err := read(dec, "", 0)
	if err != nil {
		f.Malformed("", "not JSON: %s", err)
		return nil
	}
	if _, err = dec.Token(); err != io.EOF {
		f.Malformed("", "data after the JSON value")
		return nil
	}
	m, ok := val.(map[string]any)
	if !ok {
		f.Malformed("", "want an object")
		return nil
	}
	return &Object{vals: m, seen: map[string]bool{}, f: f}
}

func read(dec *json.Decoder, path string, depth int) (any, error) {
	if depth > deep {
		return nil, fmt.Errorf("nested deeper than %d at %q", deep, path)
	}
	tok, err := dec.Token()
	if err != nil {
		return nil, err
	}
	switch t := tok.(type) {
	case json.Delim:
		if t == '{' {
			return readMap(dec, path, depth)
		}
		return readList(dec, path, depth)
	default:
		return tok, nil
	}
}

func readMap(dec *json.Decoder, path string, depth int) (any, error) {
	m := map[string]any{}
	for dec.More() {
		tok, err := dec.Token()
		if err != nil {
			return nil, err
		}
		key, ok := tok.(string)
		if !ok {
			return nil, fmt.Errorf("bad key at %q", path)
		}
		if _, dup := m[key]; dup {
			return nil, fmt.Errorf("field given twice: %q", join(path, key))
		}
		if m[key], err = read(dec, join(path, key), depth+1); err != nil {
			return nil, err
		}
	}
	_, err := dec.Token()
	return m, err
}

func readList(dec *json.Decoder, path string, depth int) (any, error) {
	list := []any{}
	for dec.More() {
		one, err := read(dec, fmt.Sprintf("%s[%d]", path, len(list)), depth+1)
		if err != nil {
			return nil, err
		}
		list = append(list, one)
	}
	_, err := dec.Token()
	return list, err
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

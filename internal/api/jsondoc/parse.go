package jsondoc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// maxDepth bounds the nesting of a document.
const maxDepth = 16

// Parse parses a single JSON object. It adds an error and returns nil if the text is not valid
// JSON, has a duplicate key in an object, is nested deeper than 16 levels, is not an object, or
// is followed by other data. encoding/json by itself accepts duplicate keys and deep nesting.
func Parse(text []byte, faults *FieldErrors) *Object {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	value, err := readValue(decoder, "", 0)
	if err != nil {
		faults.Malformed("", "not JSON: %s", err)
		return nil
	}
	if _, err = decoder.Token(); err != io.EOF {
		faults.Malformed("", "data after the JSON value")
		return nil
	}
	values, ok := value.(map[string]any)
	if !ok {
		faults.Malformed("", "want an object")
		return nil
	}
	return newObject(values, "", faults)
}

func readValue(decoder *json.Decoder, path string, depth int) (any, error) {
	if depth > maxDepth {
		return nil, fmt.Errorf("nested deeper than %d at %q", maxDepth, path)
	}
	token, err := decoder.Token()
	if err != nil {
		return nil, err
	}
	delimiter, ok := token.(json.Delim)
	switch {
	case !ok:
		return token, nil
	case delimiter == '{':
		return readObject(decoder, path, depth)
	}
	return readList(decoder, path, depth)
}

func readObject(decoder *json.Decoder, path string, depth int) (any, error) {
	values := map[string]any{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		key, ok := token.(string)
		if !ok {
			return nil, fmt.Errorf("bad key at %q", path)
		}
		if _, given := values[key]; given {
			return nil, fmt.Errorf("field given twice: %q", joinPath(path, key))
		}
		value, err := readValue(decoder, joinPath(path, key), depth+1)
		if err != nil {
			return nil, err
		}
		values[key] = value
	}
	_, err := decoder.Token()
	return values, err
}

func readList(decoder *json.Decoder, path string, depth int) (any, error) {
	list := []any{}
	for decoder.More() {
		element, err := readValue(decoder, elementPath(path, len(list)), depth+1)
		if err != nil {
			return nil, err
		}
		list = append(list, element)
	}
	_, err := decoder.Token()
	return list, err
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

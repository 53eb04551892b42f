package jsondoc

import (
	"encoding/json"
	"maps"
	"slices"

	"orchidward/internal/api/identifier"
)

// Object is a JSON object that is read field by field. Faults are added to the list that
// was given to Parse. A field whose value is null counts as missing.
type Object struct {
	values map[string]any
	// path is the object's own path, empty for the document.
	path string
	// read has the fields that a getter has read.
	read   map[string]bool
	faults *FieldErrors
}

func newObject(values map[string]any, path string, faults *FieldErrors) *Object {
	return &Object{values: values, path: path, read: map[string]bool{}, faults: faults}
}

// Path is the path of a field from the top of the document, for faults.
func (o *Object) Path(key string) string { return joinPath(o.path, key) }

// Errors is the list that the object's faults are added to.
func (o *Object) Errors() *FieldErrors { return o.faults }

// Has tells whether the field is there and not null. It does not count as reading it.
func (o *Object) Has(key string) bool { return o.values[key] != nil }

// Keys lists the fields in alphabetical order, null ones included.
func (o *Object) Keys() []string { return slices.Sorted(maps.Keys(o.values)) }

// Skip counts as reading the field.
func (o *Object) Skip(key string) { o.read[key] = true }

// Done adds a fault for every field that was not read.
func (o *Object) Done() {
	for _, key := range o.Keys() {
		if !o.read[key] {
			o.faults.Malformed(o.Path(key), "unknown field")
		}
	}
}

// take reads the value of a field; ok is false when it is missing.
func (o *Object) take(key string) (value any, ok bool) {
	o.read[key] = true
	value = o.values[key]
	return value, value != nil
}

// Text reads a string, or returns def when the field is missing or, with a fault, of
// another type.
func (o *Object) Text(key, def string) string {
	value, ok := o.take(key)
	if !ok {
		return def
	}
	text, ok := value.(string)
	if !ok {
		o.faults.Malformed(o.Path(key), "want a string")
		return def
	}
	return text
}

// Name reads a string that must be a valid name. It is a fault to leave out a required one.
func (o *Object) Name(key string, required bool) string {
	text := o.Text(key, "")
	if !o.Has(key) && !required {
		return ""
	}
	if _, isString := o.values[key].(string); o.Has(key) && !isString {
		return ""
	}
	if !identifier.ValidName(text) {
		o.faults.Invalid(o.Path(key), "want a name of 1 to 64 letters, digits, '.', '-' or '_'")
	}
	return text
}

// OneOf reads one of a few words, or returns def with a fault when it is none of them. A
// missing field counts as def, so that it is a fault when def is none of the words.
func (o *Object) OneOf(key, def string, words ...string) string {
	text := o.Text(key, def)
	if slices.Contains(words, text) {
		return text
	}
	o.faults.Invalid(o.Path(key), "want one of %v", words)
	return def
}

// Bool reads true or false, or returns def when the field is missing or, with a fault, of
// another type.
func (o *Object) Bool(key string, def bool) bool {
	value, ok := o.take(key)
	if !ok {
		return def
	}
	truth, ok := value.(bool)
	if !ok {
		o.faults.Malformed(o.Path(key), "want true or false")
		return def
	}
	return truth
}

// Int reads a whole number from low to high, or returns def when the field is missing or,
// with a fault, not such a number. def itself is not checked.
func (o *Object) Int(key string, def, low, high int64) int64 {
	value, ok := o.take(key)
	if !ok {
		return def
	}
	return o.wholeNumber(value, o.Path(key), def, low, high)
}

// wholeNumber checks a value that must be a whole number from low to high.
func (o *Object) wholeNumber(value any, path string, def, low, high int64) int64 {
	number, ok := value.(json.Number)
	if !ok {
		o.faults.Malformed(path, "want a whole number")
		return def
	}
	n, err := number.Int64()
	if err != nil {
		if _, floatErr := number.Float64(); floatErr == nil && !onlyDigits(string(number)) {
			o.faults.Malformed(path, "want a whole number")
			return def
		}
		o.faults.Invalid(path, "number out of range, want %d to %d", low, high)
		return def
	}
	if n < low || n > high {
		o.faults.Invalid(path, "want %d to %d", low, high)
		return def
	}
	return n
}

// onlyDigits tells whether a JSON number has neither a point nor an exponent.
func onlyDigits(number string) bool {
	for i, c := range number {
		if (c < '0' || c > '9') && !(i == 0 && c == '-') {
			return false
		}
	}
	return true
}

// Scalar reads a number or a string as text.
func (o *Object) Scalar(key string) (text string, ok bool) {
	value, _ := o.take(key)
	switch value := value.(type) {
	case string:
		return value, true
	case json.Number:
		return string(value), true
	}
	o.faults.Malformed(o.Path(key), "want a number or a string")
	return "", false
}

// Object reads an object within this one, nil when the field is missing or, with a fault,
// of another type.
func (o *Object) Object(key string) *Object {
	value, ok := o.take(key)
	if !ok {
		return nil
	}
	return o.object(value, o.Path(key))
}

// object checks a value that must be an object.
func (o *Object) object(value any, path string) *Object {
	values, ok := value.(map[string]any)
	if !ok {
		o.faults.Malformed(path, "want an object")
		return nil
	}
	return newObject(values, path, o.faults)
}

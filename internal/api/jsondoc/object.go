package jsondoc

import (
	"encoding/json"
	"maps"
	"slices"

	"orchidward/internal/api/identifier"
)

// Object is a JSON object that is read field by field. Its getters add errors to the list that
// was passed to Parse. A field whose value is null counts as missing.
type Object struct {
	values map[string]any
	// path is the object's own path, empty for the document.
	path string
	// read holds the fields that a getter has read.
	read   map[string]bool
	faults *FieldErrors
}

func newObject(values map[string]any, path string, faults *FieldErrors) *Object {
	return &Object{values: values, path: path, read: map[string]bool{}, faults: faults}
}

// Path returns the path of a field from the top of the document, for errors.
func (o *Object) Path(key string) string { return joinPath(o.path, key) }

// Errors returns the list that the object's errors are added to.
func (o *Object) Errors() *FieldErrors { return o.faults }

// Has reports whether the field is present and not null. It does not mark the field as read.
func (o *Object) Has(key string) bool { return o.values[key] != nil }

// Keys lists the fields in alphabetical order, including those that are null.
func (o *Object) Keys() []string { return slices.Sorted(maps.Keys(o.values)) }

// Skip marks the field as read.
func (o *Object) Skip(key string) { o.read[key] = true }

// Done adds an error for every field that was not read.
func (o *Object) Done() {
	for _, key := range o.Keys() {
		if !o.read[key] {
			o.faults.Malformed(o.Path(key), "unknown field")
		}
	}
}

// take returns the value of a field and marks it as read; ok is false if it is missing.
func (o *Object) take(key string) (value any, ok bool) {
	o.read[key] = true
	value = o.values[key]
	return value, value != nil
}

// Text reads a string. It returns def if the field is missing, and adds an error and returns
// def if it has another type.
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

// Name reads a string that must be a valid name. A missing required name is an error.
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

// OneOf reads a string that must be one of the words. Otherwise it adds an error and returns
// def. A missing field counts as def, and so is an error if def is not one of the words.
func (o *Object) OneOf(key, def string, words ...string) string {
	text := o.Text(key, def)
	if slices.Contains(words, text) {
		return text
	}
	o.faults.Invalid(o.Path(key), "want one of %v", words)
	return def
}

// Bool reads a boolean. It returns def if the field is missing, and adds an error and returns
// def if it has another type.
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

// Int reads an integer from low to high. It returns def if the field is missing, and adds an
// error and returns def if it is not such an integer. def itself is not checked.
func (o *Object) Int(key string, def, low, high int64) int64 {
	value, ok := o.take(key)
	if !ok {
		return def
	}
	return o.wholeNumber(value, o.Path(key), def, low, high)
}

// wholeNumber checks a value that must be an integer from low to high.
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

// onlyDigits reports whether a JSON number has neither a decimal point nor an exponent.
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

// Object reads a nested object. It returns nil if the field is missing, and adds an error and
// returns nil if it has another type.
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

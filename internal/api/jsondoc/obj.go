// Obj reads one JSON object field by field. Each getter notes the field as
// seen; Done then names every field nobody asked for.

package jsondoc

import (
	"encoding/json"
	"fmt"
	"sort"

	"orchidward/internal/api/identifier"
)

// Object is a JSON object that is read field by field. Faults found on the way are
// added to the list that was given to Parse. A field with the value null counts
// as missing.
type Object struct {
	vals map[string]any
	path string
	seen map[string]bool
	f    *FieldErrors
}

func (o *Object) at(key string) string { return join(o.path, key) }

// Path is the path of a field from the top of the document, for faults.
func (o *Object) Path(key string) string { return o.at(key) }

// Errors is the list that this object's faults go to.
func (o *Object) Errors() *FieldErrors { return o.f }

// Has tells whether the field is there and not null. It does not mark it as
// read.
func (o *Object) Has(key string) bool {
	v, ok := o.vals[key]
	return ok && v != nil
}

func (o *Object) take(key string) (val any, ok bool) {
	o.seen[key] = true
	val, ok = o.vals[key]
	return val, ok && val != nil
}

// Keys lists the fields in alphabetical order, null ones included.
func (o *Object) Keys() []string {
	var keys []string
	for k := range o.vals {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// Text reads a string, or returns def when the field is missing or, with a
// fault, of another type.
func (o *Object) Text(key, def string) string {
	var out string
	val, ok := o.take(key)
	if !ok {
		return def
	}
	out, ok = val.(string)
	if !ok {
		o.f.Malformed(o.at(key), "want a string")
		return def
	}
	return out
}

// Name reads a string that must be a plain name; need makes it a fault to
// leave it out.
func (o *Object) Name(key string, need bool) string {
	out := o.Text(key, "")
	if out == "" && !need && !o.Has(key) {
		return ""
	}
	if _, is := o.vals[key].(string); !is && o.Has(key) {
		return ""
	}
	if !identifier.ValidName(out) {
		o.f.Invalid(o.at(key), "want a name of 1 to 64 letters, digits, '.', '-' or '_'")
	}
	return out
}

// Int reads a whole number from low to high, or returns def when the field is
// missing or, with a fault, not such a number. def itself is not checked.
func (o *Object) Int(key string, def, low, high int64) int64 {
	val, ok := o.take(key)
	if !ok {
		return def
	}
	return o.num(val, o.at(key), def, low, high)
}

func (o *Object) num(val any, path string, def, low, high int64) int64 {
	n, ok := val.(json.Number)
	if !ok {
		o.f.Malformed(path, "want a whole number")
		return def
	}
	out, err := n.Int64()
	if err != nil {
		if _, ferr := n.Float64(); ferr == nil && !whole(string(n)) {
			o.f.Malformed(path, "want a whole number")
			return def
		}
		o.f.Invalid(path, "number out of range, want %d to %d", low, high)
		return def
	}
	if out < low || out > high {
		o.f.Invalid(path, "want %d to %d", low, high)
		return def
	}
	return out
}

func whole(text string) bool {
	for i, c := range text {
		if (c < '0' || c > '9') && !(i == 0 && c == '-') {
			return false
		}
	}
	return true
}

// Bool reads true or false, or returns def when the field is missing or, with a
// fault, of another type.
func (o *Object) Bool(key string, def bool) bool {
	var out bool
	val, ok := o.take(key)
	if !ok {
		return def
	}
	out, ok = val.(bool)
	if !ok {
		o.f.Malformed(o.at(key), "want true or false")
		return def
	}
	return out
}

// OneOf reads a word out of a short list.
func (o *Object) OneOf(key, def string, words ...string) string {
	out := o.Text(key, def)
	for _, w := range words {
		if out == w {
			return out
		}
	}
	o.f.Invalid(o.at(key), "want one of %v", words)
	return def
}

// Names reads a list of at most limit plain names and returns them sorted. Entries
// that are no plain name are left out, with a fault each.
func (o *Object) Names(key string, limit int) []string {
	var out []string
	val, ok := o.take(key)
	if !ok {
		return nil
	}
	list, ok := val.([]any)
	if !ok {
		o.f.Malformed(o.at(key), "want a list of names")
		return nil
	}
	if len(list) > limit {
		o.f.Invalid(o.at(key), "at most %d", limit)
		return nil
	}
	for i, one := range list {
		text, ok := one.(string)
		if !ok {
			o.f.Malformed(fmt.Sprintf("%s[%d]", o.at(key), i), "want a string")
			continue
		}
		if !identifier.ValidName(text) {
			o.f.Invalid(fmt.Sprintf("%s[%d]", o.at(key), i), "want a plain name")
			continue
		}
		out = append(out, text)
	}
	sort.Strings(out)
	return out
}

// List hands out the objects of a list, each with its own path.
func (o *Object) List(key string, limit int) []*Object {
	var out []*Object
	val, ok := o.take(key)
	if !ok {
		return nil
	}
	list, ok := val.([]any)
	if !ok {
		o.f.Malformed(o.at(key), "want a list")
		return nil
	}
	if len(list) > limit {
		o.f.Invalid(o.at(key), "at most %d", limit)
		return nil
	}
	for i, one := range list {
		path := fmt.Sprintf("%s[%d]", o.at(key), i)
		m, ok := one.(map[string]any)
		if !ok {
			o.f.Malformed(path, "want an object")
			continue
		}
		out = append(out, &Object{vals: m, path: path, seen: map[string]bool{}, f: o.f})
	}
	return out
}

// Object reads an object within this one, nil when the field is missing or, with a
// fault, of another type.
func (o *Object) Object(key string) *Object {
	val, ok := o.take(key)
	if !ok {
		return nil
	}
	m, ok := val.(map[string]any)
	if !ok {
		o.f.Malformed(o.at(key), "want an object")
		return nil
	}
	return &Object{vals: m, path: o.at(key), seen: map[string]bool{}, f: o.f}
}

// Done names every field that no getter asked for.
func (o *Object) Done() {
	for _, k := range o.Keys() {
		if !o.seen[k] {
			o.f.Malformed(o.at(k), "unknown field")
		}
	}
}

// Scalar reads a number or a string as text, for cells that may be either.
func (o *Object) Scalar(key string) (text string, ok bool) {
	val, ok := o.take(key)
	if !ok {
		o.f.Malformed(o.at(key), "want a number or a string")
		return "", false
	}
	switch v := val.(type) {
	case string:
		return v, true
	case json.Number:
		return string(v), true
	}
	o.f.Malformed(o.at(key), "want a number or a string")
	return "", false
}

// Skip marks a field as dealt with.
func (o *Object) Skip(key string) { o.seen[key] = true }

// Ints reads a list of whole numbers from 0 up.
func (o *Object) Ints(key string, limit int) []int64 {
	var out []int64
	val, ok := o.take(key)
	if !ok {
		return nil
	}
	list, ok := val.([]any)
	if !ok {
		o.f.Malformed(o.at(key), "want a list of numbers")
		return nil
	}
	if len(list) > limit {
		o.f.Invalid(o.at(key), "at most %d", limit)
		return nil
	}
	for i, one := range list {
		out = append(out, o.num(one, fmt.Sprintf("%s[%d]", o.at(key), i), 0, 0, 1<<53))
	}
	return out
}

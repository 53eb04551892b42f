package jsondoc

import (
	"fmt"
	"slices"

	"orchidward/internal/api/identifier"
)

// maxListNumber bounds numbers in lists: JSON numbers are exact up to this value.
const maxListNumber = 1 << 53

// takeList reads a list of at most limit elements. It returns nil if the field is missing, and
// adds an error and returns nil if it is not such a list. want names the type in the error.
func (o *Object) takeList(key, want string, limit int) []any {
	value, ok := o.take(key)
	if !ok {
		return nil
	}
	list, ok := value.([]any)
	if !ok {
		o.faults.Malformed(o.Path(key), "want %s", want)
		return nil
	}
	if len(list) > limit {
		o.faults.Invalid(o.Path(key), "at most %d", limit)
		return nil
	}
	return list
}

// elementPath returns the path of an element of a list.
func elementPath(list string, i int) string { return fmt.Sprintf("%s[%d]", list, i) }

// Names reads a list of at most limit valid names and returns them sorted. It omits elements
// that are not valid names and adds an error for each.
func (o *Object) Names(key string, limit int) []string {
	var names []string
	for i, element := range o.takeList(key, "a list of names", limit) {
		path := elementPath(o.Path(key), i)
		name, ok := element.(string)
		switch {
		case !ok:
			o.faults.Malformed(path, "want a string")
		case !identifier.ValidName(name):
			o.faults.Invalid(path, "want a plain name")
		default:
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// List reads a list of at most limit objects. It omits elements that are not objects and adds
// an error for each.
func (o *Object) List(key string, limit int) []*Object {
	var objects []*Object
	for i, element := range o.takeList(key, "a list", limit) {
		if object := o.object(element, elementPath(o.Path(key), i)); object != nil {
			objects = append(objects, object)
		}
	}
	return objects
}

// Ints reads a list of at most limit integers that are not negative. It returns 0 for elements
// that are not such integers and adds an error for each.
func (o *Object) Ints(key string, limit int) []int64 {
	var numbers []int64
	for i, element := range o.takeList(key, "a list of numbers", limit) {
		path := elementPath(o.Path(key), i)
		numbers = append(numbers, o.wholeNumber(element, path, 0, 0, maxListNumber))
	}
	return numbers
}

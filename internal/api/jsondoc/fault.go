// Package jsondoc reads JSON from outside by hand: one strict pass over the text,
// then readers that fetch fields by name, remember the path, and gather every
// fault instead of stopping at the first. A Shape fault is text that does not
// say what its type should be (400); a Sense fault is well formed but means
// nothing that could be done (422).
package jsondoc

import "fmt"

// FieldError is one thing wrong with a document. Path names the field, empty for the
// document itself. Shape tells a wrong type or form from a value that makes no
// sense.
type FieldError struct {
	Path      string `json:"path"`
	Message   string `json:"why"`
	Malformed bool   `json:"-"`
}

// FieldErrors is the list one reading gathers, bounded so that a hostile body
// cannot make a long answer.
type FieldErrors struct {
	List []FieldError
}

const most = 32

func (f *FieldErrors) add(shape bool, path string, why string, args ...any) {
	if len(f.List) < most {
		f.List = append(f.List, FieldError{Path: path, Message: fmt.Sprintf(why, args...), Malformed: shape})
	}
}

// Malformed adds a fault of form: the field is unknown, doubled or of the wrong
// type. why is a format for args.
func (f *FieldErrors) Malformed(path string, why string, args ...any) {
	f.add(true, path, why, args...)
}

// Invalid adds a fault of meaning: the field is well formed, but its value cannot
// be accepted. why is a format for args.
func (f *FieldErrors) Invalid(path string, why string, args ...any) { f.add(false, path, why, args...) }

// Any tells whether there are any faults.
func (f *FieldErrors) Any() bool { return len(f.List) > 0 }

// Status is the HTTP status the gathered faults call for.
func (f *FieldErrors) Status() int {
	for _, one := range f.List {
		if one.Malformed {
			return 400
		}
	}
	return 422
}

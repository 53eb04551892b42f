// Package jsondoc reads JSON from outside by hand: one strict pass over the text,
// then readers that fetch fields by name, remember the path, and gather every
// fault instead of stopping at the first. A Shape fault is text that does not
// say what its type should be (400); a Sense fault is well formed but means
// nothing that could be done (422).
package jsondoc

import "fmt"

// Fault is one thing wrong with a document. Path names the field, empty for the
// document itself. Shape tells a wrong type or form from a value that makes no
// sense.
type Fault struct {
	Path  string `json:"path"`
	Why   string `json:"why"`
	Shape bool   `json:"-"`
}

// Faults is the list one reading gathers, bounded so that a hostile body
// cannot make a long answer.
type Faults struct {
	List []Fault
}

const most = 32

func (f *Faults) add(shape bool, path string, why string, args ...any) {
	if len(f.List) < most {
		f.List = append(f.List, Fault{Path: path, Why: fmt.Sprintf(why, args...), Shape: shape})
	}
}

// Shape adds a fault of form: the field is unknown, doubled or of the wrong
// type. why is a format for args.
func (f *Faults) Shape(path string, why string, args ...any) { f.add(true, path, why, args...) }

// Sense adds a fault of meaning: the field is well formed, but its value cannot
// be accepted. why is a format for args.
func (f *Faults) Sense(path string, why string, args ...any) { f.add(false, path, why, args...) }

// Any tells whether there are any faults.
func (f *Faults) Any() bool { return len(f.List) > 0 }

// Status is the HTTP status the gathered faults call for.
func (f *Faults) Status() int {
	for _, one := range f.List {
		if one.Shape {
			return 400
		}
	}
	return 422
}

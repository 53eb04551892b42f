package jsondoc

import (
	"fmt"
	"net/http"
)

// FieldError is one fault of a document.
type FieldError struct {
	// Path names the field, empty for the document itself.
	Path    string `json:"path"`
	Message string `json:"why"`
	// Malformed tells a wrong type or form from a value that can't be accepted.
	Malformed bool `json:"-"`
}

// FieldErrors is the list of the faults of a document. It is bounded, so that no document
// causes a long response.
type FieldErrors struct {
	List []FieldError
}

// maxFieldErrors is the number of faults that are kept of one document.
const maxFieldErrors = 32

func (f *FieldErrors) add(fault FieldError) {
	if len(f.List) < maxFieldErrors {
		f.List = append(f.List, fault)
	}
}

// Malformed adds a fault of form: the field is unknown, given twice or of the wrong type.
func (f *FieldErrors) Malformed(path string, format string, args ...any) {
	f.add(FieldError{Path: path, Message: fmt.Sprintf(format, args...), Malformed: true})
}

// Invalid adds a fault of meaning: the field is well formed, but its value can't be
// accepted.
func (f *FieldErrors) Invalid(path string, format string, args ...any) {
	f.add(FieldError{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Any tells whether there are any faults.
func (f *FieldErrors) Any() bool { return len(f.List) > 0 }

// Status is the HTTP status for the faults.
func (f *FieldErrors) Status() int {
	for _, fault := range f.List {
		if fault.Malformed {
			return http.StatusBadRequest
		}
	}
	return http.StatusUnprocessableEntity
}

package jsondoc

import (
	"fmt"
	"net/http"
)

// FieldError is one error of a document.
type FieldError struct {
	// Path names the field, empty for the document itself.
	Path    string `json:"path"`
	Message string `json:"why"`
	// Malformed distinguishes a wrong type or syntax from a value that is not acceptable.
	Malformed bool `json:"-"`
}

// FieldErrors is the list of the errors of a document. It is bounded, so that no document can
// cause a long response.
type FieldErrors struct {
	List []FieldError
}

// maxFieldErrors bounds the errors that are kept for one document.
const maxFieldErrors = 32

func (f *FieldErrors) add(fault FieldError) {
	if len(f.List) < maxFieldErrors {
		f.List = append(f.List, fault)
	}
}

// Malformed adds a syntax error: the field is unknown, given twice or of the wrong type.
func (f *FieldErrors) Malformed(path string, format string, args ...any) {
	f.add(FieldError{Path: path, Message: fmt.Sprintf(format, args...), Malformed: true})
}

// Invalid adds a semantic error: the field is well formed, but its value is not acceptable.
func (f *FieldErrors) Invalid(path string, format string, args ...any) {
	f.add(FieldError{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Any reports whether there are any errors.
func (f *FieldErrors) Any() bool { return len(f.List) > 0 }

// Status returns the HTTP status for the errors.
func (f *FieldErrors) Status() int {
	for _, fault := range f.List {
		if fault.Malformed {
			return http.StatusBadRequest
		}
	}
	return http.StatusUnprocessableEntity
}

// Package jsondoc parses and validates JSON documents from outside. [Parse] makes one strict
// pass over the text. The getters of [Object] then read fields by name and add every error,
// with the path of its field, to a list ([FieldErrors]) instead of stopping at the first. The
// output is values within bounds, or the body of an error response ([ErrorBody]).
//
// A malformed field does not have the syntax of its type (400 Bad Request). An invalid field
// is well formed, but its value is not acceptable (422 Unprocessable Content).
//
// Start with object.go.
package jsondoc

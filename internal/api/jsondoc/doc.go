// Package jsondoc reads JSON documents from outside. [Parse] makes one strict pass over the
// text; the getters of [Object] then read fields by name, remember their path and add every
// fault to a list ([FieldErrors]) instead of stopping at the first. The output is values
// within bounds, or the body of an error response ([ErrorBody]).
//
// A malformed field does not have the form of its type (400 Bad Request); an invalid one is
// well formed, but its value can't be accepted (422 Unprocessable Content).
//
// Begin with object.go.
package jsondoc

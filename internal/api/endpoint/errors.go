package endpoint

import "errors"

var (
	// ErrNoSuchPath is returned for a path outside the API.
	ErrNoSuchPath = errors.New("no such path")
	// ErrNoSuchEndpoint is returned for a path that the API does not have, or does not
	// have for the method.
	ErrNoSuchEndpoint = errors.New("no such path or method")
)

// MethodError is returned for a method that an existing path does not support.
type MethodError struct {
	// Allowed lists the supported methods, in human-readable form.
	Allowed string
}

func (e *MethodError) Error() string { return "want " + e.Allowed }

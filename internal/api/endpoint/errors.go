package endpoint

import "errors"

var (
	// ErrNoSuchPath is a path outside the API.
	ErrNoSuchPath = errors.New("no such path")
	// ErrNoSuchEndpoint is a path that the API does not have, or not for this
	// method.
	ErrNoSuchEndpoint = errors.New("no such path or method")
)

// MethodError is a method that an existing path does not take.
type MethodError struct {
	// Allowed lists the methods that it takes, for people to read.
	Allowed string
}

func (e *MethodError) Error() string { return "want " + e.Allowed }

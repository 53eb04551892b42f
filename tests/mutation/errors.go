package main

import (
	"errors"
	"fmt"
)

// errUnnoticed reports that the tests of a broken tree passed.
var errUnnoticed = errors.New("UNNOTICED")

// unnoticed reports whether an error says that a mutation went unnoticed, rather than that
// it could not be tried.
func unnoticed(err error) bool {
	var other *otherFailureError
	return errors.Is(err, errUnnoticed) || errors.As(err, &other)
}

// maxOutputTail bounds the part of a failed test's output in an error, in bytes.
const maxOutputTail = 300

// otherFailureError reports that the tests failed, but without the wanted message.
type otherFailureError struct {
	want   string
	output string
}

func (e *otherFailureError) Error() string {
	tail := e.output[max(0, len(e.output)-maxOutputTail):]
	return fmt.Sprintf("failed, but did not print %q: %s", e.want, tail)
}

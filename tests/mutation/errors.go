package main

import (
	"errors"
	"fmt"
)

// errUnnoticed says that the tests of a broken tree passed.
var errUnnoticed = errors.New("UNNOTICED")

// maxOutputTail is how much of a failed test's output an error shows, in bytes.
const maxOutputTail = 300

// otherFailureError says that the tests failed for something else than the mutation.
type otherFailureError struct {
	want   string
	output string
}

func (e *otherFailureError) Error() string {
	tail := e.output[max(0, len(e.output)-maxOutputTail):]
	return fmt.Sprintf("failed, but not by %q: %s", e.want, tail)
}

// Command mutation checks that the tests can fail: it breaks the code in one place at a
// time, in a copy of the tree, and requires the test of the broken promise to fail with the
// expected message. docs/promises.md names the mutations of each promise.
//
// It is run by hand from the top of the tree, and copies the files that git tracks:
//
//	go run ./tests/mutation              # all, one at a time
//	go run ./tests/mutation -only lease -jobs 3
//
// Begin with mutation.go, which defines and runs a mutation; the tables of mutations are
// split into files by subject.
package main

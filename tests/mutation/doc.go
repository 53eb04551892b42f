// Command mutation shows that the tests can fail: it breaks the code in one place at a
// time, in a copy of the tree, and wants the test that keeps the promise to fail with its
// own message. docs/promises.md names the mutations of each promise.
//
// It is run by hand from the top of the tree, and copies what git tracks:
//
//	go run ./tests/mutation              # all, one at a time
//	go run ./tests/mutation -only lease -jobs 3
//
// Begin with mutation.go, which has the type and runs one; the tables are in files by
// subject.
package main

package main

import (
	"os"
	"os/exec"
	"slices"
	"strings"

	"orchidward/tests/sourceedit"
)

// testTimeout bounds the tests of one mutation, in the format of go test's -timeout.
const testTimeout = "120s"

// mutation is one way of breaking the code, and the tests that must notice it.
type mutation struct {
	name string
	// file is the path of the broken file from the top of the tree. It contains original
	// exactly once; replacement takes its place.
	file        string
	original    string
	replacement string
	// also holds further edits. Some promises are kept by two checks, and only a tree
	// without both breaks them.
	also []sourceedit.Edit
	// tests are the arguments of go test.
	tests []string
	// want is a substring of a line that the failing tests print.
	want string
}

// test returns the arguments that run the tests of a package whose names match a pattern.
func test(pkg, pattern string) []string { return []string{pkg, "-run", pattern} }

// packages returns the arguments that run all tests of the given packages.
func packages(pkgs ...string) []string { return pkgs }

// faultSequences returns the arguments that run the simulation's fault sequences whose names
// match a pattern.
func faultSequences(pattern string) []string {
	return test("./tests/simulation/scenarios", "TestFaultSequences/^("+pattern+")")
}

// allMutations lists the mutations of all subjects.
func allMutations() []mutation {
	return slices.Concat(
		consensusMutations,
		storageMutations,
		membershipMutations,
		timeMutations,
		versionMutations,
		jobMutations,
		runnerMutations,
		placementMutations,
		operatorMutations,
		requestMutations,
		abandonedRequestMutations,
		tenantMutations,
	)
}

// edits returns all edits of the mutation.
func (m mutation) edits() []sourceedit.Edit {
	first := sourceedit.Edit{File: m.file, Original: m.original, Replacement: m.replacement}
	return append([]sourceedit.Edit{first}, m.also...)
}

// run breaks a copy of the tree and returns the line that its failing tests print.
func (m mutation) run() (noticedBy string, err error) {
	dir, err := os.MkdirTemp("", "orchidward-mutation")
	if err != nil {
		return "", err
	}
	defer os.RemoveAll(dir)
	if err := sourceedit.CopyTree(dir); err != nil {
		return "", err
	}
	for _, e := range m.edits() {
		if err := e.Apply(dir); err != nil {
			return "", err
		}
	}
	return m.runTests(dir)
}

// runTests runs the mutation's tests in a broken tree. They must fail and print the wanted
// text: a failing build, or the failure of another test, does not count.
func (m mutation) runTests(dir string) (noticedBy string, err error) {
	cmd := exec.Command("go", append([]string{"test", "-count=1", "-timeout", testTimeout}, m.tests...)...)
	cmd.Dir = dir
	output, err := cmd.CombinedOutput()
	if err == nil {
		return "", errUnnoticed
	}
	for _, line := range strings.Split(string(output), "\n") {
		if strings.Contains(line, m.want) {
			return strings.TrimSpace(line), nil
		}
	}
	return "", &otherFailureError{want: m.want, output: string(output)}
}

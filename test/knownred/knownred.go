// Package knownred passes over tests that fail because of a fault that is not fixed yet.
package knownred

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// variable names the environment variable with which make known-red runs the tests that Skip passes over.
const variable = "KNOWN_RED"

// list is the file at the root of the module that lists the tests.
const list = "KNOWN-RED.txt"

// Skip skips the test unless the variable is set. It fails a test that the list does not have, so that no test is passed
// over without an entry.
func Skip(t *testing.T) {
	t.Helper()
	if !slices.Contains(listedTests(t), t.Name()) {
		t.Fatalf("%s is not listed in %s", t.Name(), list)
	}
	if os.Getenv(variable) == "" {
		t.Skipf("known to fail, see %s; run it with %s=1", list, variable)
	}
}

// listedTests returns the first word of each line of the list that is not indented.
func listedTests(t *testing.T) (names []string) {
	t.Helper()
	directory, err := os.Getwd()
	for err == nil {
		var content []byte
		if content, err = os.ReadFile(filepath.Join(directory, list)); err == nil { //nolint:gosec // the path is not an input
			for line := range strings.Lines(string(content)) {
				name, _, _ := strings.Cut(line, " ")
				names = append(names, strings.TrimSpace(name))
			}
			return names
		}
		if parent := filepath.Dir(directory); parent != directory {
			directory, err = parent, nil
		}
	}
	t.Fatalf("cannot find %s: %v", list, err)
	return nil
}

package fleetproc

import (
	"testing"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/load"
	"egretline.example/egretline/pkg/loadcmd"
	"egretline.example/egretline/pkg/standin/backendservice"
)

// Guards against a check that cannot fail: each violation is reported for its guarantee and for no other.
func TestCheck(t *testing.T) {
	line := loadcmd.RequestLine{Nonce: "r-1", Class: load.Answered, Node: "n"}
	run := backendservice.Run{URI: "/checkouts?nonce=r-1"}
	oneRun := []backendservice.Run{run}
	withClass := func(c load.Class) loadcmd.RequestLine {
		l := line
		l.Class = c
		return l
	}
	t.Run("a run without a violation", func(t *testing.T) { assertViolated(t, line, oneRun, -1) })
	t.Run("a second run", func(t *testing.T) { assertViolated(t, line, append(oneRun, run), 0) })
	t.Run("not-run that ran", func(t *testing.T) { assertViolated(t, withClass(load.NotRun), oneRun, 1) })
	t.Run("not-run that did not run", func(t *testing.T) { assertViolated(t, withClass(load.NotRun), nil, -1) })
	t.Run("a wrong response", func(t *testing.T) { assertViolated(t, withClass(load.WrongResponse), oneRun, 2) })
	t.Run("an answer without a run", func(t *testing.T) { assertViolated(t, line, nil, 2) })
	t.Run("a cut request", func(t *testing.T) { assertViolated(t, withClass(load.TransportError), oneRun, 3) })
}

// assertViolated checks that exactly the guarantee with the index is violated; -1 stands for none.
func assertViolated(t *testing.T, l loadcmd.RequestLine, runs []backendservice.Run, index int) {
	t.Helper()
	for i, g := range CheckGuarantees([]loadcmd.RequestLine{l}, runs, []string{"n"}) {
		is.New(t).Equal(len(g.Violations) > 0, i == index)
	}
}

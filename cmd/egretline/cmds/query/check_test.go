package query

import (
	"bytes"
	"context"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"github.com/matryer/is"
)

const (
	examplesDir      = "../../../../examples/"
	brokenConfigsDir = "../../../../_fixtures/config/broken/"
)

// Guards against files that pass the check but are refused, or do not work, when they are applied.
func TestCheck(t *testing.T) {
	t.Run("the examples have no fault", func(t *testing.T) {
		assertCheck(t, subcommands.ExitSuccess, "no faults found", examplesDir+"tulpar.toml")
		assertCheck(t, subcommands.ExitSuccess, "no faults found", examplesDir+"bayspace.toml")
	})
	t.Run("an invalid file is refused with the position and the remedy", func(t *testing.T) {
		assertCheck(t, exitFaultsFound,
			"floor-above-pool.toml:3: service.bookdesk.floor: floor 2 is above the pool size; write",
			brokenConfigsDir+"floor-above-pool.toml")
	})
	t.Run("references between files are checked", func(t *testing.T) {
		routes := writeConfig(t, "routes.toml", "\n[[route]]\nname = \"book\"\nservice = \"bookdesk\"\nmethod = \"POST\"\n"+
			"path-prefix = \"/\"\nrank = \"urgent\"\n")
		service := writeConfig(t, "service.toml", "[[rank]]\nname = \"urgent\"\n[service.bookdesk]\nregion = \"midlands\"\n")
		assertCheck(t, exitFaultsFound, `routes.toml:2: route.book: no file defines service "bookdesk"; define it`, routes)
		assertCheck(t, subcommands.ExitSuccess, "no faults found", routes, service)
	})
	t.Run("a definition in two files is reported in the second", func(t *testing.T) {
		a := writeConfig(t, "a.toml", "[service.bookdesk]\nregion = \"midlands\"\n")
		b := writeConfig(t, "b.toml", "\n[service.bookdesk]\nregion = \"midlands\"\n")
		assertCheck(t, exitFaultsFound, "b.toml:2: service.bookdesk: service bookdesk is already defined in a.toml", b, a)
	})
	t.Run("JSON for programs", func(t *testing.T) {
		assertCheck(t, exitFaultsFound, `"line":3,"key":"service.bookdesk.floor"`, "--output", "json",
			brokenConfigsDir+"floor-above-pool.toml")
	})
	t.Run("a file that cannot be read", func(t *testing.T) {
		assertCheck(t, subcommands.ExitFailure, "no such file", examplesDir+"absent.toml")
	})
	t.Run("wrong usage", func(t *testing.T) {
		assertCheck(t, subcommands.ExitUsageError, "Exit codes:")
	})
}

func writeConfig(t *testing.T, name, contents string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	is.New(t).NoErr(os.WriteFile(path, []byte(contents), 0o600))
	return path
}

// assertCheck runs check with the arguments, and asserts the exit code and that the output contains wantOutput.
func assertCheck(t *testing.T, code subcommands.ExitStatus, wantOutput string, args ...string) {
	t.Helper()
	var out bytes.Buffer
	c := &check{stdout: &out, stderr: &out}
	flags := flag.NewFlagSet("check", flag.ContinueOnError)
	c.SetFlags(flags)
	is.New(t).NoErr(flags.Parse(args))
	got := c.Execute(context.Background(), flags)
	if got != code || !strings.Contains(out.String(), wantOutput) {
		t.Fatalf("exit code %d, want %d; output %q, want %q", got, code, out.String(), wantOutput)
	}
}

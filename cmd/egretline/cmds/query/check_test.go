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
	examples = "../../../../examples/"
	broken   = "../../../../_fixtures/config/broken/"
)

// Guards against files that pass the check and are refused or useless when they are applied.
func TestCheck(t *testing.T) {
	t.Run("the examples have no fault", func(t *testing.T) {
		assertCheck(t, subcommands.ExitSuccess, "no faults found", examples+"tulpar.toml")
		assertCheck(t, subcommands.ExitSuccess, "no faults found", examples+"bayspace.toml")
	})
	t.Run("a broken file is refused with the place and the remedy", func(t *testing.T) {
		assertCheck(t, exitRefused, "floor-above-pool.toml:3: service.bookdesk.floor: floor 2 is above the pool size; write",
			broken+"floor-above-pool.toml")
	})
	t.Run("references between files are checked", func(t *testing.T) {
		routes := write(t, "routes.toml", "\n[[route]]\nname = \"book\"\nservice = \"bookdesk\"\nmethod = \"POST\"\n"+
			"path-prefix = \"/\"\nrank = \"urgent\"\n")
		service := write(t, "service.toml", "[[rank]]\nname = \"urgent\"\n[service.bookdesk]\nregion = \"midlands\"\n")
		assertCheck(t, exitRefused, `routes.toml:2: route.book: no file defines service "bookdesk"; define it`, routes)
		assertCheck(t, subcommands.ExitSuccess, "no faults found", routes, service)
	})
	t.Run("a definition in two files is reported in the second", func(t *testing.T) {
		a := write(t, "a.toml", "[service.bookdesk]\nregion = \"midlands\"\n")
		b := write(t, "b.toml", "\n[service.bookdesk]\nregion = \"midlands\"\n")
		assertCheck(t, exitRefused, "b.toml:2: service.bookdesk: service bookdesk is already defined in a.toml", b, a)
	})
	t.Run("JSON for programs", func(t *testing.T) {
		assertCheck(t, exitRefused, `"line":3,"key":"service.bookdesk.floor"`, "--output", "json", broken+"floor-above-pool.toml")
	})
	t.Run("a file that cannot be read", func(t *testing.T) {
		assertCheck(t, subcommands.ExitFailure, "no such file", examples+"absent.toml")
	})
	t.Run("wrong usage", func(t *testing.T) {
		assertCheck(t, subcommands.ExitUsageError, "Exit codes:")
	})
}

func write(t *testing.T, name, contents string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	is.New(t).NoErr(os.WriteFile(path, []byte(contents), 0o600))
	return path
}

// assertCheck runs check with the arguments, and asserts the exit code and a part of the output.
func assertCheck(t *testing.T, code subcommands.ExitStatus, part string, args ...string) {
	t.Helper()
	var out bytes.Buffer
	c := &check{stdout: &out, stderr: &out}
	flags := flag.NewFlagSet("check", flag.ContinueOnError)
	c.SetFlags(flags)
	is.New(t).NoErr(flags.Parse(args))
	got := c.Execute(context.Background(), flags)
	if got != code || !strings.Contains(out.String(), part) {
		t.Fatalf("exit code %d, want %d; output %q, want %q", got, code, out.String(), part)
	}
}

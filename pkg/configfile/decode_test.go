package configfile

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
)

const invalidFilesDir = "../../_fixtures/config/broken/"

// Guards against invalid files being accepted, and against error messages without position and remedy.
func TestBroken(t *testing.T) {
	t.Run("unknown key", func(t *testing.T) { assertRefused[UnknownKeyError](t, "unknown-key") })
	t.Run("bad unit", func(t *testing.T) { assertRefused[DurationError](t, "bad-unit") })
	t.Run("dangling service", func(t *testing.T) { assertRefused[ReferenceError](t, "dangling-service") })
	t.Run("dangling rank", func(t *testing.T) { assertRefused[ReferenceError](t, "dangling-rank") })
	t.Run("floor above the pool size", func(t *testing.T) { assertRefused[FloorError](t, "floor-above-pool") })
	t.Run("share above 1", func(t *testing.T) { assertRefused[ShareError](t, "share-above-one") })
	t.Run("shares above 1 together", func(t *testing.T) { assertRefused[ShareError](t, "shares-add-up") })
	t.Run("bad address", func(t *testing.T) { assertRefused[AddressError](t, "bad-address") })
	t.Run("duplicate name", func(t *testing.T) { assertRefused[DuplicateError](t, "duplicate-name") })
	t.Run("bad token hash", func(t *testing.T) { assertRefused[TokenHashError](t, "bad-token-hash") })
	t.Run("wrong type", func(t *testing.T) { assertRefused[SyntaxError](t, "wrong-type") })
	t.Run("duplicate table", func(t *testing.T) { assertRefused[DuplicateError](t, "duplicate-table") })
}

func TestDecode(t *testing.T) {
	t.Run("defaults", func(t *testing.T) {
		is := is.New(t)
		f, err := Decode("a.toml", []byte(`
rank = [{name = "r", share = 1.0}]
[service.s]
region = "x"
[[route]]
name = "n"
service = "s"
method = "GET"
path-prefix = "/"
rank = "r"
`))
		is.NoErr(err)
		is.Equal(f.Ranks[0].SlotLimit, 1.0)
		is.Equal(f.Services[0].Preference, fleet.Balanced)
		is.Equal(f.Routes[0].Timeout, DefaultTimeout)
		is.True(!f.Routes[0].Idempotent)
	})
	t.Run("all errors of a file are reported", func(t *testing.T) {
		is := is.New(t)
		_, err := Decode("a.toml", []byte("[service.a]\nflor = 1\n\n[service.B]\nregion = \"x\"\n"))
		var invalid InvalidFileError
		is.True(errors.As(err, &invalid))
		var lines []int
		for _, p := range invalid.Problems() {
			lines = append(lines, p.Line)
		}
		is.Equal(lines, []int{1, 2, 4}) // missing region, unknown key, bad name
	})
	t.Run("an invalid file name is refused", func(t *testing.T) {
		_, err := Decode("../a.toml", nil)
		is.New(t).True(errors.As(err, &NameError{}))
	})
	t.Run("unknown keys of a newer version are accepted from the log", func(t *testing.T) {
		is := is.New(t)
		contents := []byte("[service.a]\nregion = \"x\"\nfuture-key = 1\n")
		_, err := Decode("a.toml", contents)
		is.True(errors.As(err, &UnknownKeyError{}))
		f, problem := DecodeAccepted("a.toml", contents)
		is.True(problem == nil)
		is.Equal(f.Services[0].Region, "x")
		_, problem = DecodeAccepted("a.toml", []byte("["))
		is.True(problem != nil)
	})
}

// Guards against invalid example files, which operators copy.
func TestExamples(t *testing.T) {
	t.Run("tulpar", func(t *testing.T) {
		f := assertExample(t, "tulpar.toml", map[string]int{"ledger-view": 10, "rental-desk": 20, "survey-vault": 6}, 3)
		is.New(t).Equal(f.Services[0].ColdStart, 20*time.Second)
	})
	t.Run("bayspace", func(t *testing.T) {
		assertExample(t, "bayspace.toml", map[string]int{"spotfinder": 10, "bookdesk": 20, "ledgerdrop": 8}, 4)
	})
}

func FuzzDecode(f *testing.F) {
	for _, pattern := range []string{invalidFilesDir + "*.toml", "../../examples/*.toml"} {
		paths, err := filepath.Glob(pattern)
		if err != nil {
			f.Fatal(err)
		}
		for _, p := range paths {
			contents, err := os.ReadFile(p)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(contents)
		}
	}
	f.Fuzz(func(t *testing.T, contents []byte) {
		strict, err := Decode("a.toml", contents)
		lenient, problem := DecodeAccepted("a.toml", contents)
		if err == nil && problem != nil {
			t.Fatalf("a valid file cannot be decoded from the log: %v", problem)
		}
		c := Merge([]fleet.File{strict, lenient})
		if err == nil && len(c.Services) != len(strict.Services) {
			t.Fatalf("%d of %d services are merged", len(c.Services), len(strict.Services))
		}
	})
}

// assertRefused asserts that Decode rejects the fixture file with an error of type E and the message in its .txt file.
func assertRefused[E error](t *testing.T, name string) {
	t.Helper()
	is := is.New(t)
	contents, err := os.ReadFile(invalidFilesDir + name + ".toml")
	is.NoErr(err)
	want, err := os.ReadFile(invalidFilesDir + name + ".txt")
	is.NoErr(err)
	f, err := Decode(name+".toml", contents)
	var target E
	is.True(errors.As(err, &target))
	is.Equal(target.Error(), strings.TrimSpace(string(want)))
	is.Equal(f, fleet.File{})
}

func assertExample(t *testing.T, name string, pools map[string]int, zones int) fleet.File {
	t.Helper()
	is := is.NewRelaxed(t)
	contents, err := os.ReadFile("../../examples/" + name)
	is.NoErr(err)
	f, err := Decode(name, contents)
	is.NoErr(err)
	is.Equal(len(Merge([]fleet.File{f}).Problems), 0)
	is.Equal(len(f.Services), len(pools))
	is.Equal(len(f.Ranks), 3)
	for _, s := range f.Services {
		seen := map[string]bool{}
		for _, b := range s.BackendServers {
			seen[b.AvailabilityZone] = true
		}
		is.Equal(len(s.BackendServers), pools[s.Name])
		is.Equal(len(seen), zones)
	}
	return f
}

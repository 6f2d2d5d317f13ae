package settings

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const example = "../../examples/node.toml"

// Guards against a node that starts with unknown, missing or inconsistent settings, for example a drain grace that is
// shorter than the time for which callers cache entry responses.
func TestDecode(t *testing.T) {
	contents, err := os.ReadFile(example)
	is.New(t).NoErr(err)
	valid := string(contents)

	t.Run("example", func(t *testing.T) {
		is := is.New(t)
		s, err := Decode(example, contents)
		is.NoErr(err)
		is.Equal(s.EntryTTL.Duration, 30*time.Second)
		is.Equal(s.ExchangeWorkers, DefaultExchangeWorkers)
	})
	t.Run("unknown key", func(t *testing.T) {
		assertRefused(t, valid+"\nexchange-worker = 1\n", "exchange-worker")
	})
	t.Run("duration without unit", func(t *testing.T) {
		assertRefused(t, strings.Replace(valid, `"30s"`, `"30"`, 1), "entry-ttl")
	})
	t.Run("missing host", func(t *testing.T) {
		assertRefused(t, strings.Replace(valid, "host-id", "# host-id", 1), "host-id")
	})
	t.Run("drain grace that is not longer than the TTL of entry responses", func(t *testing.T) {
		assertRefused(t, strings.Replace(valid, `"35s"`, `"30s"`, 1), "drain-grace")
	})
	t.Run("zero workers", func(t *testing.T) {
		assertRefused(t, strings.Replace(valid, "exchange-workers = 256", "exchange-workers = 0", 1), "exchange-workers")
	})
	t.Run("a host ID that cannot be part of a key", func(t *testing.T) {
		assertRefused(t, strings.Replace(valid, `host-id = "`, `host-id = "a.`, 1), "host-id")
	})
	t.Run("a certificate without its key", func(t *testing.T) {
		assertRefused(t, valid+"\ncaller-certificate = \"c.pem\"\n", "caller-key")
	})
	t.Run("certificates between nodes without an authority", func(t *testing.T) {
		assertRefused(t, valid+"\npeer-certificate = \"c.pem\"\npeer-key = \"k.pem\"\n", "peer-authority")
	})
	t.Run("not TOML", func(t *testing.T) {
		assertRefused(t, "host-id = ", "")
	})
}

func assertRefused(t *testing.T, contents, key string) {
	t.Helper()
	is := is.New(t)
	_, err := Decode("node.toml", []byte(contents))
	var fileError FileError
	is.True(errors.As(err, &fileError))
	is.True(strings.Contains(fileError.Key, key))
	is.True(fileError.Remedy != "")
}

// Guards against a settings file that makes the decoder panic, and against an accepted drain grace that is too short.
func FuzzDecode(f *testing.F) {
	contents, err := os.ReadFile(example)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(contents)
	f.Fuzz(func(t *testing.T, contents []byte) {
		s, err := Decode("node.toml", contents)
		if err == nil && s.DrainGrace.Duration <= s.EntryTTL.Duration {
			t.Fatal("accepted a drain grace that is not longer than the TTL of entry responses")
		}
	})
}

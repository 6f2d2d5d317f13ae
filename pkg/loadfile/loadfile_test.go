package loadfile

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const validFile = `name = "mix"
seed = 1
duration = "10s"
nodes = ["127.0.0.1:8001"]

[[tenants]]
name = "shop"
token = "secret"

[[flows]]
name = "lookups"
rank = "lookups"
service = "ledger-view"
method = "GET"
path = "/ledger"
idempotent = true
requests-per-second = 5

[[phases]]
flow = "lookups"
from = "1s"
to = "2s"
factor = 5
`

// Guards against mistakes in experiment files that are accepted silently, which makes a run measure something else.
func TestDecode(t *testing.T) {
	t.Run("a valid file gets the defaults", func(t *testing.T) {
		is := is.New(t)
		e, err := Decode("mix.toml", []byte(validFile))
		is.NoErr(err)
		is.Equal(e.Workers, defaultWorkers)
		is.Equal(e.Flows[0].Timeout, defaultTimeout)
		is.Equal(e.Tenants[0].Weight, float64(defaultWeight))
		is.Equal(e.Phases[0].To, 2*time.Second)
	})
	t.Run("unknown key", func(t *testing.T) { assertRejected(t, `seed = 1`, `sead = 1`, "sead", 2) })
	t.Run("bad unit", func(t *testing.T) { assertRejected(t, `"10s"`, `"10 apples"`, "duration", 3) })
	t.Run("undefined flow", func(t *testing.T) {
		assertRejected(t, `flow = "lookups"`, `flow = "lookup"`, "phases.flow", 0)
	})
	t.Run("rate of zero", func(t *testing.T) {
		assertRejected(t, `second = 5`, `second = 0`, "flows.lookups.requests-per-second", 0)
	})
	t.Run("undefined tenant", func(t *testing.T) {
		assertRejected(t, `idempotent = true`, `tenants = ["stranger"]`, "flows.lookups.tenants", 0)
	})
}

func assertRejected(t *testing.T, old, replacement, key string, line int) {
	t.Helper()
	is := is.New(t)
	_, err := Decode("mix.toml", []byte(strings.Replace(validFile, old, replacement, 1)))
	var rejected ExperimentError
	is.True(errors.As(err, &rejected))
	is.Equal(rejected.Key, key)
	is.Equal(rejected.Line, line)
	is.True(rejected.Remedy != "")
}

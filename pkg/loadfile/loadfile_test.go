package loadfile

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const valid = `name = "mix"
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

// Guards against experiment files whose mistakes pass silently, so that a run measures something else.
func TestDecode(t *testing.T) {
	t.Run("a valid file with defaults", func(t *testing.T) {
		is := is.New(t)
		e, err := Decode("mix.toml", []byte(valid))
		is.NoErr(err)
		is.Equal(e.Workers, defaultWorkers)
		is.Equal(e.Flows[0].Timeout, defaultTimeout)
		is.Equal(e.Tenants[0].Weight, float64(defaultWeight))
		is.Equal(e.Phases[0].To, 2*time.Second)
	})
	t.Run("an unknown key", func(t *testing.T) { assertRefused(t, `seed = 1`, `sead = 1`, "sead", 2) })
	t.Run("a bad unit", func(t *testing.T) { assertRefused(t, `"10s"`, `"10 apples"`, "duration", 3) })
	t.Run("an unknown flow", func(t *testing.T) { assertRefused(t, `flow = "lookups"`, `flow = "lookup"`, "phases.flow", 0) })
	t.Run("a rate of zero", func(t *testing.T) {
		assertRefused(t, `second = 5`, `second = 0`, "flows.lookups.requests-per-second", 0)
	})
	t.Run("an unknown tenant", func(t *testing.T) {
		assertRefused(t, `idempotent = true`, `tenants = ["stranger"]`, "flows.lookups.tenants", 0)
	})
}

func assertRefused(t *testing.T, valued, broken, key string, line int) {
	t.Helper()
	is := is.New(t)
	_, err := Decode("mix.toml", []byte(strings.Replace(valid, valued, broken, 1)))
	var refused ExperimentError
	is.True(errors.As(err, &refused))
	is.Equal(refused.Key, key)
	is.Equal(refused.Line, line)
	is.True(refused.Remedy != "")
}

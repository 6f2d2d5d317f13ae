package configquery

import (
	"testing"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/decide/fold"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// Guards against lookups that succeed with a wrong key, or on a node without configuration.
func TestQuery(t *testing.T) {
	configured := configurationWithRoutes("/")
	configured.Tenants["hash"] = fleet.Tenant{Name: "shop"}
	state := fold.State{Files: map[string]fold.File{"a.toml": {}}, Decisions: map[string]fold.Decision{"id": {}}}
	t.Run("present", func(t *testing.T) {
		assertFound(t, table.Config{Compiled: configured, Fold: state}, "hash", "a.toml", "id", true)
	})
	t.Run("other keys", func(t *testing.T) {
		assertFound(t, table.Config{Compiled: configurationWithRoutes(), Fold: state}, "other", "other", "other", false)
	})
	t.Run("without configuration", func(t *testing.T) {
		assertFound(t, table.Config{}, "hash", "a.toml", "id", false)
	})
}

func assertFound(t *testing.T, config table.Config, hash, file, id string, want bool) {
	t.Helper()
	is := is.NewRelaxed(t)
	q := Query{Config: guard.New(table.RankConfig, config)}
	_, tenant := q.Tenant(hash)
	_, route := q.Route("GET", "/")
	_, contents := q.File(file)
	_, decision := q.Decision(id)
	is.Equal([]bool{tenant, route, contents, decision}, []bool{want, want, want, want})
}

package node

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"egretline.example/egretline/service/api"
)

// Guards against operator queries that show another state than the one that the node acts on.
func TestOperatorQueries(t *testing.T) {
	f := newFleet(t, 3, 1)
	f.applyConfig(t)
	// The node learns of itself from the host list, which it may read after the configuration.
	await(t, func() bool { return f.Nodes[0].Members.Serves("rental-desk") })

	t.Run("services", func(t *testing.T) {
		var got api.Services
		assertJSON(t, f.Nodes[0], "/operator/services", &got)
		is := is.New(t)
		is.Equal(len(got.Services), 1)
		is.Equal(got.Services[0].InUse, 3)
		is.Equal(got.Services[0].Group, []string{"n0"})
	})
	t.Run("backend servers of one service", func(t *testing.T) {
		var got api.BackendServers
		assertJSON(t, f.Nodes[0], "/operator/backend-servers?service=rental-desk", &got)
		is.New(t).Equal(len(got.BackendServers), 3)
		for _, s := range got.BackendServers {
			is.New(t).True(s.Reason != "")
		}
	})
	t.Run("backend servers of another service", func(t *testing.T) {
		var got api.BackendServers
		assertJSON(t, f.Nodes[0], "/operator/backend-servers?service=other", &got)
		is.New(t).Equal(len(got.BackendServers), 0)
	})
	t.Run("explanation of a request", func(t *testing.T) {
		var got api.Explanation
		assertJSON(t, f.Nodes[0], "/operator/explain?method=GET&path=/loans/7", &got)
		is := is.New(t)
		is.Equal(got.Route, "view")
		is.Equal(len(got.Servers), 3)
		is.True(got.Servers[0].Eligible)
	})
	t.Run("peers", func(t *testing.T) {
		var got api.Peers
		assertJSON(t, f.Nodes[0], "/operator/peers", &got)
		is.New(t).Equal(got.HostID, "n0")
	})
}

func assertJSON(t *testing.T, n *Node, path string, v any) {
	t.Helper()
	is := is.New(t)
	response, err := http.Get("http://" + n.Settings.OperatorAddress + path)
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(response.StatusCode, http.StatusOK)
	is.NoErr(json.NewDecoder(response.Body).Decode(v))
}

package healthcmd

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

func poolConfiguration(servers ...fleet.BackendServer) *fleet.Configuration {
	return &fleet.Configuration{Services: map[string]fleet.Service{
		"desk": {Name: "desk", Preference: fleet.AvoidOnly, BackendServers: servers},
	}}
}

func assertSum(t *testing.T, c *Commands, zero bool) {
	t.Helper()
	c.Tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		is.New(t).Equal(b.Services["desk"]["s1"].State.Sum == 0, zero)
	})
}

func TestInstances(t *testing.T) {
	now := time.Now()
	key := table.ServerKey{Service: "desk", Address: "s1"}
	// Guards against a panic at startup, when a service is configured before its servers are registered.
	t.Run("a service without servers", func(t *testing.T) {
		c := &Commands{Tables: table.New(fleet.Host{ID: "self"}, "1")}
		c.Sync(now, poolConfiguration())
		c.Sync(now, poolConfiguration(fleet.BackendServer{Address: "s1", Instance: "i-1", Slots: 6}))
		assertSum(t, c, true)
	})
	// Guards against a new server that gets no requests because of failures of the previous server at its address.
	t.Run("a new instance at an address starts without evidence", func(t *testing.T) {
		c := &Commands{Tables: table.New(fleet.Host{ID: "self"}, "1")}
		c.Sync(now, poolConfiguration(fleet.BackendServer{Address: "s1", Instance: "i-1", Slots: 6}))
		c.ObservePeerFailure(now, key, "i-1", 0)
		assertSum(t, c, false)
		c.ObservePeerFailure(now, key, "i-2", 0)
		c.Sync(now, poolConfiguration(fleet.BackendServer{Address: "s1", Instance: "i-2", Slots: 6}))
		assertSum(t, c, true)
		c.ObservePeerFailure(now, key, "i-1", 0)
		assertSum(t, c, true)
	})
	t.Run("a server that restarts with the same instance ID starts without evidence", func(t *testing.T) {
		c := &Commands{Tables: table.New(fleet.Host{ID: "self"}, "1")}
		c.Sync(now, poolConfiguration(fleet.BackendServer{Address: "s1", Instance: "i-1", StartedAtMs: 1, Slots: 6}))
		c.ObservePeerFailure(now, key, "i-1", 0)
		c.Sync(now, poolConfiguration(fleet.BackendServer{Address: "s1", Instance: "i-1", StartedAtMs: 2, Slots: 6}))
		assertSum(t, c, true)
	})
}

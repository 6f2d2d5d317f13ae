package healthcmd

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/internal/decide/speed"
	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/healthquery"
	"egretline.example/egretline/pkg/table"
)

// Guards against a server that one wrong refusal shuts out for as long as its registration does not change: a node without
// health checks had no way to use it again.
func TestRefused(t *testing.T) {
	assertUse := func(t *testing.T, f *stallFixture, want healthquery.Use, state detect.BreakerState) {
		t.Helper()
		f.Sweep(f.now)
		f.Tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) {
			s := b.Services["desk"]["s1"]
			is.New(t).Equal(healthquery.UseOf(s, true, 0, f.now), want)
			is.New(t).Equal(detect.BreakerStateOf(&s.State, false, f.now), state)
		})
	}
	f := newStallFixture()
	f.end(f.send("s1"), time.Millisecond, fleet.Draining)
	t.Run("the server gets no request at first", func(t *testing.T) { assertUse(t, f, healthquery.NoUse, detect.Closed) })
	t.Run("later it gets a trial request", func(t *testing.T) {
		f.now = f.now.Add(refusedHoldDuration)
		f.send("s2") // the service is in use
		assertUse(t, f, healthquery.NormalUse, detect.HalfOpen)
	})
	t.Run("a refused trial shuts it out again", func(t *testing.T) {
		f.end(f.send("s1"), time.Millisecond, fleet.Draining)
		assertUse(t, f, healthquery.NoUse, detect.HalfOpen)
	})
	t.Run("a successful one returns it to use", func(t *testing.T) {
		f.now = f.now.Add(refusedHoldDuration)
		f.send("s2")
		f.Sweep(f.now)
		f.end(f.send("s1"), 100*time.Millisecond, fleet.Succeeded)
		assertUse(t, f, healthquery.NormalUse, detect.Closed)
	})
	t.Run("a server that announced its leaving is not tried", func(t *testing.T) {
		f := newStallFixture()
		a := f.send("s1")
		f.Observe(f.now, a, table.Result{Evidence: fleet.Succeeded, Response: true, Leaving: true})
		f.now = f.now.Add(time.Hour)
		f.send("s2")
		assertUse(t, f, healthquery.NoUse, detect.Closed)
	})
}

// Guards against what is known of services that are gone and stays for good.
func TestRemovedServiceIsForgotten(t *testing.T) {
	b := table.Backends{
		Services: map[string]map[string]*table.Backend{"gone": {}},
		Health:   map[string]*table.ServiceHealth{"gone": {}},
		Places:   map[string]*table.ServicePlaces{"gone": {}, "kept": {}},
		Typical:  map[table.ServiceRoute]*speed.Typical{{Service: "gone", Route: "r"}: {}, {Service: "kept", Route: "r"}: {}},
	}
	deleteDrained(&b, "gone")
	is := is.New(t)
	is.Equal(len(b.Places), 1)
	is.Equal(len(b.Typical), 1)
}

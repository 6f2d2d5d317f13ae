package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleetOf returns hosts in three zones; every tenth one is strong.
func fleetOf(n int) []fleet.Host {
	hosts := make([]fleet.Host, n)
	for i := range hosts {
		hosts[i] = fleet.Host{ID: fmt.Sprint("h", i), AvailabilityZone: fmt.Sprint("z", i%3), Weight: Capacity(0.16, 10)}
		if i%10 == 0 {
			hosts[i].Weight = Capacity(0.8, 200)
		}
	}
	return hosts
}

func assertLive(t *testing.T, s State, want bool) {
	t.Helper()
	is.New(t).Equal(Live(s, now), want)
}

func TestEntries(t *testing.T) {
	t.Run("each zone has one", func(t *testing.T) {
		is := is.New(t)
		zones := map[string]bool{}
		for _, h := range Entries(fleetOf(44), 0) {
			zones[h.AvailabilityZone] = true
		}
		is.Equal(len(zones), 3)
	})
	// Guards against an overload of one zone, whose callers share one host while those of the others have two.
	t.Run("zones have the same number while they have hosts", func(t *testing.T) {
		for load := range 12 {
			count := map[string]int{}
			for _, h := range Entries(fleetOf(110), 200*float64(load)) {
				count[h.AvailabilityZone]++
			}
			is.New(t).Equal(count["z0"], count["z1"])
			is.New(t).Equal(count["z0"], count["z2"])
		}
	})
	// Guards against a weak host that takes half of the callers of its zone while the second strong one restarts.
	t.Run("a strong host is not joined by a weak one that it would overload", func(t *testing.T) {
		is := is.New(t)
		hosts := []fleet.Host{{ID: "strong", Weight: Capacity(0.8, 200)}}
		for i := range 5 {
			hosts = append(hosts, fleet.Host{ID: fmt.Sprint("weak", i), Weight: Capacity(0.16, 10)})
		}
		is.Equal(len(Entries(hosts, 420)), 1)
		is.Equal(len(Entries(hosts[1:], 420)), 5) // without it, all of them share the load
	})
	// Guards against weak hosts whose links and processors a share of the load would fill.
	t.Run("strong hosts come first", func(t *testing.T) {
		for _, h := range Entries(fleetOf(110), 1500) {
			is.New(t).Equal(h.Weight, Capacity(0.8, 200))
		}
	})
	t.Run("the loss of a host changes one entry", func(t *testing.T) {
		is := is.New(t)
		hosts := fleetOf(44)
		before := Entries(hosts, 300)
		var left []fleet.Host
		for _, h := range hosts {
			if h.ID != before[0].ID {
				left = append(left, h)
			}
		}
		known := map[string]bool{}
		for _, h := range before {
			known[h.ID] = true
		}
		added := 0
		for _, h := range Entries(left, 300) {
			if !known[h.ID] {
				added++
			}
		}
		is.True(added <= 1)
	})
	t.Run("the order of the hosts does not matter", func(t *testing.T) {
		is := is.New(t)
		hosts := fleetOf(44)
		want := Entries(hosts, 300)
		reversed := make([]fleet.Host, 0, len(hosts))
		for i := len(hosts) - 1; i >= 0; i-- {
			reversed = append(reversed, hosts[i])
		}
		is.Equal(Entries(reversed, 300), want)
	})
}

func TestLive(t *testing.T) {
	t.Run("heard lately", func(t *testing.T) {
		assertLive(t, State{Heard: now.Add(-time.Second)}, true)
		assertLive(t, State{Heard: now.Add(-heardFor)}, false)
	})
	// Guards against callers that are sent to a host which others have not yet missed.
	t.Run("a failed contact outweighs what others say", func(t *testing.T) {
		assertLive(t, State{Told: now, Failed: now.Add(-time.Second)}, false)
		assertLive(t, State{Told: now, Failed: now.Add(-failedFor)}, true)
		assertLive(t, State{Heard: now, Failed: now.Add(-time.Second)}, true)
	})
	t.Run("a leaving host is not", func(t *testing.T) {
		assertLive(t, State{Host: fleet.Host{Leaving: true}, Heard: now, Told: now}, false)
	})
}

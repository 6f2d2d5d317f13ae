package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleetOf returns n hosts in three zones. Every tenth host has a high capacity.
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

func TestEntryHosts(t *testing.T) {
	t.Run("each zone has an entry host", func(t *testing.T) {
		is := is.New(t)
		zones := map[string]bool{}
		for _, h := range EntryHosts(fleetOf(44), 0) {
			zones[h.AvailabilityZone] = true
		}
		is.Equal(len(zones), 3)
	})
	// Guards against an overloaded zone whose callers share one entry host while the other zones have two.
	t.Run("zones with enough hosts have the same number of entry hosts", func(t *testing.T) {
		for load := range 12 {
			count := map[string]int{}
			for _, h := range EntryHosts(fleetOf(110), 200*float64(load)) {
				count[h.AvailabilityZone]++
			}
			is.New(t).Equal(count["z0"], count["z1"])
			is.New(t).Equal(count["z0"], count["z2"])
		}
	})
	// Guards against a weak host that takes half of the callers of its zone while the second strong host restarts.
	t.Run("a weak host that its share would overload is not added to a strong one", func(t *testing.T) {
		is := is.New(t)
		hosts := []fleet.Host{{ID: "strong", Weight: Capacity(0.8, 200)}}
		for i := range 5 {
			hosts = append(hosts, fleet.Host{ID: fmt.Sprint("weak", i), Weight: Capacity(0.16, 10)})
		}
		is.Equal(len(EntryHosts(hosts, 420)), 1)
		is.Equal(len(EntryHosts(hosts[1:], 420)), 5) // without the strong host, all weak ones share the load
	})
	// Guards against weak hosts whose bandwidth or processor a share of the load would exhaust.
	t.Run("strong hosts come first", func(t *testing.T) {
		for _, h := range EntryHosts(fleetOf(110), 1500) {
			is.New(t).Equal(h.Weight, Capacity(0.8, 200))
		}
	})
	t.Run("the loss of an entry host adds at most one other", func(t *testing.T) {
		is := is.New(t)
		hosts := fleetOf(44)
		before := EntryHosts(hosts, 300)
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
		for _, h := range EntryHosts(left, 300) {
			if !known[h.ID] {
				added++
			}
		}
		is.True(added <= 1)
	})
	t.Run("the order of the hosts does not matter", func(t *testing.T) {
		is := is.New(t)
		hosts := fleetOf(44)
		want := EntryHosts(hosts, 300)
		reversed := make([]fleet.Host, 0, len(hosts))
		for i := len(hosts) - 1; i >= 0; i-- {
			reversed = append(reversed, hosts[i])
		}
		is.Equal(EntryHosts(reversed, 300), want)
	})
}

func TestLive(t *testing.T) {
	t.Run("recent direct contact", func(t *testing.T) {
		assertLive(t, State{LastContact: now.Add(-time.Second)}, true)
		assertLive(t, State{LastContact: now.Add(-contactTimeout)}, false)
	})
	// Guards against callers that are sent to a failed host because other hosts still report it as live.
	t.Run("a failed contact outweighs reports of other hosts", func(t *testing.T) {
		assertLive(t, State{LastReportedContact: now, LastFailedContact: now.Add(-time.Second)}, false)
		assertLive(t, State{LastReportedContact: now, LastFailedContact: now.Add(-failedContactTimeout)}, true)
		assertLive(t, State{LastContact: now, LastFailedContact: now.Add(-time.Second)}, true)
	})
	t.Run("a leaving host is not live", func(t *testing.T) {
		assertLive(t, State{Host: fleet.Host{Leaving: true}, LastContact: now, LastReportedContact: now}, false)
	})
}

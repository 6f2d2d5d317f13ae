package group

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"egretline.example/egretline/pkg/fleet"
)

func drawHosts(t *rapid.T) []fleet.Host {
	count := rapid.IntRange(1, 60).Draw(t, "hosts")
	zones := rapid.IntRange(1, 4).Draw(t, "zones")
	hosts := make([]fleet.Host, count)
	for i := range hosts {
		hosts[i] = fleet.Host{
			ID: fmt.Sprintf("h%d", i), Region: "r",
			AvailabilityZone: fmt.Sprintf("z%d", rapid.IntRange(0, zones-1).Draw(t, "zone")),
			Weight:           rapid.SampledFrom([]float64{0, 0.5, 1, 3}).Draw(t, "weight"),
		}
	}
	return hosts
}

func drawService(t *rapid.T) fleet.Service {
	return fleet.Service{
		Name: rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "service"), Region: "r",
		GroupSize: rapid.IntRange(0, 6).Draw(t, "group size"),
	}
}

func eligibleHosts(s fleet.Service, hosts []fleet.Host) []fleet.Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h fleet.Host) bool { return h.Leaving || h.Region != s.Region })
}

// missingIDs returns the IDs of the hosts that are in a but not in b.
func missingIDs(a, b []fleet.Host) []string {
	var ids []string
	for _, h := range a {
		if !slices.ContainsFunc(b, func(o fleet.Host) bool { return o.ID == h.ID }) {
			ids = append(ids, h.ID)
		}
	}
	return ids
}

func zonesOf(hosts []fleet.Host) map[string]bool {
	all := map[string]bool{}
	for _, h := range hosts {
		all[h.AvailabilityZone] = true
	}
	return all
}

// Guards against groups that move to other hosts when an unrelated host joins or leaves. A moved group loses the health
// evidence that its members have collected.
func TestOneHostChangesLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts, s := drawHosts(t), drawService(t)
		leaving := rapid.SampledFrom(hosts).Draw(t, "gone")
		with := Members(s, hosts)
		without := Members(s, slices.DeleteFunc(slices.Clone(hosts), func(h fleet.Host) bool { return h.ID == leaving.ID }))
		for _, id := range missingIDs(with, without) {
			if id != leaving.ID {
				t.Fatalf("%s is no longer a member after %s left", id, leaving.ID)
			}
		}
		if added := missingIDs(without, with); len(added) > 1 || (len(added) == 1 && len(missingIDs(with, without)) == 0) {
			t.Fatalf("hosts %v were added after %s left", added, leaving.ID)
		}
	})
}

// Guards against a selection in one pass that differs from the definition by sorting: the best host of each zone, then
// the best of the remaining hosts.
func TestMembersAreTheBest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts, s := drawHosts(t), drawService(t)
		var first, rest []fleet.Host
		for _, h := range Rank(s.Name, hosts) {
			if zonesOf(first)[h.AvailabilityZone] {
				rest = append(rest, h)
			} else {
				first = append(first, h)
			}
		}
		size := s.GroupSize
		if size == 0 {
			size = DefaultSize
		}
		spare := min(len(rest), max(0, size-len(first)))
		if want := slices.Concat(first, rest[:spare]); !slices.Equal(Members(s, hosts), want) {
			t.Fatalf("members %v, want %v", Members(s, hosts), want)
		}
	})
}

// Guards against a group that an outage of one availability zone takes down as a whole.
func TestGroupSpansZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts, s := drawHosts(t), drawService(t)
		for i := range hosts {
			hosts[i].Leaving = rapid.IntRange(0, 9).Draw(t, "leaving") == 0
			if rapid.IntRange(0, 9).Draw(t, "other region") == 0 {
				hosts[i].Region = "other"
			}
		}
		eligible := eligibleHosts(s, hosts)
		members := Members(s, hosts)
		for _, h := range members {
			if h.Leaving || h.Region != "r" {
				t.Fatalf("%v is leaving or in another region", h)
			}
		}
		size := s.GroupSize
		if size == 0 {
			size = DefaultSize
		}
		if len(members) != max(len(zonesOf(eligible)), min(size, len(eligible))) {
			t.Fatalf("%d members of %d eligible hosts", len(members), len(eligible))
		}
		if len(zonesOf(members)) != len(zonesOf(eligible)) || len(missingIDs(members, eligible)) > 0 {
			t.Fatalf("members %v do not span the zones of the eligible hosts", members)
		}
	})
}

func equalWeightHosts(n int) []fleet.Host {
	hosts := make([]fleet.Host, n)
	for i := range hosts {
		hosts[i] = fleet.Host{ID: fmt.Sprintf("host-%03d", i), Region: "r", AvailabilityZone: fmt.Sprintf("z%d", i%4)}
	}
	return hosts
}

func countMemberships(hosts []fleet.Host, services int) map[string]int {
	counts := map[string]int{}
	for i := range services {
		for _, h := range Members(fleet.Service{Name: fmt.Sprintf("service-%d", i), Region: "r"}, hosts) {
			counts[h.ID]++
		}
	}
	return counts
}

// assertBalance fails if the count deviates from the expected one by more than six standard deviations of a uniform
// random choice.
func assertBalance(t *testing.T, count int, expected float64) {
	t.Helper()
	is.New(t).True(math.Abs(float64(count)-expected) <= 6*math.Sqrt(expected))
}

// Guards against a hash that assigns many more services to some hosts than to others.
func TestBalance(t *testing.T) {
	for _, n := range []int{44, 840} {
		t.Run(fmt.Sprintf("%d hosts", n), func(t *testing.T) {
			const services = 2000
			hosts := equalWeightHosts(n)
			counts := countMemberships(hosts, services)
			for _, h := range hosts {
				assertBalance(t, counts[h.ID], services*DefaultSize/float64(n))
			}
		})
	}
	t.Run("a host of weight 3 gets three times as many services", func(t *testing.T) {
		const services = 2000
		hosts := equalWeightHosts(40)
		hosts[0].Weight = 3
		// The host competes with the nine other hosts of its zone for one membership per zone.
		assertBalance(t, countMemberships(hosts, services)["host-000"], services*3/12.0)
	})
}

func assertIDs(t *testing.T, hosts []fleet.Host, want string) {
	t.Helper()
	var ids []string
	for _, h := range hosts {
		ids = append(ids, h.ID)
	}
	is.New(t).Equal(strings.Join(ids, " "), want)
}

func TestOrderForCaller(t *testing.T) {
	hosts := []fleet.Host{
		{ID: "a1", AvailabilityZone: "a"}, {ID: "b1", AvailabilityZone: "b"}, {ID: "b2", AvailabilityZone: "b"},
		{ID: "c1", AvailabilityZone: "c"}, {ID: "a2", AvailabilityZone: "a"},
	}
	t.Run("the caller's zone comes first and the others alternate", func(t *testing.T) {
		assertIDs(t, OrderForCaller(hosts, "b"), "b1 b2 a1 c1 a2")
	})
	t.Run("a caller in an unknown zone gets all hosts", func(t *testing.T) {
		assertIDs(t, OrderForCaller(hosts, ""), "a1 b1 c1 a2 b2")
	})
	t.Run("no hosts", func(t *testing.T) {
		assertIDs(t, OrderForCaller(nil, "a"), "")
	})
}

func TestProbers(t *testing.T) {
	t.Run("two probers are in different zones", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			hosts := drawHosts(t)
			probers := Probers("10.0.0.1:80", hosts)
			if len(probers) != min(2, len(zonesOf(hosts))) || len(zonesOf(probers)) != len(probers) {
				t.Fatalf("probers %v", probers)
			}
		})
	})
	t.Run("no members", func(t *testing.T) {
		assertIDs(t, Probers("10.0.0.1:80", nil), "")
	})
}

func TestOwner(t *testing.T) {
	is := is.New(t)
	hosts := equalWeightHosts(3)
	first, found := Owner("snapshot", hosts)
	is.True(found)
	for i := range hosts {
		hosts[i].Leaving = hosts[i].ID == first.ID
	}
	second, found := Owner("snapshot", hosts)
	is.True(found)
	is.True(second.ID != first.ID) // a leaving host must not own a task
	_, found = Owner("snapshot", nil)
	is.Equal(found, false)
}

// Measures the cost of selecting one group from 840 hosts, the fleet size expected in two years.
func BenchmarkMembers840(b *testing.B) {
	hosts := equalWeightHosts(840)
	for b.Loop() {
		Members(fleet.Service{Name: "service", Region: "r"}, hosts)
	}
}

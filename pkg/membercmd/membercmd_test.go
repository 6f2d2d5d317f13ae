package membercmd_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/decide/member"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/membercmd"
	"egretline.example/egretline/pkg/memberquery"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/service/api"
)

var start = time.Unix(1000, 0)

func host(i int) fleet.Host {
	return fleet.Host{
		ID: fmt.Sprintf("h%d", i), Region: "r", AvailabilityZone: "z",
		CallerAddress: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
		PeerAddress:   fmt.Sprintf("10.0.%d.%d:8081", i/250, i%250),
	}
}

// hosts returns n hosts in four availability zones.
func hosts(n int) []fleet.Host {
	all := make([]fleet.Host, n)
	for i := range all {
		all[i] = host(i)
		all[i].AvailabilityZone = fmt.Sprintf("z%d", i%4)
	}
	return all
}

func newConfiguration(services int) *fleet.Configuration {
	c := &fleet.Configuration{Revision: 1, Services: map[string]fleet.Service{}}
	for i := range services {
		name := fmt.Sprintf("s%d", i)
		c.Services[name] = fleet.Service{Name: name, Region: "r"}
	}
	return c
}

// newNode returns the commands and queries of host 0 in a fleet of the given size.
func newNode(n, services int) (*membercmd.Commands, *memberquery.Queries) {
	t := table.New(hosts(n)[0], "i0")
	c, q := &membercmd.Commands{Tables: t}, &memberquery.Queries{Tables: t}
	c.AdoptHostList(hosts(n), start)
	c.Refresh(newConfiguration(services), start)
	return c, q
}

func assertHosts(t *testing.T, list []fleet.Host, want string) {
	t.Helper()
	var ids []string
	for _, h := range list {
		ids = append(ids, h.ID)
	}
	is.New(t).Equal(strings.Join(ids, " "), want)
}

// markUnreachable records as many failed contacts as make the host unreachable.
func markUnreachable(c *membercmd.Commands, id string) {
	for range member.FailureLimit {
		c.ObserveContact(id, false, start)
	}
}

func TestGroups(t *testing.T) {
	t.Run("heartbeats go to the other members", func(t *testing.T) {
		_, q := newNode(4, 1)
		assertHosts(t, q.HeartbeatTargets(start), "h1 h2 h3")
	})
	t.Run("a node that is in no group sends no heartbeats", func(t *testing.T) {
		_, q := newNode(400, 0)
		assertHosts(t, q.HeartbeatTargets(start), "")
	})
	t.Run("an unreachable member gets heartbeats but no forwarded requests", func(t *testing.T) {
		c, q := newNode(4, 1)
		markUnreachable(c, "h1")
		c.Refresh(newConfiguration(1), start)
		assertHosts(t, q.HeartbeatTargets(start), "h1 h2 h3")
		is.New(t).Equal(len(q.Targets("s0", start)), 2)
	})
	t.Run("a leaving node sends heartbeats to all hosts", func(t *testing.T) {
		c, q := newNode(50, 0)
		c.SetLeaving()
		is.New(t).Equal(len(q.HeartbeatTargets(start)), 49)
	})
	t.Run("a leaving node sends heartbeats to a large fleet in rotation", func(t *testing.T) {
		c, q := newNode(400, 0)
		c.SetLeaving()
		notified := map[string]bool{}
		for second := range 7 {
			targets := q.HeartbeatTargets(start.Add(time.Duration(second) * time.Second))
			is.New(t).True(len(targets) <= 64)
			for _, h := range targets {
				notified[h.ID] = true
			}
		}
		is.New(t).Equal(len(notified), 399) // a host without a heartbeat would keep the node in its entry responses
	})
	t.Run("a member that announces that it is leaving stops being an entry host at once", func(t *testing.T) {
		c, q := newNode(4, 1)
		leaving := hosts(4)[2]
		leaving.Leaving = true
		c.RecordHeartbeat(member.Heartbeat{Host: leaving, Incarnation: "1"}, start)
		is := is.New(t)
		is.Equal(len(q.Entries("s0", "z0", start)), 3)
		is.Equal(len(q.Targets("s0", start)), 2)
	})
	t.Run("a restarted host at the same address has the key prefix of its new incarnation", func(t *testing.T) {
		c, q := newNode(4, 1)
		c.RecordHeartbeat(member.Heartbeat{Host: hosts(4)[1], Incarnation: "1", Epoch: 3}, start)
		c.RecordHeartbeat(member.Heartbeat{Host: hosts(4)[1], Incarnation: "2"}, start)
		is := is.New(t)
		is.Equal(q.Entries("s0", "z1", start)[0].KeyPrefix, "h1.2.0")
		is.Equal(q.Entries("s0", "z1", start.Add(5*time.Minute))[0].KeyPrefix, "") // the epoch may have passed
	})
	t.Run("a heartbeat with the ID of this host is ignored", func(t *testing.T) {
		c, q := newNode(4, 1)
		is.New(t).Equal(c.RecordHeartbeat(member.Heartbeat{Host: hosts(4)[0], Incarnation: "9"}, start), member.Superseded)
		_, incarnation := q.Self()
		is.New(t).Equal(incarnation, "i0")
	})
}

// BenchmarkRefresh840 measures the recomputation of groups at the fleet size expected in two years, and the size of a
// heartbeat.
func BenchmarkRefresh840(b *testing.B) {
	c, q := newNode(840, 260)
	next := newConfiguration(260)
	for b.Loop() {
		next.Revision++
		c.Refresh(next, start)
	}
	body, _ := json.Marshal(api.Heartbeat{Host: api.Host(host(0)), Incarnation: member.Incarnation(start, 1)})
	b.ReportMetric(float64(len(body)), "heartbeat-bytes")
	b.ReportMetric(float64(len(q.HeartbeatTargets(start))), "heartbeat-targets")
}

// BenchmarkRefresh measures the recomputation of groups by the size of the fleet.
func BenchmarkRefresh(b *testing.B) {
	for _, size := range []struct{ hosts, services int }{{44, 3}, {200, 60}, {840, 260}} {
		b.Run(fmt.Sprintf("hosts=%d/services=%d", size.hosts, size.services), func(b *testing.B) {
			c, _ := newNode(size.hosts, size.services)
			next := newConfiguration(size.services)
			b.ReportAllocs()
			for b.Loop() {
				next.Revision++
				c.Refresh(next, start)
			}
		})
	}
}

// BenchmarkEntries measures the choice of entry hosts for an entry response by the size of the fleet.
func BenchmarkEntries(b *testing.B) {
	for _, size := range []struct{ hosts, services int }{{44, 3}, {200, 60}, {840, 260}} {
		b.Run(fmt.Sprintf("hosts=%d/services=%d", size.hosts, size.services), func(b *testing.B) {
			_, q := newNode(size.hosts, size.services)
			b.ReportAllocs()
			for b.Loop() {
				q.Entries("s0", "z1", start)
			}
		})
	}
}

// BenchmarkRefreshUnchanged840 measures a refresh without any change of hosts or configuration.
func BenchmarkRefreshUnchanged840(b *testing.B) {
	c, _ := newNode(840, 260)
	unchanged := newConfiguration(260)
	for b.Loop() {
		c.Refresh(unchanged, start)
	}
}

package entrynode

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/internal/decide/zoneshare"
	"egretline.example/egretline/internal/peer/peerapi"
	"egretline.example/egretline/internal/roster/rostercmd"
	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

const zoneService = "rental-desk"

// newZoneNode returns an entry host in zone a whose callers need 20 slots, with a server of eight slots in each of the zones
// a and b, and another entry host in each of the given zones.
func newZoneNode(t *testing.T, enabled bool, others ...string) *Node {
	t.Helper()
	n := newNode(t)
	n.Options.Zones.Enabled = enabled
	n.reports.zones.Settings = n.Options.Zones
	n.rosterCommands.SetReady(true)
	for _, zone := range others {
		n.rosterCommands.RecordContact(time.Now(), rostercmd.Announcement{
			Host:  fleet.Host{ID: zone + "1", AvailabilityZone: zone, PeerAddress: "127.0.0.1:1", Weight: 1},
			Ready: true,
		})
	}
	n.rosterCommands.SelectEntryHosts(time.Now(), 0)
	n.Tables.Backends.Write(guard.Held{}, func(h guard.Held, b *table.Backends) {
		b.Services[zoneService] = map[string]*table.Backend{
			"s1": {Server: fleet.BackendServer{Address: "s1", AvailabilityZone: "a", Slots: 8}},
			"s2": {Server: fleet.BackendServer{Address: "s2", AvailabilityZone: "b", Slots: 8}},
		}
		n.Tables.Queues.Write(h, func(_ guard.Held, q *table.Queues) {
			queue := &admission.Queue[*table.Ticket]{Ranks: make([]admission.RankQueue[*table.Ticket], 1)}
			queue.Ranks[0].Held = 20
			q.Services[zoneService] = queue
		})
	})
	return n
}

// stepNow takes two steps, because the first one has no demand yet, and returns the section that is reported.
func stepNow(n *Node) *peerapi.ServiceLoads {
	now := time.Now()
	n.stepZones(now, 0)
	return n.stepZones(now.Add(time.Second), 0)
}

func assertMetrics(t *testing.T, n *Node, prefix string, want bool) {
	t.Helper()
	w := httptest.NewRecorder()
	n.Metrics().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	if got := strings.Contains(w.Body.String(), prefix); got != want {
		t.Errorf("metrics have %q: %v, want %v:\n%s", prefix, got, want, w.Body)
	}
}

// Guards against nodes that decide about zones without telling other entry hosts or the operator, that ignore what other
// hosts report, or that do either although it is off.
func TestZones(t *testing.T) {
	t.Run("reports its load and serves the share", func(t *testing.T) {
		n := newZoneNode(t, true, "b")
		n.reports.ObserveReport(time.Now().Add(time.Second), peerapi.Report{ // stepNow takes its last step then
			From: peerapi.Host{ID: "b1", AvailabilityZone: "b"}, Incarnation: 1, Sequence: 1,
			Load: peerapi.LoadsMessage(map[string]zoneshare.Load{zoneService: {Demand: 3, Slots: 8}}),
		})
		load := stepNow(n)
		is.New(t).Equal(load.Services[zoneService].Slots, 8.0)
		is.New(t).True(load.Services[zoneService].Demand > 15)
		assertMetrics(t, n, `zone-share{service="rental-desk",zone="a",cause="all-zones-full"} `, true)
	})
	t.Run("takes the reports of others", func(t *testing.T) {
		n := newZoneNode(t, true)
		n.reports.ObserveReport(time.Now(), peerapi.Report{
			From: peerapi.Host{ID: "b1", AvailabilityZone: "b"}, Incarnation: 1, Sequence: 1,
			Load: peerapi.LoadsMessage(map[string]zoneshare.Load{zoneService: {Demand: 3, Slots: 8}}),
		})
		n.Tables.Zones.Read(guard.Held{}, func(_ guard.Held, z *table.Zones) {
			is.New(t).Equal(z.Reports["b1"].Services[zoneService], zoneshare.Load{Demand: 3, Slots: 8})
			is.New(t).Equal(z.Reports["b1"].AvailabilityZone, "b")
		})
	})
	// Guards against servers that nobody visits because the host whose turn it is was killed a moment ago.
	t.Run("servers are shared for visits by the hosts that were heard", func(t *testing.T) {
		n := newZoneNode(t, true, "b", "c")
		is.New(t).Equal(n.sharing().Nodes, 3)
		is.New(t).Equal(n.sharing().Visitors, 1)
		n.reports.ObserveReport(time.Now(), peerapi.Report{
			From: peerapi.Host{ID: "b1", AvailabilityZone: "b"}, Incarnation: 1, Sequence: 1, Load: &peerapi.ServiceLoads{},
		})
		is.New(t).Equal(n.sharing().Visitors, 2)
		is.New(t).Equal(n.sharing().VisitorsInZone, 1)
	})
	t.Run("an idle node reports", func(t *testing.T) {
		n := newZoneNode(t, true, "b")
		n.Tables.Queues.Write(guard.Held{}, func(_ guard.Held, q *table.Queues) { clear(q.Services) })
		load := stepNow(n)
		is.New(t).True(load != nil && len(load.Services) == 0)
	})
	t.Run("one zone has nothing to report", func(t *testing.T) {
		is.New(t).Equal(stepNow(newZoneNode(t, true)), nil)
	})
	t.Run("off", func(t *testing.T) {
		n := newZoneNode(t, false, "b")
		is.New(t).Equal(stepNow(n), nil)
		assertMetrics(t, n, "zone-", false)
	})
}

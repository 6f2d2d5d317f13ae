package quotacmd

import (
	"testing"
	"time"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// Guards against hosts that are told after a partition that a customer was inactive on the other side, because the other side
// has forgotten meanwhile whom it has not told.
func TestUseDuringPartitionIsReportedAfterwards(t *testing.T) {
	for _, hosts := range []int{2, 3} {
		f := newTestFleet(hosts, fleet.Quota{RequestsPerSecond: 40, Burst: 40}, 1)
		last := f.Hosts[hosts-1]
		last.Side = 1
		f.setDemand(0, 1)
		f.Hosts[0].Demand = 400
		f.run(4 * time.Second)
		f.Hosts[0].Demand = 0
		f.run(time.Second)
		last.Side = 0
		f.run(time.Second)
		assertKnownUse(t, f.Hosts[0], last)
	}
}

// assertKnownUse checks that the host has heard what another one has accepted.
func assertKnownUse(t *testing.T, of, at *testHost) {
	t.Helper()
	var used, known float64
	of.Tables.Quotas.Read(guard.Held{}, func(_ guard.Held, q *table.Quotas) { used = q.Buckets[customerName].Used })
	at.Tables.Quotas.Read(guard.Held{}, func(_ guard.Held, q *table.Quotas) {
		if b := q.Buckets[customerName]; b != nil {
			known = b.Reported[of.ID].Used
		}
	})
	if used == 0 || known != used {
		t.Errorf("%s has heard of %.0f requests at %s, want %.0f", at.ID, known, of.ID, used)
	}
}

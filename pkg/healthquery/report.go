package healthquery

import (
	"cmp"
	"slices"
	"time"

	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// ReportPeriod is the least time between two reports to the group. Fresh evidence is reported before the next regular
// heartbeat, because the wait is part of the detection time, which has a target of 2 s.
const ReportPeriod = 250 * time.Millisecond

// maxSuspicions bounds the size of a heartbeat. A node that suspects more servers at once reports the most suspected.
const maxSuspicions = 32

// activeFor is how long after the last evidence a pool is looked at periodically.
const activeFor = 2 * time.Minute

// Active says whether there is recent evidence about the pool. A node holds the pools of all services, most of which it
// does not serve; looking at 11,000 servers several times a second took more than the 3.7% of a core that control may take.
func Active(h *table.Health, now time.Time) bool {
	return !h.Touched.IsZero() && now.Sub(h.Touched) < activeFor
}

// Suspicion is the evidence about one backend server from this node's own requests.
type Suspicion struct {
	Server table.ServerKey
	table.Suspicion
}

// Report is what a heartbeat says about backend servers. The receiver knows the zone of the sender from the heartbeat.
type Report struct {
	Suspicions []Suspicion
	Leaving    []table.ServerKey
}

// Report returns the suspicions of this node, the strongest first, and the servers of which this node itself found that
// they are leaving. What peers reported is left out, so that a report does not circulate after its cause has ended. An
// isolated node reports nothing.
func (q *Queries) Report(now time.Time) Report {
	var r Report
	q.Tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		if b.Isolated {
			return
		}
		for name, servers := range b.Services {
			if !Active(b.Health[name], now) {
				continue
			}
			for address, s := range servers {
				key := table.ServerKey{Service: name, Address: address}
				if s.Leaving {
					r.Leaving = appendLeaving(r.Leaving, key, s)
					continue
				}
				r.Suspicions = appendSuspicion(r.Suspicions, key, s, b.Health[name], now)
			}
		}
	})
	slices.SortFunc(r.Leaving, compareKeys)
	slices.SortFunc(r.Suspicions, func(x, y Suspicion) int {
		return cmp.Or(cmp.Compare(y.Excess, x.Excess), compareKeys(x.Server, y.Server))
	})
	r.Suspicions = r.Suspicions[:min(len(r.Suspicions), maxSuspicions)]
	return r
}

// Fresh says whether there is evidence from the last ReportPeriod that the other members should hear of early.
func (q *Queries) Fresh(now time.Time) bool {
	var fresh bool
	q.Tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		for name, servers := range b.Services {
			if !Active(b.Health[name], now) {
				continue
			}
			for _, s := range servers {
				fresh = fresh || freshEvidence(s, b.Health[name], now)
			}
		}
		fresh = fresh && !b.Isolated
	})
	return fresh
}

func freshEvidence(s *table.Backend, health *table.Health, now time.Time) bool {
	if s.Leaving {
		return s.LeavingReason != table.LeavingReported && now.Sub(s.LeavingSince) <= ReportPeriod
	}
	baseline := detect.Rest(health.Summary, &s.State, now)
	return now.Sub(s.State.LastFailure) <= ReportPeriod && detect.Reportable(&s.State, baseline, now)
}

func appendLeaving(list []table.ServerKey, key table.ServerKey, s *table.Backend) []table.ServerKey {
	if s.LeavingReason == table.LeavingReported || s.LeavingReason == table.LeavingRemoved {
		return list
	}
	return append(list, key)
}

func appendSuspicion(
	list []Suspicion, key table.ServerKey, s *table.Backend, health *table.Health, now time.Time,
) []Suspicion {
	baseline := detect.Rest(health.Summary, &s.State, now)
	if !detect.Reportable(&s.State, baseline, now) {
		return list
	}
	return append(list, Suspicion{Server: key, Suspicion: table.Suspicion{
		Excess: detect.Excess(&s.State, baseline), Age: now.Sub(s.State.LastFailure),
	}})
}

func compareKeys(a, b table.ServerKey) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Address, b.Address))
}

package healthquery

import (
	"cmp"
	"slices"
	"time"

	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// MinReportInterval is the minimum interval between two reports to the group. Fresh evidence is reported before the next
// regular heartbeat, because the wait adds to the detection time, which has a target of 2 s.
const MinReportInterval = 250 * time.Millisecond

// maxReportedSuspicions bounds the size of a heartbeat. A node that suspects more servers reports those with the
// strongest evidence.
const maxReportedSuspicions = 32

// evidenceMaxAge is the age of the last evidence up to which a pool is included in sweeps and reports.
const evidenceMaxAge = 2 * time.Minute

// HasRecentEvidence reports whether there is recent evidence about the pool. Other pools are skipped: a node holds the
// pools of all services, most of which it does not serve, and iterating over 11,000 servers several times a second took
// more than the 3.7% of a core that is budgeted for control work.
func HasRecentEvidence(h *table.ServiceHealth, now time.Time) bool {
	return !h.LastEvidence.IsZero() && now.Sub(h.LastEvidence) < evidenceMaxAge
}

// Suspicion is the evidence against one backend server from this node's own requests.
type Suspicion struct {
	Server table.ServerKey
	table.Suspicion
}

// Report is the content of a heartbeat about backend servers. It omits the availability zone of the sender, which the
// heartbeat contains.
type Report struct {
	Suspicions []Suspicion
	Leaving    []table.ServerKey
}

// Report returns the suspicions of this node, strongest first, and the servers that this node itself found to be
// leaving. Reports from peers are not repeated, because they would circulate after their cause has ended. The report of
// an isolated node is empty.
func (q *Queries) Report(now time.Time) Report {
	var r Report
	q.Tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		if b.Isolated {
			return
		}
		for name, servers := range b.Services {
			if !HasRecentEvidence(b.Health[name], now) {
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
	r.Suspicions = r.Suspicions[:min(len(r.Suspicions), maxReportedSuspicions)]
	return r
}

// HasFreshEvidence reports whether there is evidence, no older than MinReportInterval, that requires a report before the
// next regular heartbeat.
func (q *Queries) HasFreshEvidence(now time.Time) bool {
	var fresh bool
	q.Tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		for name, servers := range b.Services {
			if !HasRecentEvidence(b.Health[name], now) {
				continue
			}
			for _, s := range servers {
				fresh = fresh || hasFreshEvidence(s, b.Health[name], now)
			}
		}
		fresh = fresh && !b.Isolated
	})
	return fresh
}

func hasFreshEvidence(s *table.Backend, health *table.ServiceHealth, now time.Time) bool {
	if s.Leaving {
		return s.LeavingReason != table.LeavingReported && now.Sub(s.LeavingSince) <= MinReportInterval
	}
	baseline := detect.BaselineFor(health.Summary, &s.State, now)
	return now.Sub(s.State.LastFailure) <= MinReportInterval && detect.Reportable(&s.State, baseline, now)
}

func appendLeaving(list []table.ServerKey, key table.ServerKey, s *table.Backend) []table.ServerKey {
	if s.LeavingReason == table.LeavingReported || s.LeavingReason == table.LeavingRemoved {
		return list
	}
	return append(list, key)
}

func appendSuspicion(
	list []Suspicion, key table.ServerKey, s *table.Backend, health *table.ServiceHealth, now time.Time,
) []Suspicion {
	baseline := detect.BaselineFor(health.Summary, &s.State, now)
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

package healthquery

import (
	"cmp"
	"slices"
	"time"

	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

const (
	// probeIdleDuration is the time without requests from callers after which a server is probed.
	probeIdleDuration = 5 * time.Second
	// LeavingHoldDuration is the time since the last sign of leaving after which a probe without such a sign returns the
	// server to use. It is longer than the time for which a lagging host list contradicts the server.
	LeavingHoldDuration = 60 * time.Second
)

// ProbeTarget is a backend server whose health is not shown by traffic and has to be probed.
type ProbeTarget struct {
	Server table.ServerKey
	// Leaving reports whether the probe only checks for the return of a leaving server. Each node sends such a probe
	// itself, whereas other probes are divided among the group members.
	Leaving bool
}

// ProbeTargets returns the backend servers that need a probe, sorted by service and address: idle servers of the
// services that this node serves, and leaving servers of all services. Ejected servers, including those ejected only
// in this node's availability zone, are omitted, because only trial requests return them to use.
func (q *Queries) ProbeTargets(now time.Time, served map[string]bool) []ProbeTarget {
	var list []ProbeTarget
	q.Tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		for name, servers := range b.Services {
			for address, s := range servers {
				if (served[name] || s.Leaving) && needsProbe(s, now) {
					key := table.ServerKey{Service: name, Address: address}
					list = append(list, ProbeTarget{Server: key, Leaving: s.Leaving})
				}
			}
		}
	})
	slices.SortFunc(list, func(a, b ProbeTarget) int {
		return cmp.Or(cmp.Compare(a.Server.Service, b.Server.Service), cmp.Compare(a.Server.Address, b.Server.Address))
	})
	return list
}

func needsProbe(s *table.Backend, now time.Time) bool {
	if s.Leaving {
		return s.LeavingReason != table.LeavingRemoved && now.Sub(s.LeavingSince) >= LeavingHoldDuration
	}
	return !detect.OutOfUse(&s.State) && now.Sub(s.State.LastRequestResult) >= probeIdleDuration
}

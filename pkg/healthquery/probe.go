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
	// idleAge is the time without real requests after which a server is probed.
	idleAge = 5 * time.Second
	// LeavingEnds is how long after the last sign of leaving a probe without that sign means that the server has returned.
	// It is longer than the time for which a lagging host list contradicts the server.
	LeavingEnds = 60 * time.Second
)

// ProbeTarget is a backend server about which traffic gives no evidence.
type ProbeTarget struct {
	Server table.ServerKey
	// Leaving says that the probe only finds out whether the server has returned. Every member sends it for itself.
	Leaving bool
}

// ProbeTargets returns the servers that need a probe, sorted by service and address: those of the services that this
// node serves, and leaving ones of all services. Servers that are out of use are left out, because only trial requests return
// them.
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
		return s.LeavingReason != table.LeavingRemoved && now.Sub(s.LeavingSince) >= LeavingEnds
	}
	return !detect.Out(&s.State) && now.Sub(s.State.LastReal) >= idleAge
}

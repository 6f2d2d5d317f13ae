package healthquery

import (
	"cmp"
	"slices"
	"time"

	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// InUse is the use of a server that takes work.
const InUse = "in-use"

// Queries reads the Backends table of one node.
type Queries struct {
	Tables *table.Tables
}

// ServerState is the health of one backend server at this node.
type ServerState struct {
	Service          string
	Address          string
	AvailabilityZone string
	// Use is one of in-use, avoided, ejected, leaving.
	Use string
	// Known says that a real request succeeded recently and that no suspicion has built up.
	Known       bool
	Outstanding int
	// Reason is a sentence for operators.
	Reason string
}

// Servers returns the state of all servers, sorted by service and address.
func (q *Queries) Servers(now time.Time) []ServerState {
	var list []ServerState
	q.Tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		for name, servers := range b.Services {
			for _, s := range servers {
				list = append(list, ServerState{
					Service: name, Address: s.Server.Address, AvailabilityZone: s.Server.AvailabilityZone,
					Use: use(s), Known: detect.Healthy(&s.State, b.Health[name].Settings, now),
					Outstanding: s.Outstanding, Reason: reason(s, b.Health[name], now),
				})
			}
		}
	})
	slices.SortFunc(list, func(a, b ServerState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Address, b.Address))
	})
	return list
}

// Eligible returns the addresses of the servers of the service that are in use, sorted.
func (q *Queries) Eligible(service string, now time.Time) []string {
	var list []string
	q.Tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		for address, s := range b.Services[service] {
			if UseOf(s, false, 0, now) == NormalUse {
				list = append(list, address)
			}
		}
	})
	slices.Sort(list)
	return list
}

// Isolated says whether the node is at fault itself, so that callers should be sent elsewhere.
func (q *Queries) Isolated() bool {
	var isolated bool
	q.Tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) { isolated = b.Isolated })
	return isolated
}

func use(s *table.Backend) string {
	switch {
	case s.Leaving:
		return "leaving"
	case detect.Out(&s.State):
		return string(s.State.Ejection.Scope)
	default:
		return InUse
	}
}

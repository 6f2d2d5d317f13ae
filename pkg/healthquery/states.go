package healthquery

import (
	"cmp"
	"slices"
	"time"

	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// InUse is the value of ServerState.Use for a server that gets requests.
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
	// Use is one of in-use, avoided (ejected in this node's availability zone only), ejected, leaving.
	Use string
	// KnownHealthy reports whether the server is known to be healthy: a request from a caller succeeded recently and
	// there is little evidence of failures.
	KnownHealthy bool
	Outstanding  int
	// Reason explains the use to operators in one or two sentences.
	Reason string
}

// Servers returns the state of all backend servers, sorted by service and address.
func (q *Queries) Servers(now time.Time) []ServerState {
	var list []ServerState
	q.Tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		for name, servers := range b.Services {
			for _, s := range servers {
				list = append(list, ServerState{
					Service: name, Address: s.Server.Address, AvailabilityZone: s.Server.AvailabilityZone,
					Use: useName(s), KnownHealthy: detect.Healthy(&s.State, b.Health[name].Settings, now),
					Outstanding: s.Outstanding, Reason: describeState(s, b.Health[name], now),
				})
			}
		}
	})
	slices.SortFunc(list, func(a, b ServerState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Address, b.Address))
	})
	return list
}

// Eligible returns the sorted addresses of the service's backend servers that are in use.
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

// Isolated reports whether the failures that this node sees are its own fault. Callers should then use another node.
func (q *Queries) Isolated() bool {
	var isolated bool
	q.Tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) { isolated = b.Isolated })
	return isolated
}

// useName returns the value of ServerState.Use.
func useName(s *table.Backend) string {
	switch {
	case s.Leaving:
		return "leaving"
	case detect.OutOfUse(&s.State):
		return string(s.State.Ejection.Scope)
	default:
		return InUse
	}
}

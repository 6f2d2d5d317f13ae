package configfile

import (
	"maps"
	"slices"
	"time"

	"egretline.example/egretline/pkg/fleet"
)

// DefaultTimeout is the request timeout of routes without a timeout key.
const DefaultTimeout = 10 * time.Second

func buildFile(name string, d document) fleet.File {
	f := fleet.File{
		Name:     name,
		Ranks:    make([]fleet.Rank, 0, len(d.Ranks)),
		Services: make([]fleet.Service, 0, len(d.Services)),
		Routes:   make([]fleet.Route, 0, len(d.Routes)),
		Tenants:  make([]fleet.Tenant, 0, len(d.Tenants)),
	}
	for _, r := range d.Ranks {
		f.Ranks = append(f.Ranks, buildRank(r))
	}
	for _, key := range slices.Sorted(maps.Keys(d.Services)) {
		f.Services = append(f.Services, buildService(key, d.Services[key]))
	}
	for _, r := range d.Routes {
		f.Routes = append(f.Routes, buildRoute(r))
	}
	for _, key := range slices.Sorted(maps.Keys(d.Tenants)) {
		f.Tenants = append(f.Tenants, buildTenant(key, d.Tenants[key]))
	}
	return f
}

func buildRank(r rankEntry) fleet.Rank {
	built := fleet.Rank(r)
	if built.SlotLimit == 0 {
		built.SlotLimit = 1
	}
	return built
}

func buildService(name string, s serviceEntry) fleet.Service {
	built := fleet.Service{
		Name:       name,
		Region:     s.Region,
		Floor:      s.Floor,
		GroupSize:  s.GroupSize,
		Preference: fleet.Preference(s.Preference),
		ColdStart:  parseDuration(s.ColdStart),
		// The exact capacity saves memory in fleets with thousands of backend servers.
		BackendServers: make([]fleet.BackendServer, 0, len(s.BackendServers)),
	}
	if built.Preference == "" {
		built.Preference = fleet.Balanced
	}
	for _, b := range s.BackendServers {
		built.BackendServers = append(built.BackendServers, fleet.BackendServer{
			Address: b.Address, AvailabilityZone: b.AvailabilityZone, Slots: b.Slots, Connections: b.Connections,
		})
	}
	return built
}

func buildRoute(r routeEntry) fleet.Route {
	built := fleet.Route{
		Name:       r.Name,
		Service:    r.Service,
		Method:     r.Method,
		PathPrefix: r.PathPrefix,
		Rank:       r.Rank,
		Idempotent: r.Idempotent,
		Timeout:    parseDuration(r.Timeout),
	}
	if built.Timeout <= 0 {
		built.Timeout = DefaultTimeout
	}
	return built
}

func buildTenant(name string, t tenantEntry) fleet.Tenant {
	return fleet.Tenant{
		Name:        name,
		TokenSHA256: t.TokenSHA256,
		Services:    t.Services,
		Limits: fleet.Limits{
			RequestsPerSecond: t.RequestsPerSecond,
			Burst:             t.Burst,
			InFlight:          t.InFlight,
		},
	}
}

// parseDuration returns zero for an invalid duration.
func parseDuration(s string) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0
	}
	return d
}

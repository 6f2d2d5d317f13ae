// Package configfile decodes configuration files (TOML) and merges them into the configuration that requests use.
package configfile

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"egretline.example/egretline/pkg/fleet"
)

// Decode returns the configuration file of that name.
func Decode(name string, contents []byte) (fleet.File, error) {
	var d document
	decoder := toml.NewDecoder(bytes.NewReader(contents)).DisallowUnknownFields()
	if err := decoder.Decode(&d); err != nil {
		return fleet.File{}, eris.Wrap(err, name)
	}
	return build(name, d), nil
}

func build(name string, d document) fleet.File {
	f := fleet.File{Name: name}
	for _, r := range d.Ranks {
		f.Ranks = append(f.Ranks, fleet.Rank(r))
	}
	for _, key := range slices.Sorted(maps.Keys(d.Services)) {
		f.Services = append(f.Services, service(key, d.Services[key]))
	}
	for _, r := range d.Routes {
		f.Routes = append(f.Routes, route(r))
	}
	for _, key := range slices.Sorted(maps.Keys(d.Tenants)) {
		f.Tenants = append(f.Tenants, tenant(key, d.Tenants[key]))
	}
	return f
}

func service(name string, s serviceEntry) fleet.Service {
	built := fleet.Service{
		Name:       name,
		Region:     s.Region,
		Floor:      s.Floor,
		GroupSize:  s.GroupSize,
		Preference: fleet.Preference(s.Preference),
		ColdStart:  duration(s.ColdStart),
	}
	if built.Preference == "" {
		built.Preference = fleet.Balanced
	}
	for _, b := range s.BackendServers {
		built.BackendServers = append(built.BackendServers, fleet.BackendServer(b))
	}
	return built
}

func route(r routeEntry) fleet.Route {
	built := fleet.Route{
		Name:       r.Name,
		Service:    r.Service,
		Method:     r.Method,
		PathPrefix: r.PathPrefix,
		Rank:       r.Rank,
		Idempotent: r.Idempotent,
		Timeout:    duration(r.Timeout),
	}
	if built.Timeout <= 0 {
		built.Timeout = DefaultTimeout
	}
	return built
}

func tenant(name string, t tenantEntry) fleet.Tenant {
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

// DefaultTimeout bounds requests of a route that states no timeout.
const DefaultTimeout = 10 * time.Second

// duration returns zero for a value that is not a duration.
func duration(s string) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0
	}
	return d
}

package healthcmd

import (
	"time"

	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/pkg/trace"
)

// Sync updates the table to a configuration. Servers that are no longer configured are marked as leaving, and are
// deleted once their requests in flight have ended.
func (c *Commands) Sync(now time.Time, conf *fleet.Configuration) {
	c.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		for name, service := range conf.Services {
			syncService(b, name, service, c.TrialJitter, now)
		}
		for name := range b.Services {
			if _, kept := conf.Services[name]; !kept {
				markRemoved(b, name, nil, now)
			}
		}
	})
	zone := c.selfMember().AvailabilityZone
	for name, service := range conf.Services {
		c.record(trace.Event{
			At: now, Kind: trace.Defined, Service: name, AvailabilityZone: zone, Definition: trace.DefinitionOf(service),
		})
	}
}

func syncService(b *table.Backends, name string, service fleet.Service, trialJitter time.Duration, now time.Time) {
	servers, poolKnown := b.Services[name]
	if !poolKnown {
		servers = map[string]*table.Backend{}
		b.Services[name] = servers
		b.Health[name] = &table.ServiceHealth{}
	}
	health := b.Health[name]
	health.Floor = max(1, service.Floor)
	health.Settings = detect.SettingsOf(service)
	health.Settings.OpenJitter = trialJitter
	current := map[string]bool{}
	for _, server := range service.BackendServers {
		current[server.Address] = true
		s := servers[server.Address]
		if s == nil || s.LeavingReason == table.LeavingRemoved || isNewRun(s.Server, server) {
			s = newBackend(s, poolKnown, now)
			servers[server.Address] = s
		}
		s.Server = server
		applyNotice(b, s, table.LeavingAnnounced, now)
	}
	markRemoved(b, name, current, now)
}

// isNewRun reports whether the server at an address was replaced or restarted between the definitions a and b.
// Earlier evidence does not apply to the new run.
func isNewRun(a, b fleet.BackendServer) bool {
	return a.Instance != b.Instance || a.StartedAtMs != b.StartedAtMs
}

// newBackend returns the state of a server that joins a pool. A cold start is assumed only if the pool was already
// known: in a pool that is new to this node, the server may have been running for a long time. The requests in flight
// of the previous server at the address are kept.
func newBackend(previous *table.Backend, poolKnown bool, now time.Time) *table.Backend {
	s := &table.Backend{FirstSeen: now, InFlight: map[string]table.InFlight{}}
	if previous != nil {
		s.InFlight = previous.InFlight
		s.Outstanding, s.OutstandingBytes = previous.Outstanding, previous.OutstandingBytes
	}
	if poolKnown {
		s.State.JoinedAt = now
	}
	return s
}

// markRemoved marks the servers that are not in current as leaving, and deletes those without requests in flight.
func markRemoved(b *table.Backends, name string, current map[string]bool, now time.Time) {
	for address, s := range b.Services[name] {
		if !current[address] {
			s.Leaving = true
			s.LeavingReason = table.LeavingRemoved
			s.LeavingSince = now
			b.Health[name].LastEvidence = now
		}
	}
	deleteDrained(b, name)
}

// deleteDrained deletes removed servers without requests in flight, and services without servers.
func deleteDrained(b *table.Backends, name string) {
	for address, s := range b.Services[name] {
		if s.LeavingReason == table.LeavingRemoved && s.Outstanding == 0 {
			delete(b.Services[name], address)
		}
	}
	if len(b.Services[name]) == 0 {
		delete(b.Services, name)
		delete(b.Health, name)
	}
}

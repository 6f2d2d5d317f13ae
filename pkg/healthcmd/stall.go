package healthcmd

import (
	"time"

	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// maxRoutesWithLatencies bounds the routes of a service whose latencies are kept. Requests of further routes are never
// overdue.
const maxRoutesWithLatencies = 256

// overdueServer is a server with a request that has just become overdue.
type overdueServer struct {
	Key      table.ServerKey
	Instance string
}

// setOverdueAge sets the age from which the request that is being sent is overdue.
func setOverdueAge(s *table.Backend, health *table.ServiceHealth, t *table.Ticket) {
	f, found := s.InFlight[t.ID]
	latencies := health.Latencies[t.Route]
	if found && latencies != nil && health.Settings.AvoidOnly {
		f.OverdueAge = latencies.OverdueAge()
		s.InFlight[t.ID] = f
	}
}

// observeLatency records the latency of a response, and reports whether a request that has ended is overdue, was not
// counted before, and is evidence for the other nodes.
func observeLatency(s *table.Backend, health *table.ServiceHealth, t *table.Ticket, r table.Result, now time.Time) bool {
	if !health.Settings.AvoidOnly {
		return false
	}
	f := s.InFlight[t.ID]
	if f.Evidence.Discarded {
		return false
	}
	if r.Evidence == fleet.Succeeded {
		latencies := health.Latencies[t.Route]
		if latencies == nil && len(health.Latencies) < maxRoutesWithLatencies {
			latencies = &detect.Latencies{}
			if health.Latencies == nil {
				health.Latencies = map[string]*detect.Latencies{}
			}
			health.Latencies[t.Route] = latencies
		}
		if latencies != nil {
			latencies.Observe(r.Latency)
		}
	}
	if f.OverdueAge == 0 {
		return false
	}
	isOverdue := r.Latency >= f.OverdueAge && !detect.InColdStart(&s.State, health.Settings, now)
	if isOverdue && endedByItself(r, t, now) {
		health.OverdueResults.Observe(r.Evidence == fleet.Succeeded, now)
	}
	switch {
	case f.Evidence.Overdue:
	case isOverdue:
		return countOverdue(s, health, now)
	case r.Evidence == fleet.Succeeded:
		detect.ObserveInTime(&s.State, health.UsualOverdueRate, now)
	}
	return false
}

// endedByItself reports whether the request was not given up before its deadline, for example for a faster backup attempt.
func endedByItself(r table.Result, t *table.Ticket, now time.Time) bool {
	return r.Response || r.Evidence == fleet.Succeeded || !now.Before(t.Deadline)
}

// countOverdue records an overdue request at the server, and reports whether it is evidence for the other nodes as well.
func countOverdue(s *table.Backend, health *table.ServiceHealth, now time.Time) bool {
	evidence := health.OverdueResults.ShowStalling()
	detect.ObserveOverdue(&s.State, health.UsualOverdueRate, evidence, health.Settings, now)
	return evidence
}

// observeOverdue counts the requests in flight of the service that have become overdue, and returns the servers against
// which they are evidence. It also updates the usual rate of overdue requests.
func observeOverdue(b *table.Backends, name string, now time.Time) []overdueServer {
	health := b.Health[name]
	if !health.Settings.AvoidOnly {
		return nil
	}
	pool := make([]*detect.State, 0, len(b.Services[name]))
	for _, s := range b.Services[name] {
		pool = append(pool, &s.State)
	}
	health.UsualOverdueRate = detect.UsualOverdueRate(pool)
	var list []overdueServer
	for _, s := range b.Services[name] {
		for id, f := range s.InFlight {
			if f.Responded || f.OverdueAge == 0 || f.Evidence.Overdue || f.Evidence.Discarded || now.Sub(f.Started) < f.OverdueAge ||
				detect.InColdStart(&s.State, health.Settings, now) {
				continue
			}
			f.Evidence.Overdue = true
			s.InFlight[id] = f
			if !countOverdue(s, health, now) {
				continue
			}
			list = append(list, overdueServer{Key: table.ServerKey{Service: name, Address: s.Server.Address}, Instance: s.Server.Instance})
		}
	}
	return list
}

// ObservePeerOverdue records a request that was overdue at a server at another node the given time ago. A report about an
// instance that is no longer at the address is ignored.
func (c *Commands) ObservePeerOverdue(now time.Time, key table.ServerKey, instance string, age time.Duration) {
	c.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		s, health := findAndTouch(b, key, now)
		if s == nil || s.Server.Instance != instance || !health.Settings.AvoidOnly || !health.OverdueResults.ShowStalling() {
			return
		}
		detect.ObservePeerOverdue(&s.State, health.UsualOverdueRate, age, health.Settings, now)
	})
}

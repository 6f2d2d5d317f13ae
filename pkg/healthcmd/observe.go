// Package healthcmd records evidence about backend servers and decides which of them are in use. It changes the Backends
// table.
package healthcmd

import (
	"time"

	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/healthquery"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/pkg/trace"
)

// Recorder takes the evidence events for a recorded trace. Record must not block.
type Recorder interface {
	Record(e trace.Event)
}

// Commands changes the Backends table of one node.
type Commands struct {
	Tables *table.Tables
	// Trace receives every evidence event; nil if no trace is recorded.
	Trace Recorder
	// Sink receives what holds for a server whoever asks it; nil if nobody is told.
	Sink EvidenceSink
	// Spread is this node's part of the spread of trials over nodes.
	Spread time.Duration
}

// EvidenceSink takes evidence that other nodes should hear of. Its methods must not block.
type EvidenceSink interface {
	// FastFailure reports a server that failed before it can have done any work.
	FastFailure(now time.Time, key table.ServerKey, instance string)
	// Recovered reports a server that was avoided and has passed its trials.
	Recovered(now time.Time, key table.ServerKey, instance string)
}

// Observe records the result of an attempt. It must be called before the attempt is removed from the requests in flight.
func (c *Commands) Observe(now time.Time, a table.Assignment, r table.Result) {
	key := table.ServerKey{Service: a.Ticket.Service, Address: a.Server.Address}
	var fast, recovered bool
	c.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		s, health := touch(b, key, now)
		if s == nil {
			return
		}
		baseline := detect.Rest(health.Summary, &s.State, now)
		if expired(now, a.Ticket, r, baseline) {
			r.Evidence = fleet.Canceled
		}
		x := detect.Sample{
			Evidence: r.Evidence, Latency: r.Latency, Ticket: a.Ticket.ID, Age: s.InFlight[a.Ticket.ID].Age,
		}
		before := s.State.Avoidance
		detect.Observe(&s.State, x, baseline, health.Settings, now)
		recovered = detect.Recovered(&before, &s.State.Avoidance)
		fast = s.State.LastSign == detect.SignFast && s.State.LastFailure.Equal(now)
		leavingSign(s, r.Evidence, r.Leaving, now)
	})
	if fast && c.Sink != nil {
		c.Sink.FastFailure(now, key, a.Server.Instance)
	}
	if recovered && c.Sink != nil {
		c.Sink.Recovered(now, key, a.Server.Instance)
	}
	c.record(trace.Event{
		At: now, Kind: trace.Ended, Service: key.Service, Address: key.Address, Request: a.Ticket.ID,
		Evidence: r.Evidence, Latency: r.Latency, Leaving: r.Leaving,
	})
}

// expired says whether the attempt failed only because the request reached its deadline before the backend server had
// the usual time to respond.
func expired(now time.Time, t *table.Ticket, r table.Result, b detect.Baseline) bool {
	failed := r.Evidence == fleet.Failed || r.Evidence == fleet.Unreachable
	return failed && !r.Response && !t.Deadline.IsZero() && !now.Before(t.Deadline) && r.Latency < detect.StallAge(b)
}

// Started records that a request was assigned to a backend server, so that sweeps look at its age.
func (c *Commands) Started(now time.Time, a table.Assignment) {
	key := table.ServerKey{Service: a.Ticket.Service, Address: a.Server.Address}
	c.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) { touch(b, key, now) })
	c.record(trace.Event{
		At: now, Kind: trace.Started, Service: key.Service, Address: key.Address, Request: a.Ticket.ID,
	})
}

// Responded records that the response headers of a request have arrived. A sign of leaving counts from here on, not only
// once the body has been streamed.
func (c *Commands) Responded(now time.Time, a table.Assignment, r table.Result) {
	key := table.ServerKey{Service: a.Ticket.Service, Address: a.Server.Address}
	c.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		s, _ := touch(b, key, now)
		if s == nil {
			return
		}
		leavingSign(s, r.Evidence, r.Leaving, now)
		if f, ok := s.InFlight[a.Ticket.ID]; ok {
			f.Responded = true
			s.InFlight[a.Ticket.ID] = f
		}
	})
	c.record(trace.Event{
		At: now, Kind: trace.Responded, Service: key.Service, Address: key.Address, Request: a.Ticket.ID, Leaving: r.Leaving,
	})
}

// Probe is the result of one probe.
type Probe struct {
	Server   table.ServerKey
	Evidence fleet.Evidence
	Latency  time.Duration
	Leaving  bool
}

// ObserveProbe records the result of a probe.
func (c *Commands) ObserveProbe(now time.Time, p Probe) {
	c.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		s, health := touch(b, p.Server, now)
		if s == nil {
			return
		}
		x := detect.Sample{Evidence: p.Evidence, Latency: p.Latency, Probe: true}
		detect.Observe(&s.State, x, detect.Rest(health.Summary, &s.State, now), health.Settings, now)
		leavingSign(s, p.Evidence, p.Leaving, now)
		if p.Evidence == fleet.Succeeded && !p.Leaving {
			stayed(s, now)
		}
	})
	c.record(trace.Event{
		At: now, Kind: trace.Probed, Service: p.Server.Service, Address: p.Server.Address,
		Evidence: p.Evidence, Latency: p.Latency, Leaving: p.Leaving,
	})
}

func (c *Commands) record(e trace.Event) {
	if c.Trace != nil {
		c.Trace.Record(e)
	}
}

// touch finds the server and its pool, and notes that there is evidence about the pool.
func touch(b *table.Backends, key table.ServerKey, now time.Time) (*table.Backend, *table.Health) {
	s := b.Services[key.Service][key.Address]
	health := b.Health[key.Service]
	if s == nil || health == nil {
		return nil, nil
	}
	health.Touched = now
	return s, health
}

// Settled records what became of a request, for the judgment whether the service loses many.
func (c *Commands) Settled(now time.Time, service string, served bool) {
	c.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		h := b.Health[service]
		if h == nil {
			return
		}
		f := healthquery.LossDecay(h, now)
		h.Settled = h.Settled*f + 1
		h.Lost *= f
		if !served {
			h.Lost++
		}
		h.SettledAt = now
	})
}

// Package healthcmd records evidence about the health of backend servers and decides which of them are in use. It
// changes the Backends table.
package healthcmd

import (
	"time"

	"egretline.example/egretline/internal/decide/notice"
	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/healthquery"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/pkg/trace"
)

// Recorder writes evidence events to a trace. Record must not block.
type Recorder interface {
	Record(e trace.Event)
}

// Commands changes the Backends table of one node.
type Commands struct {
	Tables *table.Tables
	// Trace receives every evidence event; nil if no trace is recorded.
	Trace Recorder
	// Sink receives evidence that is valid for every node; nil if it is not shared with other nodes.
	Sink EvidenceSink
	// TrialJitter lengthens the open time of circuit breakers. It differs between nodes, which spreads their trial
	// requests over time.
	TrialJitter time.Duration
}

// EvidenceSink receives evidence to be shared with other nodes. Its methods must not block.
type EvidenceSink interface {
	// FastFailure reports a server that failed before it could have started any work.
	FastFailure(now time.Time, key table.ServerKey, instance string)
	// Recovered reports a server whose circuit breaker was closed by successful trial requests.
	Recovered(now time.Time, key table.ServerKey, instance string)
	// Overdue reports a server at which a request takes far longer than usual.
	Overdue(now time.Time, key table.ServerKey, instance string)
	// Leaving reports a run of a server of the service that announced that it is leaving.
	Leaving(now time.Time, service string, run notice.Run)
}

// Observe records the result of an attempt. It must be called before the attempt is removed from Backend.InFlight,
// which holds its age.
func (c *Commands) Observe(now time.Time, a table.Assignment, r table.Result) {
	key := table.ServerKey{Service: a.Ticket.Service, Address: a.Server.Address}
	var failedFast, recovered, overdue bool
	c.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		s, health := findAndTouch(b, key, now)
		if s == nil || isNewRun(s.Server, a.Server) {
			return
		}
		baseline := detect.BaselineFor(health.Summary, &s.State, now)
		overdue = observeLatency(s, health, a.Ticket, r, now)
		if failedByDeadline(now, a.Ticket, r, baseline) {
			r.Evidence = fleet.Canceled
		}
		sample := detect.Sample{
			Evidence: r.Evidence, Latency: r.Latency, Ticket: a.Ticket.ID, InFlight: s.InFlight[a.Ticket.ID].Evidence,
		}
		before := s.State.Breaker
		detect.Observe(&s.State, sample, baseline, health.Settings, now)
		recovered = detect.RecoveredByOwnTrials(&before, &s.State.Breaker)
		failedFast = s.State.LastFailureKind == detect.FailureFast && s.State.LastFailure.Equal(now)
		recordLeavingSign(s, r.Evidence, r.Leaving, now)
	})
	if failedFast && c.Sink != nil {
		c.Sink.FastFailure(now, key, a.Server.Instance)
	}
	if overdue && c.Sink != nil {
		c.Sink.Overdue(now, key, a.Server.Instance)
	}
	if recovered && c.Sink != nil {
		c.Sink.Recovered(now, key, a.Server.Instance)
	}
	c.record(trace.Event{
		At: now, Kind: trace.Ended, Service: key.Service, Address: key.Address, Request: a.Ticket.ID,
		Evidence: r.Evidence, Latency: r.Latency, Leaving: r.Leaving,
	})
}

// failedByDeadline reports whether the attempt failed only because the request reached its deadline before the backend
// server had its usual time to respond. Such a failure is no evidence against the server.
func failedByDeadline(now time.Time, t *table.Ticket, r table.Result, b detect.Baseline) bool {
	failed := r.Evidence == fleet.Failed || r.Evidence == fleet.Unreachable
	return failed && !r.Response && !t.Deadline.IsZero() && !now.Before(t.Deadline) && r.Latency < detect.StallAge(b)
}

// Started records that a request was assigned to a backend server. It marks the pool as having recent evidence, which
// makes sweeps include it and check the age of the request.
func (c *Commands) Started(now time.Time, a table.Assignment) {
	key := table.ServerKey{Service: a.Ticket.Service, Address: a.Server.Address}
	c.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		if s, health := findAndTouch(b, key, now); s != nil {
			setOverdueAge(s, health, a.Ticket)
		}
	})
	c.record(trace.Event{
		At: now, Kind: trace.Started, Service: key.Service, Address: key.Address, Request: a.Ticket.ID,
	})
}

// Responded records that the response headers of a request have arrived. What the server asked for takes effect now rather
// than after the body has been streamed.
func (c *Commands) Responded(now time.Time, a table.Assignment, r table.Result) {
	key := table.ServerKey{Service: a.Ticket.Service, Address: a.Server.Address}
	var leaving bool
	c.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		leaving = recordNotice(b, a, r, now)
		s, _ := findAndTouch(b, key, now)
		if s == nil {
			return
		}
		if !isNewRun(s.Server, a.Server) {
			recordLeavingSign(s, r.Evidence, r.Leaving, now)
		}
		if f, ok := s.InFlight[a.Ticket.ID]; ok {
			f.Responded = true
			s.InFlight[a.Ticket.ID] = f
		}
	})
	c.reportLeaving(now, a, leaving)
	c.record(trace.Event{
		At: now, Kind: trace.Responded, Service: key.Service, Address: key.Address, Request: a.Ticket.ID, Leaving: r.Leaving,
	})
}

// reportLeaving shares with other nodes that the server of the attempt is leaving, if this node has just learned it.
func (c *Commands) reportLeaving(now time.Time, a table.Assignment, leaving bool) {
	if leaving && c.Sink != nil {
		c.Sink.Leaving(now, a.Ticket.Service, notice.RunOf(a.Server))
	}
}

// Probe is the result of one health check of a backend server.
type Probe struct {
	Server   table.ServerKey
	Evidence fleet.Evidence
	Latency  time.Duration
	Leaving  bool
}

// ObserveProbe records the result of a health check.
func (c *Commands) ObserveProbe(now time.Time, p Probe) {
	c.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		s, health := findAndTouch(b, p.Server, now)
		if s == nil {
			return
		}
		sample := detect.Sample{Evidence: p.Evidence, Latency: p.Latency, Probe: true}
		detect.Observe(&s.State, sample, detect.BaselineFor(health.Summary, &s.State, now), health.Settings, now)
		recordLeavingSign(s, p.Evidence, p.Leaving, now)
		if p.Evidence == fleet.Succeeded && !p.Leaving {
			clearLeaving(s, now)
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

// findAndTouch returns the server and the health of its pool, and sets the time of the pool's last evidence. Both are
// nil if the server is not in the table.
func findAndTouch(b *table.Backends, key table.ServerKey, now time.Time) (*table.Backend, *table.ServiceHealth) {
	s := b.Services[key.Service][key.Address]
	health := b.Health[key.Service]
	if s == nil || health == nil {
		return nil, nil
	}
	health.LastEvidence = now
	return s, health
}

// RequestEnded counts a request that has ended, and whether a response was served to its caller. The counts show whether the
// service is losing a large fraction of its requests.
func (c *Commands) RequestEnded(now time.Time, service string, served bool) {
	c.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		h := b.Health[service]
		if h == nil {
			return
		}
		f := healthquery.LossDecayFactor(h, now)
		h.Ended = h.Ended*f + 1
		h.Unserved *= f
		if !served {
			h.Unserved++
		}
		h.CountedAt = now
	})
}

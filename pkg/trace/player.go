package trace

import (
	"time"

	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/decide/floor"
	"egretline.example/egretline/pkg/fleet"
)

// Change is a change of the state of a backend server.
type Change string

// Changes of a server: avoided by this member only, ejected by the group, or back in normal use.
const (
	Avoided    Change = "avoided"
	Ejected    Change = "ejected"
	Readmitted Change = "readmitted"
)

// Transition is one change that a Replayer recorded.
type Transition struct {
	At      time.Time
	Service string
	Address string
	Change  Change
}

// Replayer applies events to the detection decisions of one member.
type Replayer struct {
	AvailabilityZone string
	// Services holds the pools by service name.
	Services map[string]*ServerPool
	// Isolated reports whether the last sweep found the member itself at fault instead of its servers (detect.Isolated).
	Isolated    bool
	Transitions []Transition
}

// ServerPool is the state of one service in a Replayer. Its maps have the server address as key.
type ServerPool struct {
	Floor    int
	Settings detect.Settings
	Summary  detect.Summary
	Servers  map[string]*ServerState
	Reports  map[string][]detect.Report
}

// ServerState is the state of one backend server in a Replayer.
type ServerState struct {
	AvailabilityZone string
	// Leaving reports whether the server has announced that it leaves the pool.
	Leaving bool
	State   detect.State
	// InFlight holds the requests in flight by ID.
	InFlight map[string]*InFlightRequest

	// previousScope is the scope of the ejection at the last sweep.
	previousScope detect.EjectionScope
}

// InFlightRequest is a request without a result.
type InFlightRequest struct {
	Started   time.Time
	Responded bool
	Evidence  detect.InFlightEvidence
}

// NewReplayer returns a Replayer without services. Events of the kind Defined add them.
func NewReplayer() *Replayer {
	return &Replayer{Services: map[string]*ServerPool{}}
}

// Apply adds the evidence of one event. Like a node, it ignores events about unknown servers.
func (r *Replayer) Apply(e Event) {
	switch e.Kind {
	case Defined:
		r.defineService(e)
		return
	case Paused:
		r.discardInFlightEvidence()
		return
	}
	pool := r.Services[e.Service]
	if pool == nil || pool.Servers[e.Address] == nil {
		return
	}
	s := pool.Servers[e.Address]
	switch e.Kind {
	case Started:
		s.startRequest(e)
	case Responded:
		if f := s.InFlight[e.Request]; f != nil {
			f.Responded = true
		}
	case Ended, Probed:
		pool.observe(s, e)
	case Reported:
		pool.addReport(e)
	}
}

func (r *Replayer) defineService(e Event) {
	r.AvailabilityZone = e.AvailabilityZone
	pool, known := r.Services[e.Service]
	if !known {
		pool = &ServerPool{Servers: map[string]*ServerState{}, Reports: map[string][]detect.Report{}}
		r.Services[e.Service] = pool
	}
	pool.Floor = max(1, e.Definition.Floor)
	pool.Settings = detect.SettingsOf(fleet.Service{Preference: e.Definition.Preference, ColdStart: e.Definition.ColdStart})
	previous := pool.Servers
	pool.Servers = map[string]*ServerState{}
	for _, d := range e.Definition.Servers {
		s := previous[d.Address]
		if s == nil {
			s = &ServerState{InFlight: map[string]*InFlightRequest{}}
			if known {
				s.State.JoinedAt = e.At
			}
		}
		s.AvailabilityZone = d.AvailabilityZone
		pool.Servers[d.Address] = s
	}
}

func (r *Replayer) discardInFlightEvidence() {
	for _, pool := range r.Services {
		for _, s := range pool.Servers {
			for _, f := range s.InFlight {
				f.Evidence.Discarded = true
			}
		}
	}
}

// startRequest adds a request in flight. A request to a server that is out of use is a trial request, because such a
// server gets no other requests.
func (s *ServerState) startRequest(e Event) {
	s.InFlight[e.Request] = &InFlightRequest{Started: e.At}
	if detect.TrialDue(&s.State, e.At) {
		detect.StartTrial(&s.State, e.Request)
	}
}

func (p *ServerPool) observe(s *ServerState, e Event) {
	x := detect.Sample{Evidence: e.Evidence, Latency: e.Latency, Probe: e.Kind == Probed, Ticket: e.Request}
	if f := s.InFlight[e.Request]; f != nil {
		x.InFlight = f.Evidence
		delete(s.InFlight, e.Request)
	}
	detect.Observe(&s.State, x, detect.BaselineFor(p.Summary, &s.State, e.At), p.Settings, e.At)
	s.Leaving = s.Leaving || e.Leaving || e.Evidence == fleet.Draining
}

func (p *ServerPool) addReport(e Event) {
	r := detect.Report{
		Member: e.Peer, AvailabilityZone: e.AvailabilityZone, Excess: e.Excess, LastFailure: e.At.Add(-e.Age),
	}
	list := p.Reports[e.Address]
	for i := range list {
		if list[i].Member == e.Peer {
			list[i] = r
			return
		}
	}
	p.Reports[e.Address] = append(list, r)
}

// Sweep adds evidence from the ages of requests in flight, decides about all servers and records the transitions.
func (r *Replayer) Sweep(now time.Time) {
	zones := map[string]detect.ZoneCounts{}
	for _, pool := range r.Services {
		pool.observeInFlight(now)
		for _, s := range pool.Servers {
			if !s.Leaving {
				detect.CountInZone(zones, s.AvailabilityZone, &s.State, pool.Settings, now)
			}
		}
	}
	r.Isolated = detect.Isolated(zones, r.AvailabilityZone)
	for name, pool := range r.Services {
		pool.decide(r, now)
		r.recordTransitions(name, pool, now)
	}
}

func (p *ServerPool) observeInFlight(now time.Time) {
	for _, s := range p.Servers {
		b := detect.BaselineFor(p.Summary, &s.State, now)
		for _, f := range s.InFlight {
			if !f.Responded {
				detect.ObserveInFlight(&s.State, &f.Evidence, now.Sub(f.Started), b, p.Settings, now)
			}
		}
	}
}

func (p *ServerPool) decide(r *Replayer, now time.Time) {
	list := make([]floor.Server, 0, len(p.Servers))
	for address, s := range p.Servers {
		list = append(list, floor.Server{Address: address, Leaving: s.Leaving, State: &s.State})
	}
	rule := floor.Rule{Floor: p.Floor, Settings: p.Settings, Isolated: r.Isolated}
	p.Summary = floor.Decide(list, floor.Member{AvailabilityZone: r.AvailabilityZone, Reports: p.Reports}, rule, now).Summary
}

// recordTransitions compares the scopes with those of the last sweep. This also finds readmissions by trial requests,
// which happen between sweeps.
func (r *Replayer) recordTransitions(service string, pool *ServerPool, now time.Time) {
	for address, s := range pool.Servers {
		scope := s.State.Ejection.Scope
		if scope == s.previousScope {
			continue
		}
		s.previousScope = scope
		change := Readmitted
		if scope != detect.InUse {
			change = Change(scope)
		}
		r.Transitions = append(r.Transitions, Transition{At: now, Service: service, Address: address, Change: change})
	}
}

package trace

import (
	"time"

	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/decide/floor"
	"egretline.example/egretline/pkg/fleet"
)

// Change is a change in the use of a backend server.
type Change string

// Changes in the use of a server.
const (
	Avoided    Change = "avoided"
	Ejected    Change = "ejected"
	Readmitted Change = "readmitted"
)

// Transition is one change during a replay.
type Transition struct {
	At      time.Time
	Service string
	Address string
	Change  Change
}

// Player is one member whose decisions are driven by events instead of requests.
type Player struct {
	AvailabilityZone string
	Services         map[string]*Pool
	Isolated         bool
	Transitions      []Transition
}

// Pool is the state of one service in a player.
type Pool struct {
	Floor    int
	Settings detect.Settings
	Summary  detect.Summary
	Servers  map[string]*PoolServer
	Reports  map[string][]detect.Report
}

// PoolServer is the state of one backend server in a player.
type PoolServer struct {
	AvailabilityZone string
	Leaving          bool
	State            detect.State
	Flights          map[string]*Flight

	scope detect.EjectionScope
}

// Flight is a request in flight.
type Flight struct {
	Started   time.Time
	Responded bool
	Age       detect.InFlightEvidence
}

// NewPlayer returns a player without services; events of the kind Defined add them.
func NewPlayer() *Player {
	return &Player{Services: map[string]*Pool{}}
}

// Apply adds the evidence of one event. Events about unknown servers are ignored, as the node ignores them.
func (p *Player) Apply(e Event) {
	switch e.Kind {
	case Defined:
		p.define(e)
		return
	case Paused:
		p.discardAges()
		return
	}
	pool := p.Services[e.Service]
	if pool == nil || pool.Servers[e.Address] == nil {
		return
	}
	s := pool.Servers[e.Address]
	switch e.Kind {
	case Started:
		s.start(e)
	case Responded:
		if f := s.Flights[e.Request]; f != nil {
			f.Responded = true
		}
	case Ended, Probed:
		pool.observe(s, e)
	case Reported:
		pool.report(e)
	}
}

func (p *Player) define(e Event) {
	p.AvailabilityZone = e.AvailabilityZone
	pool, known := p.Services[e.Service]
	if !known {
		pool = &Pool{Servers: map[string]*PoolServer{}, Reports: map[string][]detect.Report{}}
		p.Services[e.Service] = pool
	}
	pool.Floor = max(1, e.Definition.Floor)
	pool.Settings = detect.SettingsOf(fleet.Service{Preference: e.Definition.Preference, ColdStart: e.Definition.ColdStart})
	previous := pool.Servers
	pool.Servers = map[string]*PoolServer{}
	for _, d := range e.Definition.Servers {
		s := previous[d.Address]
		if s == nil {
			s = &PoolServer{Flights: map[string]*Flight{}}
			if known {
				s.State.JoinedAt = e.At
			}
		}
		s.AvailabilityZone = d.AvailabilityZone
		pool.Servers[d.Address] = s
	}
}

func (p *Player) discardAges() {
	for _, pool := range p.Services {
		for _, s := range pool.Servers {
			for _, f := range s.Flights {
				f.Age.Discarded = true
			}
		}
	}
}

// start takes a request to a server that is out of use as a trial request, since nothing else goes to such a server.
func (s *PoolServer) start(e Event) {
	s.Flights[e.Request] = &Flight{Started: e.At}
	if detect.TrialDue(&s.State, e.At) {
		detect.StartTrial(&s.State, e.Request)
	}
}

func (p *Pool) observe(s *PoolServer, e Event) {
	x := detect.Sample{Evidence: e.Evidence, Latency: e.Latency, Probe: e.Kind == Probed, Ticket: e.Request}
	if f := s.Flights[e.Request]; f != nil {
		x.InFlight = f.Age
		delete(s.Flights, e.Request)
	}
	detect.Observe(&s.State, x, detect.BaselineFor(p.Summary, &s.State, e.At), p.Settings, e.At)
	s.Leaving = s.Leaving || e.Leaving || e.Evidence == fleet.Draining
}

func (p *Pool) report(e Event) {
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

// Sweep counts ages, decides, and appends what changed to the transitions.
func (p *Player) Sweep(now time.Time) {
	zones := map[string]detect.ZoneCounts{}
	for _, pool := range p.Services {
		pool.sweepAges(now)
		for _, s := range pool.Servers {
			if !s.Leaving {
				detect.CountInZone(zones, s.AvailabilityZone, &s.State, pool.Settings, now)
			}
		}
	}
	p.Isolated = detect.Isolated(zones, p.AvailabilityZone)
	for name, pool := range p.Services {
		pool.decide(p, now)
		p.note(name, pool, now)
	}
}

func (p *Pool) sweepAges(now time.Time) {
	for _, s := range p.Servers {
		b := detect.BaselineFor(p.Summary, &s.State, now)
		for _, f := range s.Flights {
			if !f.Responded {
				detect.ObserveInFlight(&s.State, &f.Age, now.Sub(f.Started), b, p.Settings, now)
			}
		}
	}
}

func (p *Pool) decide(m *Player, now time.Time) {
	list := make([]floor.Server, 0, len(p.Servers))
	for address, s := range p.Servers {
		list = append(list, floor.Server{Address: address, Leaving: s.Leaving, State: &s.State})
	}
	rule := floor.Rule{Floor: p.Floor, Settings: p.Settings, Isolated: m.Isolated}
	p.Summary = floor.Decide(list, floor.Member{AvailabilityZone: m.AvailabilityZone, Reports: p.Reports}, rule, now).Summary
}

// note compares the scopes with those of the last sweep, so that readmissions by trial requests are seen too.
func (p *Player) note(service string, pool *Pool, now time.Time) {
	for address, s := range pool.Servers {
		scope := s.State.Ejection.Scope
		if scope == s.scope {
			continue
		}
		s.scope = scope
		change := Readmitted
		if scope != detect.InUse {
			change = Change(scope)
		}
		p.Transitions = append(p.Transitions, Transition{At: now, Service: service, Address: address, Change: change})
	}
}

package measure

import (
	"maps"
	"slices"
	"time"

	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/trace"
)

// Member is the detector of egretline.
type Member struct {
	trace.Player
	service  string
	out      map[string]int
	isOut    map[string]bool
	seen     int
	reported map[string]bool
}

// NewMember returns the detector of egretline for one member.
func NewMember(s Scenario) Detector {
	return &Member{
		Player: *trace.NewPlayer(), service: s.Service.Name,
		out: map[string]int{}, isOut: map[string]bool{}, reported: map[string]bool{},
	}
}

// Use implements Detector.
func (m *Member) Use(address string, now time.Time) Use {
	s := &m.Services[m.service].Servers[address].State
	switch {
	case !detect.OutOfUse(s):
		return NormalUse
	case detect.TrialDue(s, now):
		return TrialUse
	default:
		return NoUse
	}
}

// Out implements Detector. A change from avoided to ejected takes no further server out of use.
func (m *Member) Out(address string) int {
	for _, t := range m.Transitions[m.seen:] {
		out := t.Change != trace.Readmitted
		if out && !m.isOut[t.Address] {
			m.out[t.Address]++
		}
		m.isOut[t.Address] = out
	}
	m.seen = len(m.Transitions)
	return m.out[address]
}

// Report implements Reporter.
func (m *Member) Report(member string, now time.Time, early time.Duration) []trace.Event {
	if early > 0 && !m.fresh(now, early) {
		return nil
	}
	var events []trace.Event
	pool := m.Services[m.service]
	for _, address := range slices.Sorted(maps.Keys(pool.Servers)) {
		s := &pool.Servers[address].State
		b := detect.BaselineFor(pool.Summary, s, now)
		e := trace.Event{
			At: now, Kind: trace.Reported, Service: m.service, Address: address, Peer: member,
			AvailabilityZone: m.AvailabilityZone,
		}
		report := detect.Reportable(s, b, now) && !m.Isolated
		if report {
			e.Excess = detect.Excess(s, b)
			e.Age = now.Sub(s.LastFailure)
		}
		if report || m.reported[address] {
			events = append(events, e)
		}
		m.reported[address] = report
	}
	return events
}

func (m *Member) fresh(now time.Time, age time.Duration) bool {
	pool := m.Services[m.service]
	for _, server := range pool.Servers {
		s := &server.State
		if now.Sub(s.LastFailure) <= age && detect.Reportable(s, detect.BaselineFor(pool.Summary, s, now), now) {
			return true
		}
	}
	return false
}

// Baseline is a detector that each member runs for itself on the results of its own requests.
type Baseline struct {
	// Consecutive is the number of failures in a row that take a server out of use; zero for the windowed rate.
	Consecutive int
	servers     map[string]*baselineServer
}

type baselineServer struct {
	failures int
	window   []windowEntry
	until    time.Time
	out      int
}

type windowEntry struct {
	at     time.Time
	failed bool
}

const (
	baselineHoldDown = 30 * time.Second
	baselineWindow   = 10 * time.Second
	// The windowed rate takes a server out of use at half failures among at least five requests.
	baselineMinimum = 5
	baselineRate    = 0.5
)

// NewConsecutive returns a constructor of the baseline with n failures in a row.
func NewConsecutive(n int) func(s Scenario) Detector {
	return func(s Scenario) Detector {
		b := &Baseline{Consecutive: n, servers: map[string]*baselineServer{}}
		for _, server := range s.Service.BackendServers {
			b.servers[server.Address] = &baselineServer{}
		}
		return b
	}
}

// Apply implements Detector.
func (b *Baseline) Apply(e trace.Event) {
	if e.Kind != trace.Ended {
		return
	}
	s := b.servers[e.Address]
	if e.At.Before(s.until) {
		return
	}
	if b.observe(s, e) {
		s.until = e.At.Add(baselineHoldDown)
		s.out++
		s.failures = 0
		s.window = nil
	}
}

func (b *Baseline) observe(s *baselineServer, e trace.Event) bool {
	failed := e.Evidence != fleet.Succeeded
	if b.Consecutive > 0 {
		s.failures++
		if !failed {
			s.failures = 0
		}
		return s.failures >= b.Consecutive
	}
	s.window = append(s.window, windowEntry{at: e.At, failed: failed})
	for e.At.Sub(s.window[0].at) > baselineWindow {
		s.window = s.window[1:]
	}
	n := 0
	for _, w := range s.window {
		if w.failed {
			n++
		}
	}
	return len(s.window) >= baselineMinimum && float64(n) >= baselineRate*float64(len(s.window))
}

// Sweep implements Detector.
func (b *Baseline) Sweep(time.Time) {}

// Use implements Detector.
func (b *Baseline) Use(address string, now time.Time) Use {
	if now.Before(b.servers[address].until) {
		return NoUse
	}
	return NormalUse
}

// Out implements Detector.
func (b *Baseline) Out(address string) int {
	return b.servers[address].out
}

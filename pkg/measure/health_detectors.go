package measure

import (
	"maps"
	"slices"
	"time"

	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/trace"
)

// SequentialDetector runs the project's detection code for one member.
type SequentialDetector struct {
	trace.Replayer
	service   string
	ejections map[string]int
	// outOfUse holds the state of each server after the transitions that EjectionCount has counted.
	outOfUse        map[string]bool
	transitionsSeen int
	// reported holds the servers whose last report was a suspicion. The next report can withdraw it.
	reported map[string]bool
}

// NewSequentialDetector returns a SequentialDetector for one member.
func NewSequentialDetector(s Scenario) Detector {
	return &SequentialDetector{
		Replayer: *trace.NewReplayer(), service: s.Service.Name,
		ejections: map[string]int{}, outOfUse: map[string]bool{}, reported: map[string]bool{},
	}
}

// Permitted implements Detector.
func (d *SequentialDetector) Permitted(address string, now time.Time) Permission {
	s := &d.Services[d.service].Servers[address].State
	switch {
	case !detect.OutOfUse(s):
		return NormalRequests
	case detect.TrialDue(s, now):
		return TrialRequest
	default:
		return NoRequests
	}
}

// EjectionCount implements Detector. A server that changes from avoided to ejected counts once.
func (d *SequentialDetector) EjectionCount(address string) int {
	for _, t := range d.Transitions[d.transitionsSeen:] {
		isOut := t.Change != trace.Readmitted
		if isOut && !d.outOfUse[t.Address] {
			d.ejections[t.Address]++
		}
		d.outOfUse[t.Address] = isOut
	}
	d.transitionsSeen = len(d.Transitions)
	return d.ejections[address]
}

// Report implements Reporter.
func (d *SequentialDetector) Report(member string, now time.Time, maxFailureAge time.Duration) []trace.Event {
	if maxFailureAge > 0 && !d.hasRecentFailure(now, maxFailureAge) {
		return nil
	}
	var events []trace.Event
	pool := d.Services[d.service]
	for _, address := range slices.Sorted(maps.Keys(pool.Servers)) {
		s := &pool.Servers[address].State
		b := detect.BaselineFor(pool.Summary, s, now)
		e := trace.Event{
			At: now, Kind: trace.Reported, Service: d.service, Address: address, Peer: member,
			AvailabilityZone: d.AvailabilityZone,
		}
		reportable := detect.Reportable(s, b, now) && !d.Isolated
		if reportable {
			e.Excess = detect.Excess(s, b)
			e.Age = now.Sub(s.LastFailure)
		}
		if reportable || d.reported[address] {
			events = append(events, e)
		}
		d.reported[address] = reportable
	}
	return events
}

// hasRecentFailure reports whether a server that the member suspects has a failure no older than maxAge.
func (d *SequentialDetector) hasRecentFailure(now time.Time, maxAge time.Duration) bool {
	pool := d.Services[d.service]
	for _, server := range pool.Servers {
		s := &server.State
		if now.Sub(s.LastFailure) <= maxAge && detect.Reportable(s, detect.BaselineFor(pool.Summary, s, now), now) {
			return true
		}
	}
	return false
}

// BaselineDetector is a Detector that sees only the results of the member's own requests.
type BaselineDetector struct {
	// ConsecutiveFailures is the number of consecutive failures that ejects a server. Zero selects the windowed failure
	// rate instead.
	ConsecutiveFailures int
	servers             map[string]*baselineServer
}

type baselineServer struct {
	consecutiveFailures int
	window              []windowEntry
	// holdDownEnd is the time until which an ejected server gets no requests.
	holdDownEnd time.Time
	ejections   int
}

type windowEntry struct {
	at     time.Time
	failed bool
}

const (
	baselineHoldDownDuration = 30 * time.Second
	baselineWindowDuration   = 10 * time.Second
	// The windowed rate ejects a server if at least half of at least five requests failed.
	baselineMinRequests = 5
	baselineFailureRate = 0.5
)

// NewBaselineDetector returns a constructor of a BaselineDetector that ejects after n consecutive failures, or by the
// windowed failure rate if n is zero.
func NewBaselineDetector(n int) func(s Scenario) Detector {
	return func(s Scenario) Detector {
		b := &BaselineDetector{ConsecutiveFailures: n, servers: map[string]*baselineServer{}}
		for _, server := range s.Service.BackendServers {
			b.servers[server.Address] = &baselineServer{}
		}
		return b
	}
}

// Apply implements Detector.
func (b *BaselineDetector) Apply(e trace.Event) {
	if e.Kind != trace.Ended {
		return
	}
	s := b.servers[e.Address]
	if e.At.Before(s.holdDownEnd) {
		return
	}
	if b.observe(s, e) {
		s.holdDownEnd = e.At.Add(baselineHoldDownDuration)
		s.ejections++
		s.consecutiveFailures = 0
		s.window = nil
	}
}

// observe adds the result of a request and reports whether it ejects the server.
func (b *BaselineDetector) observe(s *baselineServer, e trace.Event) bool {
	failed := e.Evidence != fleet.Succeeded
	if b.ConsecutiveFailures > 0 {
		s.consecutiveFailures++
		if !failed {
			s.consecutiveFailures = 0
		}
		return s.consecutiveFailures >= b.ConsecutiveFailures
	}
	s.window = append(s.window, windowEntry{at: e.At, failed: failed})
	for e.At.Sub(s.window[0].at) > baselineWindowDuration {
		s.window = s.window[1:]
	}
	failures := 0
	for _, w := range s.window {
		if w.failed {
			failures++
		}
	}
	return len(s.window) >= baselineMinRequests && float64(failures) >= baselineFailureRate*float64(len(s.window))
}

// Sweep implements Detector.
func (b *BaselineDetector) Sweep(time.Time) {}

// Permitted implements Detector.
func (b *BaselineDetector) Permitted(address string, now time.Time) Permission {
	if now.Before(b.servers[address].holdDownEnd) {
		return NoRequests
	}
	return NormalRequests
}

// EjectionCount implements Detector.
func (b *BaselineDetector) EjectionCount(address string) int {
	return b.servers[address].ejections
}

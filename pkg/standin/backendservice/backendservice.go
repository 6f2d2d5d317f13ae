// Package backendservice simulates a backend server with slots, service times by path and gray failures. Tests use it
// in-process as an http.Handler. It records every run of a request, which lets a test check for at-most-once execution
// and for requests that never ran.
package backendservice

import (
	"math/rand/v2"
	"time"

	"egretline.example/egretline/pkg/guard"
)

// lockRank is the rank of the only lock in the lock order.
const lockRank guard.Rank = 1

// Profile sets the service time and the response size of paths with a prefix.
type Profile struct {
	Prefix      string
	ServiceTime time.Duration
	// BodyBytes is the minimum size of the response body.
	BodyBytes int
}

// Settings describes one server.
type Settings struct {
	// Name is the value of the Server header of each response.
	Name string
	// Slots is the maximum number of requests that run at the same time.
	Slots int
	// Queue is the maximum number of requests that wait for a slot. Further ones are refused with the reason shed.
	Queue int
	// ProbeTime is the response time of the health endpoint.
	ProbeTime time.Duration
	// Profiles applies to a path by its longest matching prefix. The service time of a path without a profile is zero.
	Profiles []Profile
	// Seed makes the choice of the requests that a fraction in Faults affects repeatable.
	Seed uint64
}

// Faults sets the simulated failures. A fraction between 0 and 1 is the probability that a request is affected. The
// health endpoint shows only HealthDown, and Leaving or Draining in a header; the load endpoint shows none.
type Faults struct {
	// StallFraction of requests hold their slot without a response until the fault is cleared or the request ends.
	StallFraction float64 `json:"stall-fraction,omitempty"`
	// SlowMs is added to the service time of each request.
	SlowMs int64 `json:"slow-ms,omitempty"`
	// FlapPeriodMs makes all requests fail during the first half of each period.
	FlapPeriodMs int64 `json:"flap-period-ms,omitempty"`
	// ErrorFraction of requests run and get ErrorStatus, or 500 if it is zero.
	ErrorFraction float64 `json:"error-fraction,omitempty"`
	ErrorStatus   int     `json:"error-status,omitempty"`
	// TruncateFraction of responses end half-way with a closed connection.
	TruncateFraction float64 `json:"truncate-fraction,omitempty"`
	// ShortFraction of responses end regularly after half of the body. Only the digest shows the loss.
	ShortFraction float64 `json:"short-fraction,omitempty"`
	// CorruptFraction of responses have a changed byte and the digest of the unchanged body.
	CorruptFraction float64 `json:"corrupt-fraction,omitempty"`
	// CrossedFraction of responses carry the request ID and the body of an earlier request.
	CrossedFraction float64 `json:"crossed-fraction,omitempty"`
	// ShedFraction of requests are refused explicitly, as under overload.
	ShedFraction float64 `json:"shed-fraction,omitempty"`
	// Draining refuses all requests explicitly and announces that the server is leaving.
	Draining bool `json:"draining,omitempty"`
	// Leaving announces that the server is leaving while it still serves requests.
	Leaving bool `json:"leaving,omitempty"`
	// ColdStartMs is the time after the fault is set during which service times are ten times as long.
	ColdStartMs int64 `json:"cold-start-ms,omitempty"`
	// HealthDown makes the health endpoint fail while other requests succeed.
	HealthDown bool `json:"health-down,omitempty"`
}

// Run is one request that got a slot. It counts as executed from that moment, whether or not a response is sent.
type Run struct {
	RequestID      string `json:"request-id"`
	IdempotencyKey string `json:"idempotency-key,omitempty"`
	Tenant         string `json:"tenant,omitempty"`
	Method         string `json:"method"`
	// URI is the path and query as received.
	URI      string    `json:"uri"`
	Started  time.Time `json:"started"`
	Finished bool      `json:"finished"`
	Canceled bool      `json:"canceled"`
}

// Counts holds the totals since the start of the server. Refused counts explicit refusals, Canceled runs that ended early.
type Counts struct {
	Requests int64 `json:"requests"`
	Runs     int64 `json:"runs"`
	Refused  int64 `json:"refused"`
	Canceled int64 `json:"canceled"`
	Probes   int64 `json:"probes"`
}

// Echo is the first line of each response body. A caller compares it with its request to detect a crossed response.
type Echo struct {
	RequestID string `json:"request-id"`
	Tenant    string `json:"tenant"`
	Method    string `json:"method"`
	URI       string `json:"uri"`
	Server    string `json:"server"`
}

type state struct {
	faults Faults
	// faultsSetAt is the time of the latest SetFaults. Flapping and the cold start count from it.
	faultsSetAt time.Time
	// changed is closed and replaced by SetFaults.
	changed chan struct{}
	random  *rand.Rand
	runs    []Run
	counts  Counts
	running int
	waiting int
	// lastEcho is that of the latest response, for crossed responses.
	lastEcho Echo
}

// Server is a simulated backend server. It implements http.Handler.
type Server struct {
	settings Settings
	slots    chan struct{}
	state    *guard.Guard[state]
}

// New returns a server without faults. If Slots is below one, it is set to 6. If Queue is below one, it is set to twice
// the number of slots.
func New(s Settings) *Server {
	if s.Slots < 1 {
		s.Slots = 6
	}
	if s.Queue < 1 {
		s.Queue = 2 * s.Slots
	}
	return &Server{
		settings: s,
		slots:    make(chan struct{}, s.Slots),
		state: guard.New(lockRank, state{
			faultsSetAt: time.Now(),
			changed:     make(chan struct{}),
			random:      rand.New(rand.NewPCG(s.Seed, 1)),
		}),
	}
}

// SetFaults replaces all faults. Stalled requests continue if StallFraction is now zero.
func (s *Server) SetFaults(f Faults) {
	s.state.Write(guard.Held{}, func(_ guard.Held, v *state) {
		v.faults = f
		v.faultsSetAt = time.Now()
		close(v.changed)
		v.changed = make(chan struct{})
	})
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	var f Faults
	s.state.Read(guard.Held{}, func(_ guard.Held, v *state) { f = v.faults })
	return f
}

// Runs returns a copy of all runs in the order in which they started.
func (s *Server) Runs() []Run {
	var runs []Run
	s.state.Read(guard.Held{}, func(_ guard.Held, v *state) { runs = append(runs, v.runs...) })
	return runs
}

// Counts returns the current totals.
func (s *Server) Counts() Counts {
	var c Counts
	s.state.Read(guard.Held{}, func(_ guard.Held, v *state) { c = v.counts })
	return c
}

// Package backendservice is a stand-in of a backend server with slots, service times by path and gray faults. Tests use
// it in-process as a http.Handler. It records every run, so that a test can prove at-most-once and "not run".
package backendservice

import (
	"math/rand/v2"
	"time"

	"egretline.example/egretline/pkg/guard"
)

// rankState is the only lock of a stand-in server.
const rankState guard.Rank = 1

// Profile is the service time and response size of the paths below a prefix.
type Profile struct {
	Prefix      string
	ServiceTime time.Duration
	// BodyBytes is the least size of the response body.
	BodyBytes int
}

// Settings describes one server.
type Settings struct {
	// Name is sent in the header Server of each response.
	Name string
	// Slots is the number of requests that run at the same time.
	Slots int
	// Queue is the number of requests that may wait for a slot. Further ones are refused as shed.
	Queue int
	// ProbeTime is how long the health endpoint takes.
	ProbeTime time.Duration
	// Profiles is searched for the longest matching prefix. A path without a profile takes no time.
	Profiles []Profile
	// Seed fixes the choice of requests that a fault with a fraction hits.
	Seed uint64
}

// Faults is what the server does wrong or out of the ordinary. Fractions are between 0 and 1 and choose the requests
// that are hit. Neither the health nor the load endpoint shows any of them, except for HealthDown.
type Faults struct {
	// StallFraction of requests hold their slot without a response until the fault is cleared or the request ends.
	StallFraction float64 `json:"stall-fraction,omitempty"`
	// SlowMs is added to the service time of each request.
	SlowMs int64 `json:"slow-ms,omitempty"`
	// FlapPeriodMs makes all requests fail in every second half of the period.
	FlapPeriodMs int64 `json:"flap-period-ms,omitempty"`
	// ErrorFraction of requests run and get ErrorStatus, or 500 if it is zero.
	ErrorFraction float64 `json:"error-fraction,omitempty"`
	ErrorStatus   int     `json:"error-status,omitempty"`
	// TruncateFraction of responses break off half-way, with the connection closed.
	TruncateFraction float64 `json:"truncate-fraction,omitempty"`
	// ShortFraction of responses end regularly after half of the body, so that only the digest shows the loss.
	ShortFraction float64 `json:"short-fraction,omitempty"`
	// CorruptFraction of responses have a changed byte and the digest of the right body.
	CorruptFraction float64 `json:"corrupt-fraction,omitempty"`
	// CrossedFraction of responses carry the request ID and the body of an earlier request.
	CrossedFraction float64 `json:"crossed-fraction,omitempty"`
	// ShedFraction of requests are refused explicitly because of load.
	ShedFraction float64 `json:"shed-fraction,omitempty"`
	// Draining refuses all requests explicitly and announces that the server is leaving.
	Draining bool `json:"draining,omitempty"`
	// Leaving announces that the server is leaving and still serves.
	Leaving bool `json:"leaving,omitempty"`
	// ColdStartMs multiplies service times by ten for so long after the fault is set.
	ColdStartMs int64 `json:"cold-start-ms,omitempty"`
	// HealthDown makes the health endpoint fail while real work goes on.
	HealthDown bool `json:"health-down,omitempty"`
}

// Run is one request that took a slot. Its effect counts from that moment, whatever became of the response.
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

// Counts sums up what the server did.
type Counts struct {
	Requests int64 `json:"requests"`
	Runs     int64 `json:"runs"`
	Refused  int64 `json:"refused"`
	Canceled int64 `json:"canceled"`
	Probes   int64 `json:"probes"`
}

// Echo is the first line of each response body. A caller compares it with its own request.
type Echo struct {
	RequestID string `json:"request-id"`
	Tenant    string `json:"tenant"`
	Method    string `json:"method"`
	URI       string `json:"uri"`
	Server    string `json:"server"`
}

type state struct {
	faults  Faults
	set     time.Time
	changed chan struct{}
	random  *rand.Rand
	runs    []Run
	counts  Counts
	running int
	waiting int
	last    Echo
}

// Server is one backend server. It implements http.Handler.
type Server struct {
	settings Settings
	slots    chan struct{}
	state    *guard.Guard[state]
}

// New returns a server without faults. Slots and Queue below one become 6 slots, and twice the slots.
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
		state: guard.New(rankState, state{
			set:     time.Now(),
			changed: make(chan struct{}),
			random:  rand.New(rand.NewPCG(s.Seed, 1)),
		}),
	}
}

// SetFaults replaces all faults. Requests that a stall holds go on if the new faults have no stall.
func (s *Server) SetFaults(f Faults) {
	s.state.Write(guard.Held{}, func(_ guard.Held, v *state) {
		v.faults = f
		v.set = time.Now()
		close(v.changed)
		v.changed = make(chan struct{})
	})
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	var f Faults
	s.state.Read(guard.Held{}, func(_ guard.Held, v *state) { f = v.faults })
	return f
}

// Runs returns a copy of all runs in the order of their start.
func (s *Server) Runs() []Run {
	var runs []Run
	s.state.Read(guard.Held{}, func(_ guard.Held, v *state) { runs = append(runs, v.runs...) })
	return runs
}

// Counts returns what the server has done so far.
func (s *Server) Counts() Counts {
	var c Counts
	s.state.Read(guard.Held{}, func(_ guard.Held, v *state) { c = v.counts })
	return c
}

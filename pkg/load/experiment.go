// Package load decides what an open-loop load experiment sends and what its results mean. It has no I/O: the schedule
// follows from the experiment and its seed, and results are judged and counted from plain structs.
package load

import "time"

// Experiment is a mix of requests that is sent to a running fleet.
type Experiment struct {
	Name string
	// Seed fixes the schedule: the same experiment sends the same requests at the same offsets.
	Seed     uint64
	Duration time.Duration
	// Workers is the number of requests that can be in flight at the same time.
	Workers int
	// Nodes are caller addresses of nodes that are asked for entries first.
	Nodes []string
	// AvailabilityZones are the zones that callers pretend to be in, chosen at random for each request.
	AvailabilityZones []string
	// CheckEcho compares the first line of a body with the request. Only stand-in backend servers echo requests.
	CheckEcho bool
	Tenants   []Tenant
	Flows     []Flow
	Phases    []Phase
}

// Tenant is a customer that sends requests.
type Tenant struct {
	Name  string
	Token string
	// Weight is the tenant's part of the requests of each flow it takes part in.
	Weight float64
}

// Flow is a stream of requests of one kind.
type Flow struct {
	Name string
	// Rank groups flows in the report. It should be the rank that the fleet's configuration gives to the route.
	Rank       string
	Service    string
	Method     string
	Path       string
	Idempotent bool
	// RequestsPerSecond is the mean of a Poisson process.
	RequestsPerSecond float64
	BodyBytes         int
	// Timeout is the deadline that the request announces.
	Timeout time.Duration
	// Target is the latency up to which an answer counts as goodput, from the intended send time.
	Target time.Duration
	// Tenants names the tenants of the flow; empty means all.
	Tenants []string
}

// Phase multiplies the rate of a flow for a part of the experiment.
type Phase struct {
	Flow   string
	From   time.Duration
	To     time.Duration
	Factor float64
}

// Request is one request of the schedule.
type Request struct {
	// Number counts the requests of the experiment from 0.
	Number int
	// At is the intended send time after the start.
	At               time.Duration
	Flow             int
	Tenant           int
	AvailabilityZone string
}

// Job is a request with what is needed to send it.
type Job struct {
	Experiment *Experiment
	Request    Request
	// Nonce identifies the request. It is part of the URI and of the idempotency key.
	Nonce string
}

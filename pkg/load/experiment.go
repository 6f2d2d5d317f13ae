// Package load computes the request schedule of an open-loop load experiment and classifies and counts its results. It
// does no I/O: the experiment and its seed determine the schedule, and results are plain structs.
package load

import "time"

// Experiment describes a load test of a running fleet: a mix of request flows and the time over which they are sent.
type Experiment struct {
	Name string
	// Seed fixes the schedule: the same experiment sends the same requests at the same offsets.
	Seed     uint64
	Duration time.Duration
	// Workers is the maximum number of requests in flight.
	Workers int
	// Nodes are caller addresses of the nodes from which entries are fetched initially.
	Nodes []string
	// AvailabilityZones are the simulated zones of callers. Each request draws one at random.
	AvailabilityZones []string
	// CheckEcho enables the comparison of a response's first line with the request. Only stand-in backend servers echo
	// requests.
	CheckEcho bool
	Tenants   []Tenant
	Flows     []Flow
	Phases    []Phase
}

// Tenant is a customer whose requests are simulated.
type Tenant struct {
	Name  string
	Token string
	// Weight is the tenant's relative share of the requests in each of its flows.
	Weight float64
}

// Flow is a stream of requests that differ only in send time, tenant, availability zone and nonce.
type Flow struct {
	Name string
	// Rank groups flows in the report. It should match the rank of the route in the fleet's configuration.
	Rank       string
	Service    string
	Method     string
	Path       string
	Idempotent bool
	// RequestsPerSecond is the mean rate of a Poisson process.
	RequestsPerSecond float64
	BodyBytes         int
	// Timeout is the request timeout that is sent to the node.
	Timeout time.Duration
	// LatencyTarget is the highest latency, from the intended send time, at which an answer counts as goodput; 0 means
	// any latency.
	LatencyTarget time.Duration
	// Tenants lists the names of the tenants that send the flow; empty means all.
	Tenants []string
}

// Phase multiplies the rate of a flow by Factor between From and To, both measured from the start of the experiment.
type Phase struct {
	Flow   string
	From   time.Duration
	To     time.Duration
	Factor float64
}

// Request is one scheduled request.
type Request struct {
	// Number is the index of the request in the schedule, from 0.
	Number int
	// SendOffset is the intended send time, as an offset from the start of the experiment.
	SendOffset time.Duration
	// FlowIndex is an index into Experiment.Flows.
	FlowIndex int
	// TenantIndex is an index into Experiment.Tenants.
	TenantIndex      int
	AvailabilityZone string
}

// Job is a scheduled request together with the data that a sender needs.
type Job struct {
	Experiment *Experiment
	Request    Request
	// Nonce identifies the request across runs. It is part of the URI and of the idempotency key.
	Nonce string
}

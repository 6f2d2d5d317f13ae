package measure

import (
	"math/rand/v2"
	"time"

	"egretline.example/egretline/pkg/fleet"
)

// RankLoad describes the requests of one rank.
type RankLoad struct {
	Rank fleet.Rank
	// ServiceTime is the mean of the exponentially distributed slot time of a request.
	ServiceTime time.Duration
	Timeout     time.Duration
	Idempotent  bool
	// LoadFraction is the fraction of the pool's capacity that the rank requests at a load of 1.
	LoadFraction float64
}

// Deployment is a pool of backend servers and the load that shares it.
type Deployment struct {
	Name    string
	Ranks   []RankLoad
	Servers int
	Slots   int
}

// Deployments returns the two deployments of section 1.1 of the design page, each with all its ranks on one pool of ten
// backend servers. The configured shares sum to 0.9; the most urgent rank also gets the remaining 0.1.
func Deployments() []Deployment {
	return []Deployment{
		{Name: "tulpar", Servers: 10, Slots: 6, Ranks: []RankLoad{
			{fleet.Rank{Name: "bookings", Share: 0.4}, 60 * time.Millisecond, 2 * time.Second, false, 0.4},
			{fleet.Rank{Name: "lookups", Share: 0.3, SlotLimit: 0.8}, 30 * time.Millisecond, 2 * time.Second, true, 0.3},
			{fleet.Rank{Name: "archives", Share: 0.2, SlotLimit: 0.4}, 1500 * time.Millisecond, 30 * time.Second, true, 0.3},
		}},
		{Name: "bayspace", Servers: 10, Slots: 6, Ranks: []RankLoad{
			{fleet.Rank{Name: "bookings-and-payment", Share: 0.4}, 80 * time.Millisecond, 3 * time.Second, false, 0.3},
			{fleet.Rank{Name: "statements", Share: 0.2, SlotLimit: 0.5}, 400 * time.Millisecond, 10 * time.Second, true, 0.2},
			{fleet.Rank{Name: "availability-search", Share: 0.3, SlotLimit: 0.8}, 40 * time.Millisecond, time.Second, true, 0.5},
		}},
	}
}

// DispatchFaults describes the failures of the backend servers in a trial.
type DispatchFaults struct {
	// ErrorRate is the fraction of requests that any server answers with an error.
	ErrorRate float64
	// Stalled is the number of servers that accept requests and never respond.
	Stalled int
}

// DispatchTrial is the input of one simulation run.
type DispatchTrial struct {
	Deployment Deployment
	// Offered is the slot time that each rank requests, in multiples of the pool's capacity.
	Offered []float64
	Faults  DispatchFaults
	// Nodes is the number of nodes that share the pool; values below one count as one.
	Nodes       int
	UseBaseline bool
	// Warmup is the time before requests are counted. Duration is the measurement interval that follows it.
	Warmup   time.Duration
	Duration time.Duration
	Seed     uint64
}

// RankResult is the outcome for one rank. Offered, Goodput and SlotTime are fractions of the pool's capacity.
type RankResult struct {
	Rank    fleet.Rank
	Offered float64
	// Goodput is the slot time of the requests that succeeded before their deadline.
	Goodput float64
	// SlotTime is the slot time that the rank's attempts held during the measurement interval, successful or not.
	SlotTime float64
	Requests int
	Answered int
	Refused  int
}

// DispatchResult is the outcome of a trial.
type DispatchResult struct {
	Ranks []RankResult
	// Amplification is the ratio of all attempts to first attempts. AmplificationWithoutBurst leaves out the retries that
	// the nodes' retry budgets, full at the start, allow.
	Amplification             float64
	AmplificationWithoutBurst float64
	ShedFraction              float64
	Attempts                  int
}

// UniformLoad returns the offered slot time of each rank when the whole pool has the given load.
func UniformLoad(d Deployment, load float64) []float64 {
	out := make([]float64, len(d.Ranks))
	for r, l := range d.Ranks {
		out[r] = load * l.LoadFraction
	}
	return out
}

// SurgeLoad returns the offered slot times if one rank alone requests five times the capacity and the others send their
// fraction of the given load.
func SurgeLoad(d Deployment, rank int, load float64) []float64 {
	out := UniformLoad(d, load)
	out[rank] = 5
	return out
}

// request is one simulated request. Rank is an index into Deployment.Ranks.
type request struct {
	ID       string
	Rank     int
	Arrived  time.Time
	Deadline time.Time
	// SlotTime is how long a successful attempt holds its slot.
	SlotTime time.Duration
	// Counted reports whether the request arrived after the warm-up.
	Counted bool
	// Attempt is the number of earlier attempts.
	Attempt int
	// TriedServers holds the addresses of the servers that the retries avoid.
	TriedServers []string
	// MayHaveRun reports whether an earlier attempt may have run at a backend server.
	MayHaveRun bool
}

// dispatcher decides for one node which request goes to which server. Servers are indices into the pool.
type dispatcher interface {
	// admit queues a request and returns the requests that it refuses: this one, or queued ones that this one displaces.
	admit(now time.Time, r *request) []*request
	// next returns a request to dispatch and its server, or -1 for none, and the requests whose deadline has passed.
	next(now time.Time) (*request, int, []*request)
	// finish ends an attempt and reports whether the request is queued again for a retry.
	finish(now time.Time, r *request, server int, e fleet.Evidence, took time.Duration) bool
}

// RunDispatch simulates the trial in virtual time.
func RunDispatch(t DispatchTrial) DispatchResult {
	s := &dispatchRun{DispatchTrial: t, random: rand.New(rand.NewPCG(t.Seed, 0)), now: epoch}
	for range max(t.Nodes, 1) {
		if t.UseBaseline {
			s.nodes = append(s.nodes, newFIFODispatcher(t.Deployment))
		} else {
			s.nodes = append(s.nodes, newRankedDispatcher(t.Deployment, max(t.Nodes, 1)))
		}
	}
	return s.run()
}

package measure

import (
	"math/rand/v2"
	"time"

	"egretline.example/egretline/pkg/fleet"
)

// RankLoad is the work of one rank.
type RankLoad struct {
	Rank fleet.Rank
	// ServiceTime is the mean of the exponentially distributed time that a request needs a slot.
	ServiceTime time.Duration
	Timeout     time.Duration
	Idempotent  bool
	// Part is the rank's part of the slot time that is asked for at a load of 1.
	Part float64
}

// Deployment is the work and the pool of one user.
type Deployment struct {
	Name    string
	Ranks   []RankLoad
	Servers int
	Slots   int
}

// Deployments returns the two deployments of section 1.1 of the design page, each with all its ranks on one pool of ten
// backend servers. The shares sum to 0.9; the rest goes to the most urgent rank.
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

// Faults are those of the backend servers.
type Faults struct {
	// ErrorRate is the fraction of requests that any server answers with an error.
	ErrorRate float64
	// Stalled is the number of servers that take requests and never answer.
	Stalled int
}

// DispatchTrial is one run.
type DispatchTrial struct {
	Deployment Deployment
	// Offered is the slot time that each rank asks for, in multiples of the capacity of the pool.
	Offered []float64
	Faults  Faults
	// Nodes is the number of nodes that share the pool.
	Nodes    int
	Baseline bool
	// Warmup is the time before requests are counted, Duration the time in which counted requests arrive.
	Warmup   time.Duration
	Duration time.Duration
	Seed     uint64
}

// RankResult is what one rank got. Fractions are of the pool's capacity in slot time.
type RankResult struct {
	Rank    fleet.Rank
	Offered float64
	// Goodput is the slot time of the requests that were answered before their deadline.
	Goodput float64
	// SlotTime is the slot time that the rank's attempts held in the counted time, answered or not.
	SlotTime float64
	Requests int
	Answered int
	Refused  int
}

// DispatchResult is the outcome of a trial.
type DispatchResult struct {
	Ranks []RankResult
	// Amplification is the number of attempts for each first attempt; Saved leaves out what the full budgets at the start
	// of the nodes allowed.
	Amplification float64
	Saved         float64
	Sheds         float64
	Attempts      int
}

// Uniform returns the offered slot time of each rank at a load of the whole pool.
func Uniform(d Deployment, load float64) []float64 {
	out := make([]float64, len(d.Ranks))
	for r, l := range d.Ranks {
		out[r] = load * l.Part
	}
	return out
}

// Surge returns the offered slot time if one rank alone asks for five times the capacity and the others for their part
// at a load of the whole pool.
func Surge(d Deployment, rank int, load float64) []float64 {
	out := Uniform(d, load)
	out[rank] = 5
	return out
}

// request is one request of a trial.
type request struct {
	ID       string
	Rank     int
	Arrived  time.Time
	Deadline time.Time
	// Needs is the slot time that the request takes.
	Needs    time.Duration
	Counted  bool
	Attempt  int
	Tried    []string
	MaybeRun bool
}

// dispatcher is the decision code of one node.
type dispatcher interface {
	// admit takes a request, and returns those that are refused: this one, or others that it displaces.
	admit(now time.Time, r *request) []*request
	// next returns a request to dispatch and its server, or -1, and the requests that are given up.
	next(now time.Time) (*request, int, []*request)
	// finish ends an attempt, and says whether the request waits for another one.
	finish(now time.Time, r *request, server int, e fleet.Evidence, took time.Duration) bool
}

// RunDispatch runs the trial.
func RunDispatch(t DispatchTrial) DispatchResult {
	s := &run{DispatchTrial: t, random: rand.New(rand.NewPCG(t.Seed, 0)), now: epoch}
	for range max(t.Nodes, 1) {
		if t.Baseline {
			s.nodes = append(s.nodes, newFIFO(t.Deployment))
		} else {
			s.nodes = append(s.nodes, newRanked(t.Deployment, max(t.Nodes, 1)))
		}
	}
	return s.run()
}

package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histograms. The timeout bounds the duration of a request, and no experiment needs
// a timeout above ten minutes.
const (
	lowestLatency     = int64(time.Microsecond)
	highestLatency    = int64(10 * time.Minute)
	significantDigits = 2
)

// Result is the result of one scheduled request.
type Result struct {
	Request Request
	Class   Class
	// Latency is measured from the intended send time and includes queueing in the load tool.
	Latency time.Duration
	// Node is the address of the last node that accepted a connection; empty if none did.
	Node  string
	Reply Reply
	// IdempotencyKey is the idempotency key of the last attempt; empty for idempotent requests.
	IdempotencyKey string
	// Nonce is the caller's identifier of the request, which is part of its URI.
	Nonce string
	// Detail is the error message if no response was received.
	Detail string
}

// Tally accumulates the results of an experiment.
type Tally struct {
	Experiment Experiment
	Flows      []FlowTally
	// Nodes counts results by node address and class.
	Nodes map[string]map[Class]int64
	// Reasons counts the reasons that nodes reported for not-run and unknown outcomes.
	Reasons map[string]int64
}

// FlowTally accumulates the results of one flow.
type FlowTally struct {
	Offered int64
	Good    int64
	Classes map[Class]int64
	// Digests counts the digest verification results of answered requests.
	Digests map[Digest]int64
	// Latency holds the latencies of answered requests in nanoseconds.
	Latency *hdrhistogram.Histogram
	// PerSecond is indexed by the intended send time in whole seconds since the start.
	PerSecond []SecondTally
}

// SecondTally counts the requests whose intended send time falls into one second.
type SecondTally struct {
	Offered int64
	Good    int64
	NotRun  int64
	Failed  int64
}

// NewTally returns an empty tally for the experiment.
func NewTally(e Experiment) *Tally {
	t := &Tally{Experiment: e, Nodes: map[string]map[Class]int64{}, Reasons: map[string]int64{}}
	seconds := int((e.Duration + time.Second - 1) / time.Second)
	for range e.Flows {
		t.Flows = append(t.Flows, FlowTally{
			Classes:   map[Class]int64{},
			Digests:   map[Digest]int64{},
			Latency:   hdrhistogram.New(lowestLatency, highestLatency, significantDigits),
			PerSecond: make([]SecondTally, seconds),
		})
	}
	return t
}

// AddResult adds the result to the tally.
func AddResult(t *Tally, r Result) {
	f := &t.Flows[r.Request.FlowIndex]
	good := CountsAsGoodput(r.Class, r.Latency, t.Experiment.Flows[r.Request.FlowIndex].LatencyTarget)
	f.Offered++
	f.Classes[r.Class]++
	countInSecond(&f.PerSecond[int(r.Request.SendOffset/time.Second)], r.Class, good)
	if good {
		f.Good++
	}
	if r.Class == Answered {
		f.Digests[r.Reply.Digest]++
		recordLatency(f.Latency, r.Latency)
	}
	if r.Node != "" {
		countForNode(t.Nodes, r.Node, r.Class)
	}
	if r.Reply.Reason != "" {
		t.Reasons[r.Reply.Reason]++
	}
}

func countInSecond(s *SecondTally, c Class, good bool) {
	s.Offered++
	switch {
	case good:
		s.Good++
	case c == NotRun:
		s.NotRun++
	case c != Answered:
		s.Failed++
	}
}

func countForNode(nodes map[string]map[Class]int64, address string, c Class) {
	if nodes[address] == nil {
		nodes[address] = map[Class]int64{}
	}
	nodes[address][c]++
}

// recordLatency adds the latency to the histogram, clamped to its range so that every answered request is counted.
func recordLatency(h *hdrhistogram.Histogram, latency time.Duration) {
	v := min(max(int64(latency), lowestLatency), highestLatency)
	if err := h.RecordValue(v); err != nil {
		return
	}
}

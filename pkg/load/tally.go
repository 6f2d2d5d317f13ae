package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histograms. A request cannot take longer than its timeout, and no experiment needs
// one above ten minutes.
const (
	lowestLatency     = int64(time.Microsecond)
	highestLatency    = int64(10 * time.Minute)
	significantDigits = 2
)

// Result is one finished request.
type Result struct {
	Request Request
	Class   Class
	// Latency is counted from the intended send time, so that waiting in the load tool is part of it.
	Latency time.Duration
	// Node is the address of the node that was connected last; empty if none was.
	Node  string
	Reply Reply
	// Key is the idempotency key that was sent last; empty for idempotent requests.
	Key string
	// Nonce is the caller's own identifier of the request, which is part of its URI.
	Nonce string
	// Detail is the error text of a request without a response.
	Detail string
}

// Tally counts the results of an experiment.
type Tally struct {
	Experiment Experiment
	Flows      []FlowTally
	// Nodes counts results by the address of the node.
	Nodes map[string]map[Class]int64
	// Reasons counts the reasons that nodes gave for not-run and unknown outcomes.
	Reasons map[string]int64
}

// FlowTally counts the results of one flow.
type FlowTally struct {
	Offered int64
	Good    int64
	Classes map[Class]int64
	// Digests counts the results of the digest check of answered requests.
	Digests map[Digest]int64
	// Latency holds the latencies of answered requests in nanoseconds.
	Latency *hdrhistogram.Histogram
	// Seconds is indexed by the second of the intended send time.
	Seconds []Second
}

// Second counts the requests whose intended send time lies within one second.
type Second struct {
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
			Classes: map[Class]int64{},
			Digests: map[Digest]int64{},
			Latency: hdrhistogram.New(lowestLatency, highestLatency, significantDigits),
			Seconds: make([]Second, seconds),
		})
	}
	return t
}

// Add counts a result.
func Add(t *Tally, r Result) {
	f := &t.Flows[r.Request.Flow]
	good := Good(r.Class, r.Latency, t.Experiment.Flows[r.Request.Flow].Target)
	f.Offered++
	f.Classes[r.Class]++
	addSecond(&f.Seconds[int(r.Request.At/time.Second)], r.Class, good)
	if good {
		f.Good++
	}
	if r.Class == Answered {
		f.Digests[r.Reply.Digest]++
		record(f.Latency, r.Latency)
	}
	if r.Node != "" {
		addNode(t.Nodes, r.Node, r.Class)
	}
	if r.Reply.Reason != "" {
		t.Reasons[r.Reply.Reason]++
	}
}

func addSecond(s *Second, c Class, good bool) {
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

func addNode(nodes map[string]map[Class]int64, address string, c Class) {
	if nodes[address] == nil {
		nodes[address] = map[Class]int64{}
	}
	nodes[address][c]++
}

// record clamps the latency to the range of the histogram, so that no answered request is missing from it.
func record(h *hdrhistogram.Histogram, latency time.Duration) {
	v := min(max(int64(latency), lowestLatency), highestLatency)
	if err := h.RecordValue(v); err != nil {
		return
	}
}

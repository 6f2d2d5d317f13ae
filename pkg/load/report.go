package load

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// reportedPercentiles are the points of a latency curve.
var reportedPercentiles = []float64{0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99, 100}

// Report holds the aggregated results of an experiment.
type Report struct {
	Name    string        `json:"name"`
	Seed    uint64        `json:"seed"`
	Started time.Time     `json:"started"`
	Seconds float64       `json:"seconds"`
	Ranks   []RankReport  `json:"ranks"`
	Nodes   []NodeReport  `json:"nodes"`
	Reasons []ReasonCount `json:"reasons"`
}

// RankReport aggregates the flows of one rank.
type RankReport struct {
	Rank    string `json:"rank"`
	Offered int64  `json:"offered"`
	// Good is the number of requests answered within the latency target of their flow.
	Good int64 `json:"good"`
	// Goodput is Good divided by Offered, or 0 if nothing was offered.
	Goodput float64       `json:"goodput"`
	Classes []ClassCount  `json:"classes"`
	Digests []DigestCount `json:"digests"`
	// Latency is the latency curve of answered requests, measured from the intended send time.
	Latency []Quantile     `json:"latency"`
	Series  []SecondReport `json:"series"`
}

// ClassCount is the number of results of one class.
type ClassCount struct {
	Class Class `json:"class"`
	Count int64 `json:"count"`
}

// DigestCount is the number of answered requests with one digest verification result.
type DigestCount struct {
	Digest Digest `json:"digest"`
	Count  int64  `json:"count"`
}

// Quantile is one point of a latency curve.
type Quantile struct {
	// Percentile is in the range 0 to 100.
	Percentile   float64 `json:"percentile"`
	Milliseconds float64 `json:"milliseconds"`
}

// SecondReport counts the requests whose intended send time falls into one second of the experiment.
type SecondReport struct {
	Second  int   `json:"second"`
	Offered int64 `json:"offered"`
	Good    int64 `json:"good"`
	NotRun  int64 `json:"not-run"`
	// Failed counts all classes except Answered and NotRun.
	Failed int64 `json:"failed"`
}

// NodeReport counts the results of requests sent to one node, by class.
type NodeReport struct {
	Address string       `json:"address"`
	Classes []ClassCount `json:"classes"`
}

// ReasonCount is the number of not-run and unknown results for which nodes gave one reason.
type ReasonCount struct {
	Reason string `json:"reason"`
	Count  int64  `json:"count"`
}

// Summarize converts the tally into a report. Ranks are listed in the order of their first flow.
func Summarize(t *Tally, started time.Time) Report {
	r := Report{
		Name:    t.Experiment.Name,
		Seed:    t.Experiment.Seed,
		Started: started,
		Seconds: t.Experiment.Duration.Seconds(),
	}
	for _, rank := range rankNames(t.Experiment) {
		r.Ranks = append(r.Ranks, summarizeRank(rank, mergeFlows(t, rank)))
	}
	for _, address := range sortedKeys(t.Nodes) {
		r.Nodes = append(r.Nodes, NodeReport{Address: address, Classes: classCounts(t.Nodes[address])})
	}
	for _, reason := range sortedKeys(t.Reasons) {
		r.Reasons = append(r.Reasons, ReasonCount{Reason: reason, Count: t.Reasons[reason]})
	}
	return r
}

// CountClass returns the number of results of the class over all ranks.
func CountClass(r Report, c Class) int64 {
	var n int64
	for _, rank := range r.Ranks {
		for _, k := range rank.Classes {
			if k.Class == c {
				n += k.Count
			}
		}
	}
	return n
}

// Violations returns the number of results that no fault may cause: responses that appear complete but are wrong.
func Violations(r Report) int64 {
	return CountClass(r, WrongResponse) + CountClass(r, DigestMismatch)
}

func rankNames(e Experiment) []string {
	var names []string
	seen := map[string]bool{}
	for _, f := range e.Flows {
		if !seen[f.Rank] {
			seen[f.Rank] = true
			names = append(names, f.Rank)
		}
	}
	return names
}

// mergeFlows returns the sum of the tallies of all flows of the rank.
func mergeFlows(t *Tally, rank string) FlowTally {
	sum := NewTally(Experiment{Duration: t.Experiment.Duration, Flows: []Flow{{}}}).Flows[0]
	for i, f := range t.Flows {
		if t.Experiment.Flows[i].Rank != rank {
			continue
		}
		sum.Offered += f.Offered
		sum.Good += f.Good
		addCounts(sum.Classes, f.Classes)
		addCounts(sum.Digests, f.Digests)
		sum.Latency.Merge(f.Latency)
		for j, s := range f.PerSecond {
			addSeconds(&sum.PerSecond[j], s)
		}
	}
	return sum
}

func addCounts[K comparable](sum, counts map[K]int64) {
	for k, n := range counts {
		sum[k] += n
	}
}

func addSeconds(sum *SecondTally, s SecondTally) {
	sum.Offered += s.Offered
	sum.Good += s.Good
	sum.NotRun += s.NotRun
	sum.Failed += s.Failed
}

func summarizeRank(rank string, f FlowTally) RankReport {
	r := RankReport{
		Rank:    rank,
		Offered: f.Offered,
		Good:    f.Good,
		Classes: classCounts(f.Classes),
		Latency: latencyCurve(f.Latency),
	}
	if f.Offered > 0 {
		r.Goodput = float64(f.Good) / float64(f.Offered)
	}
	for _, d := range []Digest{DigestMatches, DigestMissing} {
		r.Digests = append(r.Digests, DigestCount{Digest: d, Count: f.Digests[d]})
	}
	for i, s := range f.PerSecond {
		r.Series = append(r.Series, SecondReport{Second: i, Offered: s.Offered, Good: s.Good, NotRun: s.NotRun, Failed: s.Failed})
	}
	return r
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

func classCounts(counts map[Class]int64) []ClassCount {
	list := make([]ClassCount, 0, len(Classes))
	for _, c := range Classes {
		list = append(list, ClassCount{Class: c, Count: counts[c]})
	}
	return list
}

func latencyCurve(h *hdrhistogram.Histogram) []Quantile {
	curve := make([]Quantile, 0, len(reportedPercentiles))
	for _, q := range reportedPercentiles {
		ms := float64(h.ValueAtQuantile(q)) / float64(time.Millisecond)
		curve = append(curve, Quantile{Percentile: q, Milliseconds: ms})
	}
	return curve
}

package trafficcmd

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"egretline.example/egretline/pkg/fleet"
)

// Size of the comparison: the tenants of the design scale, and about two hours of one node's share of the peak load.
const (
	benchTenants          = 37_000
	benchRequests         = 500_000
	heavyHitterCounters   = 256
	heavyHitterSampleSize = 1028
)

// BenchmarkTenantMetrics compares a small fixed histogram for each tenant with full histograms for heavy hitters only.
// It reports the live heap and the error of the counts by tenant. docs/decisions/005-metrics.md gives the result.
func BenchmarkTenantMetrics(b *testing.B) {
	stream, exact := skewedStream()
	b.Run("fixed histogram per tenant", func(b *testing.B) {
		for b.Loop() {
			before := liveBytes()
			c, q := newCommands()
			for _, name := range stream {
				c.Record(observation(name, fleet.Answered, time.Millisecond))
			}
			after := liveBytes()
			counts := map[string]int64{}
			for _, t := range q.Snapshot(benchTenants).Tenants {
				counts[t.Name] = t.Outcomes.Answered
			}
			reportMetrics(b, after-before, exact, counts)
		}
	})
	b.Run("heavy hitters by Space-Saving", func(b *testing.B) {
		for b.Loop() {
			before := liveBytes()
			s := &spaceSaving{counters: map[string]*heavyHitter{}}
			for _, name := range stream {
				s.record(name, time.Millisecond)
			}
			after := liveBytes()
			counts := map[string]int64{}
			for name, h := range s.counters {
				counts[name] = h.count
			}
			reportMetrics(b, after-before, exact, counts)
		}
	})
}

// skewedStream returns tenant names drawn from a Zipf distribution, in which a few tenants send most requests, and the
// exact count of each tenant.
func skewedStream() (stream []string, exact map[string]int64) {
	zipf := rand.NewZipf(rand.New(rand.NewPCG(1, 1)), 1.1, 8, benchTenants-1)
	names := make([]string, benchTenants)
	for i := range names {
		names[i] = fmt.Sprintf("tenant-%05d", i)
	}
	exact = map[string]int64{}
	for range benchRequests {
		name := names[zipf.Uint64()]
		stream = append(stream, name)
		exact[name]++
	}
	return stream, exact
}

func liveBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// reportMetrics reports the memory, the number of tenants without a count, and the errors of the other counts.
func reportMetrics(b *testing.B, bytes float64, exact, counts map[string]int64) {
	b.Helper()
	missing := 0
	relative := 0.0
	for name, n := range exact {
		got, counted := counts[name]
		if !counted {
			missing++
			continue
		}
		relative += float64(max(got-n, n-got)) / float64(n)
	}
	top := slices.SortedFunc(maps.Keys(exact), func(a, b string) int { return cmp.Compare(exact[b], exact[a]) })[:20]
	heaviest := 0.0
	for _, name := range top {
		heaviest += float64(max(counts[name]-exact[name], exact[name]-counts[name])) / float64(exact[name])
	}
	b.ReportMetric(bytes/1e6, "MB")
	b.ReportMetric(100*heaviest/float64(len(top)), "%-top-20-count-error")
	b.ReportMetric(float64(len(exact)), "tenants-seen")
	b.ReportMetric(float64(missing), "tenants-missing")
	b.ReportMetric(100*relative/float64(max(1, len(exact)-missing)), "%-mean-count-error")
}

// spaceSaving implements the Space-Saving algorithm: it counts heavy hitters with a fixed number of counters. A tenant
// without a counter takes over the lowest one including its count; a count is therefore never too low.
type spaceSaving struct {
	counters map[string]*heavyHitter
}

type heavyHitter struct {
	count   int64
	latency metrics.Histogram
}

func (s *spaceSaving) record(name string, latency time.Duration) {
	h := s.counters[name]
	if h == nil {
		h = &heavyHitter{latency: metrics.NewHistogram(metrics.NewUniformSample(heavyHitterSampleSize))}
		if len(s.counters) >= heavyHitterCounters {
			h.count = s.evict()
		}
		s.counters[name] = h
	}
	h.count++
	h.latency.Update(latency.Microseconds())
}

func (s *spaceSaving) evict() int64 {
	lowest := ""
	for name, h := range s.counters {
		if lowest == "" || h.count < s.counters[lowest].count {
			lowest = name
		}
	}
	count := s.counters[lowest].count
	delete(s.counters, lowest)
	return count
}

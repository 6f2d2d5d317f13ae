package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/matryer/is"
)

// BenchmarkConfigurationChange measures the time in microseconds from applying a file at one node until the new revision
// is in force at every node. The log injects no faults.
func BenchmarkConfigurationChange(b *testing.B) {
	for _, nodes := range []int{3, 12, 24} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			f := newFleet(b, 1, nodes)
			f.applyConfig(b)
			h := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
			var changeCount int
			for b.Loop() {
				changeCount++
				file, _ := f.Nodes[0].Config.File("tenants.toml")
				var contents strings.Builder
				writeTenant(&contents, "added", fmt.Sprint("token-", changeCount), "rental-desk")
				start := time.Now()
				d, err := f.Nodes[0].follower.Apply(
					b.Context(), "tenants.toml", file.Revision, fmt.Sprint("change-", changeCount), []byte(contents.String()))
				is.New(b).NoErr(err)
				for _, n := range f.Nodes {
					for n.Config.Current().Revision < d.Revision {
						<-time.After(time.Millisecond)
					}
				}
				is.New(b).NoErr(h.RecordValue(time.Since(start).Microseconds()))
			}
			b.ReportMetric(float64(h.ValueAtPercentile(50)), "p50-us")
			b.ReportMetric(float64(h.Max()), "max-us")
		})
	}
}

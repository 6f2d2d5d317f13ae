package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/matryer/is"
)

// BenchmarkConfigurationChange measures the time in microseconds from the call of apply at one node until the change is in
// force at every node of a fleet with a log in good order.
func BenchmarkConfigurationChange(b *testing.B) {
	for _, nodes := range []int{3, 12, 24} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			f := newFleet(b, 1, nodes)
			f.apply(b)
			h := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
			var changes int
			for b.Loop() {
				changes++
				file, _ := f.Nodes[0].Config.File("tenants.toml")
				var contents strings.Builder
				tenant(&contents, "added", fmt.Sprint("token-", changes), "rental-desk")
				begin := time.Now()
				d, err := f.Nodes[0].follower.Apply(
					b.Context(), "tenants.toml", file.Revision, fmt.Sprint("change-", changes), []byte(contents.String()))
				is.New(b).NoErr(err)
				for _, n := range f.Nodes {
					for n.Config.Current().Revision < d.Revision {
						<-time.After(time.Millisecond)
					}
				}
				is.New(b).NoErr(h.RecordValue(time.Since(begin).Microseconds()))
			}
			b.ReportMetric(float64(h.ValueAtPercentile(50)), "p50-us")
			b.ReportMetric(float64(h.Max()), "max-us")
		})
	}
}

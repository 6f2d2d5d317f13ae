package node

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/matryer/is"
)

const maxLatency = 10 * time.Second

// BenchmarkAddedLatency sends the same request in turn to a backend server directly, through a node of the service's
// group, and through a node that forwards it. It reports the median and the 99th percentile of each path in microseconds.
func BenchmarkAddedLatency(b *testing.B) {
	f := newFleet(b, 1, 5)
	f.applyConfig(b)
	for _, n := range f.Nodes {
		await(b, func() bool { return len(n.Members.Group("rental-desk")) == 3 && len(n.Members.Peers()) == 4 })
	}
	outside, inside := pickOutsideAndInside(f)
	direct := &timedPath{Name: "direct", URL: "http://" + anyBackend(f) + "/loans/1"}
	node := &timedPath{Name: "node", URL: "http://" + inside.Settings.CallerAddress + "/loans/1"}
	forward := &timedPath{Name: "forward", URL: "http://" + outside.Settings.CallerAddress + "/loans/1"}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	paths := []*timedPath{direct, node, forward}
	for _, p := range paths {
		p.Histogram = hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	}
	for b.Loop() {
		for _, p := range paths {
			timeRequest(b, client, p)
		}
	}
	for _, p := range paths {
		b.ReportMetric(float64(p.Histogram.ValueAtPercentile(50)), p.Name+"-p50-us")
		b.ReportMetric(float64(p.Histogram.ValueAtPercentile(99)), p.Name+"-p99-us")
	}
}

// timedPath is one of the compared request paths, with its latencies in microseconds.
type timedPath struct {
	Name      string
	URL       string
	Histogram *hdrhistogram.Histogram
}

func anyBackend(f *testFleet) string {
	for address := range f.Backends {
		return address
	}
	return ""
}

func timeRequest(b *testing.B, c *http.Client, p *timedPath) {
	b.Helper()
	r := newRequest(b, http.MethodGet, p.URL)
	start := time.Now()
	response, err := c.Do(r)
	is.New(b).NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	is.New(b).NoErr(err)
	is.New(b).NoErr(response.Body.Close())
	is.New(b).NoErr(p.Histogram.RecordValue(time.Since(start).Microseconds()))
	is.New(b).Equal(response.StatusCode, http.StatusOK)
}

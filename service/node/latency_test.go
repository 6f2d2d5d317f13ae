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

// BenchmarkAddedLatency sends the same request to a backend server directly, through a node of the service's group, and
// through a node that forwards it, in turn. It reports the three distributions and the differences in microseconds.
func BenchmarkAddedLatency(b *testing.B) {
	f := newFleet(b, 1, 5)
	f.apply(b)
	for _, n := range f.Nodes {
		await(b, func() bool { return len(n.Members.Group("rental-desk")) == 3 && len(n.Members.Peers()) == 4 })
	}
	outside, inside := split(f)
	direct := &timed{Name: "direct", URL: "http://" + anyBackend(f) + "/loans/1"}
	node := &timed{Name: "node", URL: "http://" + inside.Settings.CallerAddress + "/loans/1"}
	forward := &timed{Name: "forward", URL: "http://" + outside.Settings.CallerAddress + "/loans/1"}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	paths := []*timed{direct, node, forward}
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

// timed is a path of the same request and its latencies in microseconds.
type timed struct {
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

func timeRequest(b *testing.B, c *http.Client, p *timed) {
	b.Helper()
	r := newRequest(b, http.MethodGet, p.URL)
	begin := time.Now()
	response, err := c.Do(r)
	is.New(b).NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	is.New(b).NoErr(err)
	is.New(b).NoErr(response.Body.Close())
	is.New(b).NoErr(p.Histogram.RecordValue(time.Since(begin).Microseconds()))
	is.New(b).Equal(response.StatusCode, http.StatusOK)
}

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

// BenchmarkAddedLatency sends the same request to a backend server directly and through a node, in turn, and reports
// both distributions and their difference in microseconds.
func BenchmarkAddedLatency(b *testing.B) {
	f := newFleet(b, 1, 1)
	f.apply(b)
	var backend string
	for address := range f.Backends {
		backend = address
	}
	direct := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	through := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	b.ReportAllocs()
	for b.Loop() {
		timeRequest(b, client, direct, "http://"+backend+"/loans/1")
		timeRequest(b, client, through, "http://"+f.Nodes[0].Settings.CallerAddress+"/loans/1")
	}
	report(b, "direct", direct)
	report(b, "node", through)
	b.ReportMetric(float64(through.ValueAtPercentile(50)-direct.ValueAtPercentile(50)), "added-p50-us")
	b.ReportMetric(float64(through.ValueAtPercentile(99)-direct.ValueAtPercentile(99)), "added-p99-us")
}

func timeRequest(b *testing.B, c *http.Client, h *hdrhistogram.Histogram, url string) {
	b.Helper()
	r := newRequest(b, http.MethodGet, url)
	begin := time.Now()
	response, err := c.Do(r)
	is.New(b).NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	is.New(b).NoErr(err)
	is.New(b).NoErr(response.Body.Close())
	is.New(b).NoErr(h.RecordValue(time.Since(begin).Microseconds()))
	is.New(b).Equal(response.StatusCode, http.StatusOK)
}

func report(b *testing.B, name string, h *hdrhistogram.Histogram) {
	b.ReportMetric(float64(h.ValueAtPercentile(50)), name+"-p50-us")
	b.ReportMetric(float64(h.ValueAtPercentile(99)), name+"-p99-us")
}

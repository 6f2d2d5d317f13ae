package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// Guards against silent backend servers that hold up the probes of all others: each waits for its timeout of 1 s.
func TestProbesOfSilentServersOverlap(t *testing.T) {
	f := newFleet(t, 0, 1)
	var waiting, most atomic.Int64
	for range 8 {
		s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			most.Store(max(most.Load(), waiting.Add(1)))
			<-r.Context().Done()
			waiting.Add(-1)
		}))
		t.Cleanup(s.Close)
		f.Backends[strings.TrimPrefix(s.URL, "http://")] = nil
	}
	f.apply(t)
	await(t, func() bool { return most.Load() > 1 })
}

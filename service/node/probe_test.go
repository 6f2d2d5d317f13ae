package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// Guards against unresponsive backend servers that delay the probes of all others: each probe waits for its timeout of
// 1 s.
func TestProbesOfSilentServersOverlap(t *testing.T) {
	f := newFleet(t, 0, 1)
	var waiting, maxWaiting atomic.Int64
	for range 8 {
		s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			maxWaiting.Store(max(maxWaiting.Load(), waiting.Add(1)))
			<-r.Context().Done()
			waiting.Add(-1)
		}))
		t.Cleanup(s.Close)
		f.Backends[strings.TrimPrefix(s.URL, "http://")] = nil
	}
	f.applyConfig(t)
	await(t, func() bool { return maxWaiting.Load() > 1 })
}

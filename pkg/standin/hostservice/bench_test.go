package hostservice

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"egretline.example/egretline/service/api"
)

// BenchmarkListBytes measures the plain and the compressed size of the host list by the number of hosts.
func BenchmarkListBytes(b *testing.B) {
	for _, hosts := range []int{44, 200, 840} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			var list api.HostList
			for i := range hosts {
				list.Hosts = append(list.Hosts, api.Host{
					ID: fmt.Sprint("kz-a-", i), Region: "kz-central", AvailabilityZone: fmt.Sprint("kz-central-", i%4),
					CallerAddress: fmt.Sprintf("10.%d.%d.1:8080", i/250, i%250), PeerAddress: fmt.Sprintf("10.%d.%d.1:8081", i/250, i%250),
				})
			}
			s := New(list)
			var plain, compressed int
			for b.Loop() {
				w := httptest.NewRecorder()
				s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/hosts", nil))
				plain = w.Body.Len()
				var packed bytes.Buffer
				z := gzip.NewWriter(&packed)
				_, _ = z.Write(w.Body.Bytes())
				_ = z.Close()
				compressed = packed.Len()
			}
			b.ReportMetric(float64(plain), "plain-bytes")
			b.ReportMetric(float64(compressed), "gzip-bytes")
		})
	}
}

package operatorquery

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"egretline.example/egretline/pkg/trafficquery"
	"egretline.example/egretline/service/api"
)

// defaultTenantCount is the number of tenants in a response if the query sets none. All 37,000 tenants would take several
// megabytes.
const defaultTenantCount = 20

// Traffic reads the traffic statistics of this node.
type Traffic interface {
	Snapshot(limit int) trafficquery.Snapshot
	Tenant(name string) (trafficquery.Tenant, bool)
}

// Metrics serves GET /metrics. In the query, tenants=N sets the number of tenants and tenant=NAME selects a single one.
type Metrics struct {
	Traffic Traffic
}

// ServeHTTP responds with the metrics, or with 400 if the number of tenants is malformed.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	limit := defaultTenantCount
	if text := r.URL.Query().Get("tenants"); text != "" {
		n, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			http.Error(w, "tenants: want a number", http.StatusBadRequest)
			return
		}
		limit = int(n)
	}
	s := m.Traffic.Snapshot(limit)
	if name := r.URL.Query().Get("tenant"); name != "" {
		s.Tenants = nil
		if t, known := m.Traffic.Tenant(name); known {
			s.Tenants = append(s.Tenants, t)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(newMetrics(s))
}

func newMetrics(s trafficquery.Snapshot) api.Metrics {
	m := api.Metrics{
		Classes:     make([]api.ClassMetrics, 0, len(s.Classes)),
		Tenants:     make([]api.TenantMetrics, 0, len(s.Tenants)),
		TenantCount: s.TenantCount,
		Overflow:    s.Overflow,
	}
	for _, c := range s.Classes {
		m.Classes = append(m.Classes, api.ClassMetrics{
			Service: c.Service, Rank: c.Rank, Outcomes: api.OutcomeCounts(c.Outcomes),
			P50Ms: milliseconds(c.P50), P99Ms: milliseconds(c.P99), MaxMs: milliseconds(c.Max),
		})
	}
	for _, t := range s.Tenants {
		m.Tenants = append(m.Tenants, api.TenantMetrics{
			Name: t.Name, Outcomes: api.OutcomeCounts(t.Outcomes), P50Ms: milliseconds(t.P50), P99Ms: milliseconds(t.P99),
		})
	}
	return m
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

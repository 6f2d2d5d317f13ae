package api

// Metrics is the response of GET /metrics.
type Metrics struct {
	Classes []ClassMetrics `json:"classes"`
	// Tenants lists the tenants with the most requests at this node, or the one that the query names.
	Tenants     []TenantMetrics `json:"tenants"`
	TenantCount int             `json:"tenants-known"`
	// Overflow counts the requests that were not recorded by class or tenant because the metrics were full.
	Overflow int64 `json:"overflow"`
}

// OutcomeCounts counts requests by outcome since the node started.
type OutcomeCounts struct {
	Answered int64 `json:"answered"`
	NotRun   int64 `json:"not-run"`
	Unknown  int64 `json:"unknown"`
}

// ClassMetrics is the traffic of one service at one rank. Latencies are weighted towards the last minutes.
type ClassMetrics struct {
	Service  string        `json:"service"`
	Rank     string        `json:"rank"`
	Outcomes OutcomeCounts `json:"outcomes"`
	P50Ms    float64       `json:"p50-ms"`
	P99Ms    float64       `json:"p99-ms"`
	MaxMs    float64       `json:"max-ms"`
}

// TenantMetrics is the traffic of one tenant since the node started. The percentiles are upper bounds of histogram
// buckets.
type TenantMetrics struct {
	Name     string        `json:"name"`
	Outcomes OutcomeCounts `json:"outcomes"`
	P50Ms    float64       `json:"p50-ms"`
	P99Ms    float64       `json:"p99-ms"`
}

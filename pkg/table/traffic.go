package table

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"egretline.example/egretline/pkg/fleet"
)

// TenantBuckets is the number of latency buckets of a tenant. Bucket i holds latencies below LatencyBound(i) that do
// not fit a lower bucket; the last bucket holds all higher ones.
const TenantBuckets = 16

// Traffic holds the counters of finished requests by class and by tenant.
type Traffic struct {
	Classes map[TrafficClass]*ClassTraffic
	Tenants map[string]*TenantTraffic
	// Overflow counts the requests that were not counted by class or tenant because the table was full.
	Overflow int64
}

// TrafficClass identifies the requests of one rank to one service.
type TrafficClass struct {
	Service string
	Rank    string
}

// ClassTraffic holds the latency histogram, in microseconds, and the outcome counters of one class.
type ClassTraffic struct {
	Latency  metrics.Histogram
	Outcomes map[fleet.Outcome]metrics.Counter
}

// TenantTraffic holds a small fixed histogram and the outcome counters of one tenant. It has no pointers, because a
// node holds one for each of up to 37,000 tenants.
type TenantTraffic struct {
	Answered uint32
	NotRun   uint32
	Unknown  uint32
	// Latency counts answered requests by bucket.
	Latency [TenantBuckets]uint32
}

// LatencyBound returns the upper bound of a bucket: 1 ms for the first one, doubled with each further bucket.
func LatencyBound(bucket int) time.Duration {
	return time.Millisecond << bucket
}

func newTraffic() Traffic {
	return Traffic{Classes: map[TrafficClass]*ClassTraffic{}, Tenants: map[string]*TenantTraffic{}}
}

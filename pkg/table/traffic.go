package table

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"egretline.example/egretline/pkg/fleet"
)

// TenantBuckets is the number of latency buckets of a tenant. Bucket i holds latencies below LatencyBound(i); the last
// one holds all others.
const TenantBuckets = 16

// Traffic counts finished requests by class and by tenant.
type Traffic struct {
	Classes map[TrafficClass]*ClassTraffic
	Tenants map[string]*TenantTraffic
	// Overflow counts the requests that were not counted by class or tenant, because the table was full.
	Overflow int64
}

// TrafficClass is the work of one rank at one service.
type TrafficClass struct {
	Service string
	Rank    string
}

// ClassTraffic is a full histogram, in microseconds, and counters of one class.
type ClassTraffic struct {
	Latency  metrics.Histogram
	Outcomes map[fleet.Outcome]metrics.Counter
}

// TenantTraffic is a small fixed histogram and counters of one tenant. It has no pointers, because a node holds one for
// each of up to 37,000 tenants.
type TenantTraffic struct {
	Answered uint32
	NotRun   uint32
	Unknown  uint32
	// Latency counts answered requests by bucket.
	Latency [TenantBuckets]uint32
}

// LatencyBound returns the upper bound of a bucket: 1 ms, doubled with each bucket.
func LatencyBound(bucket int) time.Duration {
	return time.Millisecond << bucket
}

func newTraffic() Traffic {
	return Traffic{Classes: map[TrafficClass]*ClassTraffic{}, Tenants: map[string]*TenantTraffic{}}
}

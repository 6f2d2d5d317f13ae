// Package trafficcmd counts finished requests in the Traffic table, by class and by tenant.
package trafficcmd

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// Limits of the table size. They keep the memory of metrics far below the 32 MB that a node has for its control data.
const (
	// MaxTenants exceeds the 37,000 tenants of the design scale.
	MaxTenants = 40_000
	// MaxClasses exceeds 260 services with 3 ranks each.
	MaxClasses = 1024
)

// Sampling reservoir of a class histogram. With 256 values the 2 or 3 highest ones determine the 99th percentile, which
// is accurate enough for an alert; experiments use the load tool's HDR histograms.
const (
	reservoirSize = 256
	// reservoirAlpha weights the sample towards the last five minutes, as the go-metrics documentation recommends.
	reservoirAlpha = 0.015
)

// Commands writes the Traffic table.
type Commands struct {
	Traffic *guard.Guard[table.Traffic]
}

// Observation is the outcome and latency of one finished request.
type Observation struct {
	Class   table.TrafficClass
	Tenant  string
	Outcome fleet.Outcome
	// Latency is the time from the arrival of the request to the end of its response.
	Latency time.Duration
}

// Record counts the request by class and by tenant.
func (c *Commands) Record(o Observation) {
	c.Traffic.Write(guard.Held{}, func(_ guard.Held, t *table.Traffic) { record(t, o) })
}

func record(t *table.Traffic, o Observation) {
	class := classOf(t, o.Class)
	tenant := tenantOf(t, o.Tenant)
	if class == nil || tenant == nil {
		t.Overflow++
	}
	if class != nil {
		countClass(class, o)
	}
	if tenant != nil {
		countTenant(tenant, o)
	}
}

// classOf returns the counters of the class, or nil if the class is new and the table is full.
func classOf(t *table.Traffic, key table.TrafficClass) *table.ClassTraffic {
	if c := t.Classes[key]; c != nil || len(t.Classes) >= MaxClasses {
		return c
	}
	c := &table.ClassTraffic{
		Latency: metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha)),
		Outcomes: map[fleet.Outcome]metrics.Counter{
			fleet.Answered: metrics.NewCounter(),
			fleet.NotRun:   metrics.NewCounter(),
			fleet.Unknown:  metrics.NewCounter(),
		},
	}
	t.Classes[key] = c
	return c
}

// tenantOf returns the counters of the tenant, or nil if the tenant is new and the table is full.
func tenantOf(t *table.Traffic, name string) *table.TenantTraffic {
	if n := t.Tenants[name]; n != nil || len(t.Tenants) >= MaxTenants {
		return n
	}
	n := &table.TenantTraffic{}
	t.Tenants[name] = n
	return n
}

func countClass(c *table.ClassTraffic, o Observation) {
	if counter := c.Outcomes[o.Outcome]; counter != nil {
		counter.Inc(1)
	}
	if o.Outcome == fleet.Answered {
		c.Latency.Update(o.Latency.Microseconds())
	}
}

func countTenant(n *table.TenantTraffic, o Observation) {
	switch o.Outcome {
	case fleet.Answered:
		n.Answered++
		n.Latency[bucket(o.Latency)]++
	case fleet.NotRun:
		n.NotRun++
	case fleet.Unknown:
		n.Unknown++
	}
}

// bucket returns the lowest bucket whose upper bound exceeds the latency, or the last bucket.
func bucket(latency time.Duration) int {
	for i := range table.TenantBuckets - 1 {
		if latency < table.LatencyBound(i) {
			return i
		}
	}
	return table.TenantBuckets - 1
}

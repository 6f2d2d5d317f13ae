package table

import (
	"time"

	"egretline.example/egretline/internal/decide/zoneshare"
)

// Zones holds what is needed to decide which requests leave the availability zone of the node.
type Zones struct {
	// Services holds the services that the node serves by zone. It is empty if zones have no preference.
	Services map[string]*ZoneService
	// Reports holds the last report of each other entry host, by host ID.
	Reports map[string]ZoneReport
	// Crossed counts the traffic by pair of zones and service since the node started. From is the zone of this node.
	Crossed map[ZoneCrossing]CrossedTraffic
}

// ZoneService is the state of one service.
type ZoneService struct {
	// Plan is the plan in force; nil before the first step. It is replaced, never modified.
	Plan *zoneshare.Plan
	// Load is this node's own load, with smoothed demand, as of SteppedAt.
	Load      zoneshare.Load
	SteppedAt time.Time
	// MeanBytes is the mean size of request and response bodies, and Target the mean target latency.
	MeanBytes float64
	Target    time.Duration
}

// ZoneReport is what another entry host reported about its load.
type ZoneReport struct {
	AvailabilityZone string
	Received         time.Time
	// Incarnation identifies the run of the host's process, and Sequence orders its reports.
	Incarnation int64
	Sequence    uint64
	Services    map[string]zoneshare.Load
}

// ZoneCrossing identifies requests of one service from the callers of one zone at the servers of another.
type ZoneCrossing struct {
	Service string
	From    string
	To      string
}

// CrossedTraffic counts attempts and the bytes of their bodies.
type CrossedTraffic struct {
	Requests int64
	Bytes    int64
}

func newZones() Zones {
	return Zones{
		Services: map[string]*ZoneService{}, Reports: map[string]ZoneReport{},
		Crossed: map[ZoneCrossing]CrossedTraffic{},
	}
}

package measure

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"egretline.example/egretline/internal/decide/zoneshare"
)

// The zones of a trial are pools of slots with one queue each. Service times have two exponential phases.
const (
	zoneCount       = 3
	zoneSlots       = 40
	zoneServiceTime = 300 * time.Millisecond
	zoneTarget      = time.Second
	// zoneMaxWait is the wait after which a request is refused.
	zoneMaxWait   = 2 * time.Second
	zoneMeanBytes = 20_000
	// zoneMaxInbound is the number of requests that one zone may have in flight in another, as the concurrency limits of its
	// entry hosts have it.
	zoneMaxInbound = zoneSlots * 3 / 4
	zoneTick       = 5 * time.Millisecond
	// zoneReportInterval is the time between two reports and steps. A step uses the previous report of other zones.
	zoneReportInterval = 200 * time.Millisecond
	zonePeriod         = time.Second
	// zoneLevelWait is the mean wait up to which a zone counts as level with the others.
	zoneLevelWait = 50 * time.Millisecond
	// zoneSwing is the change of the fraction that leaves from which a reversal counts as a swing. It exceeds the noise of
	// the requests of one period.
	zoneSwing = 0.15
)

// ZoneLoad gives the demand of each zone's callers and its usable slots at each time, as fractions of its slots.
type ZoneLoad struct {
	Name     string
	Duration time.Duration
	// Onset is the time at which zone 0 first has too few slots; zero if it never does.
	Onset  time.Duration
	Demand func(zone int, at time.Duration) float64
	Slots  func(zone int, at time.Duration) float64
}

// ZoneLoads returns the loads on which the ways of leaving a zone are compared.
func ZoneLoads() []ZoneLoad {
	all := func(int, time.Duration) float64 { return 1 }
	within := func(zone int, at, from, to time.Duration) bool { return zone == 0 && at >= from && at < to }
	return []ZoneLoad{
		{Name: "calm", Duration: 20 * time.Second, Slots: all,
			Demand: func(int, time.Duration) float64 { return 0.55 }},
		{Name: "one zone at twice its places", Duration: 16 * time.Second, Onset: 4 * time.Second, Slots: all,
			Demand: func(zone int, at time.Duration) float64 {
				if within(zone, at, 4*time.Second, 12*time.Second) {
					return 2
				}
				return 0.35
			}},
		{Name: "one zone loses half of its servers", Duration: 20 * time.Second, Onset: 5 * time.Second,
			Demand: func(int, time.Duration) float64 { return 0.65 },
			Slots: func(zone int, at time.Duration) float64 {
				if within(zone, at, 5*time.Second, 15*time.Second) {
					return 0.5
				}
				return 1
			}},
		{Name: "demand wanders", Duration: 30 * time.Second, Onset: zoneTick, Slots: all,
			Demand: func(zone int, at time.Duration) float64 {
				turn := math.Cos(2 * math.Pi * (at.Seconds()/30 - float64(zone)/zoneCount))
				return 0.4 + 1.1*math.Pow(max(0, turn), 2)
			}},
	}
}

// ZoneResult is what callers got, and what it took.
type ZoneResult struct {
	Requests int
	Late     int
	Refused  int
	// Crossed is the number of requests that left their zone, and CrossedBytes the bytes that they moved.
	Crossed      int
	CrossedBytes int
	// UntilLevel is the time from the onset until the requests of zone 0 waited no longer than zoneLevelWait on average;
	// the rest of the trial if they always did longer.
	UntilLevel time.Duration
	// Swings counts the reversals of the fraction that leaves zone 0.
	Swings int
}

// Add adds the figures of another play of the same load.
func (r *ZoneResult) Add(other ZoneResult) {
	r.Requests += other.Requests
	r.Late += other.Late
	r.Refused += other.Refused
	r.Crossed += other.Crossed
	r.CrossedBytes += other.CrossedBytes
	r.UntilLevel += other.UntilLevel
	r.Swings += other.Swings
}

// Fraction returns n as a fraction of all requests.
func (r ZoneResult) Fraction(n int) float64 { return float64(n) / float64(max(1, r.Requests)) }

// zoneRequest is a request. It waits in its zone until its way sends it to another one.
type zoneRequest struct {
	ID string
	// Point is a random number from 0 to 1, by which the request is distributed.
	Point   float64
	From    int
	Arrived time.Duration
	Ends    time.Duration
}

type zonePool struct {
	Slots   int
	Running []zoneRequest
	Waiting []zoneRequest
	// InFlight counts the running and waiting requests by the zone of their callers.
	InFlight [zoneCount]int
	// Demand is the smoothed demand of the zone's callers, and Plan its plan.
	Demand float64
	Plan   zoneshare.Plan
	// Reported is what the other zones know of this one, and ReportedFree its free slots.
	Reported     zoneshare.Zone
	ReportedFree int
}

func (p *zonePool) full() bool { return len(p.Running) >= p.Slots }

// zoneRun is a trial in progress.
type zoneRun struct {
	Load   ZoneLoad
	Pools  []zonePool
	Random *rand.Rand
	Result ZoneResult
	period zonePeriodCounts
	// left holds the fraction that left zone 0 in each period.
	left []float64
}

type zonePeriodCounts struct {
	Sent, Left, Started int
	Waited              time.Duration
}

// RunZones plays the load once. The same seed gives the same result.
func RunZones(load ZoneLoad, way ZoneWay, seed uint64) ZoneResult {
	x := &zoneRun{Load: load, Pools: make([]zonePool, zoneCount), Random: rand.New(rand.NewPCG(seed, 0))}
	for n := range x.Pools {
		x.Pools[n].Plan = zoneshare.Plan{Home: strconv.Itoa(n), Cause: zoneshare.Home}
	}
	x.Result.UntilLevel = load.Duration - load.Onset
	for at := time.Duration(0); at < load.Duration; at += zoneTick {
		if at%zoneReportInterval == 0 {
			x.step(at)
		}
		if at > 0 && at%zonePeriod == 0 {
			x.endPeriod(at)
		}
		for n := range x.Pools {
			x.arrive(n, at, way)
		}
		for n := range x.Pools {
			x.serve(&x.Pools[n], at)
			x.leave(n, at, way)
		}
	}
	x.Result.CrossedBytes = x.Result.Crossed * zoneMeanBytes
	x.Result.Swings = countReversals(x.left, zoneSwing)
	return x.Result
}

// step reports the demand of all zones and updates their plans.
func (x *zoneRun) step(at time.Duration) {
	var demand [zoneCount]int
	for _, p := range x.Pools {
		for from, n := range p.InFlight {
			demand[from] += n
		}
	}
	reported := make([]zoneshare.Zone, zoneCount)
	for n := range x.Pools {
		p := &x.Pools[n]
		p.Slots = int(zoneSlots * x.Load.Slots(n, at))
		p.Demand = zoneshare.Smooth(p.Demand, float64(demand[n]), zoneReportInterval)
		reported[n] = zoneshare.Zone{
			Name: strconv.Itoa(n), Load: zoneshare.Load{Demand: p.Reported.Demand, Slots: float64(p.Slots)},
			ReachableSlots: float64(p.Slots), Hosts: 1,
		}
	}
	costs := zoneshare.Costs{
		Crossing: 3 * time.Millisecond, TransferCost: time.Second, MeanBytes: zoneMeanBytes,
		ServiceTime: zoneServiceTime, Target: zoneTarget,
	}
	for n := range x.Pools {
		p := &x.Pools[n]
		zones := append([]zoneshare.Zone(nil), reported...)
		zones[n].Demand = p.Demand
		p.Plan = zoneshare.Step(p.Plan, zoneshare.Want(zones, n, zoneSlots, costs), zoneReportInterval)
	}
	for n := range x.Pools {
		x.Pools[n].Reported = reported[n]
		x.Pools[n].Reported.Demand = x.Pools[n].Demand
		x.Pools[n].ReportedFree = x.Pools[n].Slots - len(x.Pools[n].Running) - len(x.Pools[n].Waiting)
	}
}

// arrive adds the requests that arrive from the zone within one tick.
func (x *zoneRun) arrive(zone int, at time.Duration, way ZoneWay) {
	mean := x.Load.Demand(zone, at) * zoneSlots * zoneTick.Seconds() / zoneServiceTime.Seconds()
	for x.Random.Float64() < mean/(1+mean) {
		q := zoneRequest{
			ID: strconv.FormatUint(x.Random.Uint64(), 36), Point: x.Random.Float64(), From: zone, Arrived: at,
		}
		x.Result.Requests++
		if zone == 0 {
			x.period.Sent++
		}
		x.send(x.limited(way(x.Pools, q, 0), q), q)
	}
}

// leave sends requests that wait in the zone of their callers to other zones.
func (x *zoneRun) leave(zone int, at time.Duration, way ZoneWay) {
	p := &x.Pools[zone]
	waiting := p.Waiting
	p.Waiting = nil
	for _, q := range waiting {
		to := zone
		if q.From == zone {
			to = x.limited(way(x.Pools, q, at-q.Arrived), q)
		}
		if to == zone {
			p.Waiting = append(p.Waiting, q)
			continue
		}
		p.InFlight[zone]--
		x.send(to, q)
	}
}

// limited returns the zone, or that of the request if too many others of it are in flight in the zone.
func (x *zoneRun) limited(to int, q zoneRequest) int {
	if to != q.From && x.Pools[to].InFlight[q.From] >= zoneMaxInbound {
		return q.From
	}
	return to
}

func (x *zoneRun) send(to int, q zoneRequest) {
	x.Pools[to].Waiting = append(x.Pools[to].Waiting, q)
	x.Pools[to].InFlight[q.From]++
	if to == q.From {
		return
	}
	x.Result.Crossed++
	if q.From == 0 {
		x.period.Left++
	}
}

// serve ends and starts requests of the pool.
func (x *zoneRun) serve(p *zonePool, at time.Duration) {
	running := p.Running[:0]
	for _, q := range p.Running {
		if q.Ends > at {
			running = append(running, q)
			continue
		}
		p.InFlight[q.From]--
		if q.Ends-q.Arrived > zoneTarget {
			x.Result.Late++
		}
	}
	p.Running = running
	for len(p.Waiting) > 0 && !p.full() {
		q := p.Waiting[0]
		p.Waiting = p.Waiting[1:]
		if q.From == 0 {
			x.period.Started++
			x.period.Waited += at - q.Arrived
		}
		if at-q.Arrived > zoneMaxWait {
			x.Result.Refused++
			p.InFlight[q.From]--
			continue
		}
		phases := x.Random.ExpFloat64() + x.Random.ExpFloat64()
		q.Ends = at + time.Duration(phases*float64(zoneServiceTime)/2)
		p.Running = append(p.Running, q)
	}
}

func (x *zoneRun) endPeriod(at time.Duration) {
	x.left = append(x.left, float64(x.period.Left)/float64(max(1, x.period.Sent)))
	level := x.period.Waited <= zoneLevelWait*time.Duration(x.period.Started)
	if since := at - zonePeriod - x.Load.Onset; level && x.Load.Onset > 0 && since >= -zoneTick {
		x.Result.UntilLevel = min(x.Result.UntilLevel, max(0, since))
	}
	x.period = zonePeriodCounts{}
}

// countReversals counts the changes of direction between moves of at least the given size.
func countReversals(values []float64, size float64) int {
	var reversals int
	var base, direction float64
	for _, v := range values {
		move := v - base
		if math.Abs(move) < size {
			continue
		}
		if move*direction < 0 {
			reversals++
		}
		base, direction = v, move
	}
	return reversals
}

package load

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Schedule generates the requests of an experiment in the order of their intended send times.
type Schedule struct {
	experiment Experiment
	processes  []poissonProcess
	nextNumber int
}

// poissonProcess generates the send times and tenants of one flow.
type poissonProcess struct {
	rng               *rand.Rand
	nextSend          time.Duration
	tenantIndexes     []int
	cumulativeWeights []float64
	totalWeight       float64
}

// NewSchedule returns the schedule of the experiment. Each flow has its own random number generator, so a change to one
// flow does not alter the requests of the others.
func NewSchedule(e Experiment) *Schedule {
	s := &Schedule{experiment: e}
	for i, f := range e.Flows {
		process := poissonProcess{rng: rand.New(rand.NewPCG(e.Seed, uint64(i)))}
		for j, t := range e.Tenants {
			if len(f.Tenants) == 0 || slices.Contains(f.Tenants, t.Name) {
				process.totalWeight += t.Weight
				process.tenantIndexes = append(process.tenantIndexes, j)
				process.cumulativeWeights = append(process.cumulativeWeights, process.totalWeight)
			}
		}
		s.processes = append(s.processes, process)
		s.advance(i)
	}
	return s
}

// Next returns the next request, or false if none is left before the end of the experiment.
func (s *Schedule) Next() (Request, bool) {
	earliest := -1
	for i, p := range s.processes {
		if p.nextSend < s.experiment.Duration && (earliest < 0 || p.nextSend < s.processes[earliest].nextSend) {
			earliest = i
		}
	}
	if earliest < 0 {
		return Request{}, false
	}
	r := s.newRequest(earliest)
	s.advance(earliest)
	return r, true
}

func (s *Schedule) newRequest(flow int) Request {
	p := &s.processes[flow]
	r := Request{Number: s.nextNumber, SendOffset: p.nextSend, FlowIndex: flow, TenantIndex: p.drawTenant()}
	s.nextNumber++
	if zones := s.experiment.AvailabilityZones; len(zones) > 0 {
		r.AvailabilityZone = zones[p.rng.IntN(len(zones))]
	}
	return r
}

func (p *poissonProcess) drawTenant() int {
	draw := p.rng.Float64() * p.totalWeight
	for i, w := range p.cumulativeWeights {
		if draw < w {
			return p.tenantIndexes[i]
		}
	}
	return p.tenantIndexes[len(p.tenantIndexes)-1]
}

// advance draws the next send time of the flow by thinning: candidates are drawn at the peak rate and accepted with
// probability rate/peak at that time. This yields an exact inhomogeneous Poisson process, including at rate changes.
func (s *Schedule) advance(flow int) {
	p := &s.processes[flow]
	peak := s.peakRate(flow)
	if peak <= 0 || len(p.tenantIndexes) == 0 {
		p.nextSend = s.experiment.Duration
		return
	}
	for {
		p.nextSend += time.Duration(p.rng.ExpFloat64() / peak * float64(time.Second))
		if p.nextSend >= s.experiment.Duration || p.rng.Float64()*peak < s.rateAt(flow, p.nextSend) {
			return
		}
	}
}

func (s *Schedule) rateAt(flow int, offset time.Duration) float64 {
	f := s.experiment.Flows[flow]
	rate := f.RequestsPerSecond
	for _, p := range s.experiment.Phases {
		if p.Flow == f.Name && p.From <= offset && offset < p.To {
			rate *= p.Factor
		}
	}
	return rate
}

func (s *Schedule) peakRate(flow int) float64 {
	f := s.experiment.Flows[flow]
	peak := f.RequestsPerSecond
	for _, p := range s.experiment.Phases {
		if p.Flow == f.Name && p.Factor > 1 {
			peak *= p.Factor
		}
	}
	return peak
}

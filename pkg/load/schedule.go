package load

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Schedule yields the requests of an experiment in the order of their send times.
type Schedule struct {
	experiment Experiment
	flows      []stream
	number     int
}

// stream is the Poisson process of one flow.
type stream struct {
	random  *rand.Rand
	next    time.Duration
	tenants []int
	weights []float64
	total   float64
}

// NewSchedule returns the schedule. Each flow has its own random numbers, so that a change to one flow leaves the
// requests of the others as they are.
func NewSchedule(e Experiment) *Schedule {
	s := &Schedule{experiment: e}
	for i, f := range e.Flows {
		st := stream{random: rand.New(rand.NewPCG(e.Seed, uint64(i)))}
		for j, t := range e.Tenants {
			if len(f.Tenants) == 0 || slices.Contains(f.Tenants, t.Name) {
				st.total += t.Weight
				st.tenants = append(st.tenants, j)
				st.weights = append(st.weights, st.total)
			}
		}
		s.flows = append(s.flows, st)
		s.advance(i)
	}
	return s
}

// Next returns the next request, or false when the experiment is over.
func (s *Schedule) Next() (Request, bool) {
	first := -1
	for i, f := range s.flows {
		if f.next < s.experiment.Duration && (first < 0 || f.next < s.flows[first].next) {
			first = i
		}
	}
	if first < 0 {
		return Request{}, false
	}
	r := s.request(first)
	s.advance(first)
	return r, true
}

func (s *Schedule) request(flow int) Request {
	f := &s.flows[flow]
	r := Request{Number: s.number, At: f.next, Flow: flow, Tenant: f.tenant()}
	s.number++
	if zones := s.experiment.AvailabilityZones; len(zones) > 0 {
		r.AvailabilityZone = zones[f.random.IntN(len(zones))]
	}
	return r
}

func (f *stream) tenant() int {
	at := f.random.Float64() * f.total
	for i, w := range f.weights {
		if at < w {
			return f.tenants[i]
		}
	}
	return f.tenants[len(f.tenants)-1]
}

// advance draws the next send time by thinning: candidates come at the highest rate of the flow and are kept with the
// probability of the rate at that time, which gives an exact Poisson process also where the rate changes.
func (s *Schedule) advance(flow int) {
	f := &s.flows[flow]
	peak := s.peak(flow)
	if peak <= 0 || len(f.tenants) == 0 {
		f.next = s.experiment.Duration
		return
	}
	for {
		f.next += time.Duration(f.random.ExpFloat64() / peak * float64(time.Second))
		if f.next >= s.experiment.Duration || f.random.Float64()*peak < s.rate(flow, f.next) {
			return
		}
	}
}

func (s *Schedule) rate(flow int, at time.Duration) float64 {
	f := s.experiment.Flows[flow]
	rate := f.RequestsPerSecond
	for _, p := range s.experiment.Phases {
		if p.Flow == f.Name && p.From <= at && at < p.To {
			rate *= p.Factor
		}
	}
	return rate
}

func (s *Schedule) peak(flow int) float64 {
	f := s.experiment.Flows[flow]
	peak := f.RequestsPerSecond
	for _, p := range s.experiment.Phases {
		if p.Flow == f.Name && p.Factor > 1 {
			peak *= p.Factor
		}
	}
	return peak
}

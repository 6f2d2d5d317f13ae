package measure

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"egretline.example/egretline/pkg/decide/retry"
	"egretline.example/egretline/pkg/fleet"
)

// epoch is the virtual time at which every trial starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	// shedResponseTime and errorResponseTime are the times after which a backend server sends an explicit refusal or an
	// error.
	shedResponseTime  = time.Millisecond
	errorResponseTime = 5 * time.Millisecond
)

// event is the arrival of a request of a rank (Request is nil) or the end of an attempt.
type event struct {
	At time.Time
	// Sequence orders events of the same time.
	Sequence int
	Rank     int
	Request  *request
	Node     int
	Server   int
	Evidence fleet.Evidence
	Started  time.Time
	// HoldsSlot is false for an attempt that the backend server refused.
	HoldsSlot bool
}

// eventHeap implements heap.Interface with the earliest event first.
type eventHeap []event

func (e eventHeap) Len() int      { return len(e) }
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e eventHeap) Less(i, j int) bool {
	if !e[i].At.Equal(e[j].At) {
		return e[i].At.Before(e[j].At)
	}
	return e[i].Sequence < e[j].Sequence
}
func (e *eventHeap) Push(x any) { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// dispatchRun is the state of a trial.
type dispatchRun struct {
	DispatchTrial
	random *rand.Rand
	now    time.Time
	nodes  []dispatcher
	// busySlots is the number of slots in use by backend server.
	busySlots     []int
	events        eventHeap
	eventCount    int
	result        DispatchResult
	firstAttempts int
	shedAttempts  int
}

func (s *dispatchRun) run() DispatchResult {
	s.busySlots = make([]int, s.Deployment.Servers)
	for r, l := range s.Deployment.Ranks {
		s.result.Ranks = append(s.result.Ranks, RankResult{Rank: l.Rank, Offered: s.Offered[r]})
		s.scheduleArrival(r)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.At
		if e.Request == nil {
			s.handleArrival(e.Rank)
		} else {
			s.handleAttemptEnd(e)
		}
	}
	return s.summary()
}

// scheduleArrival schedules the next arrival of the rank, unless it is after the end of the measurement interval.
func (s *dispatchRun) scheduleArrival(rank int) {
	l := s.Deployment.Ranks[rank]
	rate := s.Offered[rank] * float64(s.Deployment.Servers*s.Deployment.Slots) / l.ServiceTime.Seconds()
	if rate == 0 {
		return
	}
	at := s.now.Add(time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)))
	if at.Before(epoch.Add(s.Warmup + s.Duration)) {
		s.push(event{At: at, Rank: rank})
	}
}

func (s *dispatchRun) push(e event) {
	s.eventCount++
	e.Sequence = s.eventCount
	heap.Push(&s.events, e)
}

func (s *dispatchRun) handleArrival(rank int) {
	s.scheduleArrival(rank)
	l := s.Deployment.Ranks[rank]
	r := &request{
		ID: strconv.Itoa(s.eventCount), Rank: rank, Arrived: s.now, Deadline: s.now.Add(l.Timeout),
		SlotTime: time.Duration(s.random.ExpFloat64() * float64(l.ServiceTime)),
		Counted:  !s.now.Before(epoch.Add(s.Warmup)),
	}
	if r.Counted {
		s.result.Ranks[rank].Requests++
	}
	node := s.random.IntN(len(s.nodes))
	s.countRefused(s.nodes[node].admit(s.now, r))
	s.dispatch(node)
}

func (s *dispatchRun) countRefused(list []*request) {
	for _, r := range list {
		if r.Counted {
			s.result.Ranks[r.Rank].Refused++
		}
	}
}

// dispatch starts attempts until the node has no request that it can send.
func (s *dispatchRun) dispatch(node int) {
	for {
		r, server, late := s.nodes[node].next(s.now)
		s.countRefused(late)
		if server < 0 {
			return
		}
		s.result.Attempts++
		if r.Attempt == 0 {
			s.firstAttempts++
		}
		s.push(s.simulateAttempt(r, node, server))
	}
}

// simulateAttempt starts an attempt at a backend server and returns the event that ends it. An attempt ends at the
// deadline at the latest, and the server then frees its slot.
func (s *dispatchRun) simulateAttempt(r *request, node, server int) event {
	e := event{Request: r, Node: node, Server: server, Started: s.now, Evidence: fleet.Succeeded}
	switch {
	case s.busySlots[server] >= s.Deployment.Slots:
		e.Evidence, e.At = fleet.Shed, s.now.Add(shedResponseTime)
		s.shedAttempts++
		return e
	case server < s.Faults.Stalled:
		e.Evidence, e.At = fleet.Failed, r.Deadline
	case s.random.Float64() < s.Faults.ErrorRate:
		e.Evidence, e.At = fleet.Failed, s.now.Add(errorResponseTime)
	default:
		e.At = s.now.Add(r.SlotTime)
	}
	if e.At.After(r.Deadline) {
		e.Evidence, e.At = fleet.Failed, r.Deadline
	}
	e.HoldsSlot = true
	s.busySlots[server]++
	return e
}

func (s *dispatchRun) handleAttemptEnd(e event) {
	r := e.Request
	if e.HoldsSlot {
		s.busySlots[e.Server]--
		s.result.Ranks[r.Rank].SlotTime += s.countedTime(e).Seconds()
	}
	requeued := s.nodes[e.Node].finish(s.now, r, e.Server, e.Evidence, s.now.Sub(e.Started))
	if !requeued && r.Counted && e.Evidence == fleet.Succeeded {
		s.result.Ranks[r.Rank].Answered++
		s.result.Ranks[r.Rank].Goodput += r.SlotTime.Seconds()
	}
	s.dispatch(e.Node)
}

// countedTime returns how long the attempt overlaps the measurement interval.
func (s *dispatchRun) countedTime(e event) time.Duration {
	from, to := epoch.Add(s.Warmup), epoch.Add(s.Warmup+s.Duration)
	if e.Started.After(from) {
		from = e.Started
	}
	if e.At.Before(to) {
		to = e.At
	}
	return max(to.Sub(from), 0)
}

func (s *dispatchRun) summary() DispatchResult {
	capacity := s.Duration.Seconds() * float64(s.Deployment.Servers*s.Deployment.Slots)
	for r := range s.result.Ranks {
		s.result.Ranks[r].Goodput /= capacity
		s.result.Ranks[r].SlotTime /= capacity
	}
	first := float64(max(s.firstAttempts, 1))
	s.result.Amplification = float64(s.result.Attempts) / first
	s.result.AmplificationWithoutBurst = (float64(s.result.Attempts) - retry.DefaultMaxBalance*float64(len(s.nodes))) / first
	s.result.ShedFraction = float64(s.shedAttempts) / float64(max(s.result.Attempts, 1))
	return s.result
}

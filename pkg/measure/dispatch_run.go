package measure

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"egretline.example/egretline/pkg/decide/retry"
	"egretline.example/egretline/pkg/fleet"
)

// epoch is the start of every trial.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	// shedTime and errorTime are what a backend server takes for an explicit refusal and for an error.
	shedTime  = time.Millisecond
	errorTime = 5 * time.Millisecond
)

// event is an arrival of a rank, or the end of an attempt.
type event struct {
	At       time.Time
	Order    int
	Rank     int
	Request  *request
	Node     int
	Server   int
	Evidence fleet.Evidence
	Started  time.Time
	// Slot says that the attempt holds a slot of the backend server.
	Slot bool
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	if !e[i].At.Equal(e[j].At) {
		return e[i].At.Before(e[j].At)
	}
	return e[i].Order < e[j].Order
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// run is the state of a trial.
type run struct {
	DispatchTrial
	random *rand.Rand
	now    time.Time
	nodes  []dispatcher
	// busy is the number of slots in use at each backend server.
	busy   []int
	events events
	serial int
	result DispatchResult
	first  int
	sheds  int
}

func (s *run) run() DispatchResult {
	s.busy = make([]int, s.Deployment.Servers)
	for r, l := range s.Deployment.Ranks {
		s.result.Ranks = append(s.result.Ranks, RankResult{Rank: l.Rank, Offered: s.Offered[r]})
		s.arrive(r)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.At
		if e.Request == nil {
			s.arrival(e.Rank)
		} else {
			s.ended(e)
		}
	}
	return s.summary()
}

// arrive schedules the next arrival of the rank, until the end of the counted time.
func (s *run) arrive(rank int) {
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

func (s *run) push(e event) {
	s.serial++
	e.Order = s.serial
	heap.Push(&s.events, e)
}

func (s *run) arrival(rank int) {
	s.arrive(rank)
	l := s.Deployment.Ranks[rank]
	r := &request{
		ID: strconv.Itoa(s.serial), Rank: rank, Arrived: s.now, Deadline: s.now.Add(l.Timeout),
		Needs:   time.Duration(s.random.ExpFloat64() * float64(l.ServiceTime)),
		Counted: !s.now.Before(epoch.Add(s.Warmup)),
	}
	if r.Counted {
		s.result.Ranks[rank].Requests++
	}
	node := s.random.IntN(len(s.nodes))
	s.refuse(s.nodes[node].admit(s.now, r))
	s.dispatch(node)
}

func (s *run) refuse(list []*request) {
	for _, r := range list {
		if r.Counted {
			s.result.Ranks[r.Rank].Refused++
		}
	}
}

// dispatch sends what the node hands out to the backend servers.
func (s *run) dispatch(node int) {
	for {
		r, server, late := s.nodes[node].next(s.now)
		s.refuse(late)
		if server < 0 {
			return
		}
		s.result.Attempts++
		if r.Attempt == 0 {
			s.first++
		}
		s.push(s.attempt(r, node, server))
	}
}

// attempt returns the end of an attempt at a backend server. An attempt ends at the deadline at the latest, and the
// server then stops working on it.
func (s *run) attempt(r *request, node, server int) event {
	e := event{Request: r, Node: node, Server: server, Started: s.now, Evidence: fleet.Succeeded}
	switch {
	case s.busy[server] >= s.Deployment.Slots:
		e.Evidence, e.At = fleet.Shed, s.now.Add(shedTime)
		s.sheds++
		return e
	case server < s.Faults.Stalled:
		e.Evidence, e.At = fleet.Failed, r.Deadline
	case s.random.Float64() < s.Faults.ErrorRate:
		e.Evidence, e.At = fleet.Failed, s.now.Add(errorTime)
	default:
		e.At = s.now.Add(r.Needs)
	}
	if e.At.After(r.Deadline) {
		e.Evidence, e.At = fleet.Failed, r.Deadline
	}
	e.Slot = true
	s.busy[server]++
	return e
}

func (s *run) ended(e event) {
	r := e.Request
	if e.Slot {
		s.busy[e.Server]--
		s.result.Ranks[r.Rank].SlotTime += s.counted(e).Seconds()
	}
	waits := s.nodes[e.Node].finish(s.now, r, e.Server, e.Evidence, s.now.Sub(e.Started))
	if !waits && r.Counted && e.Evidence == fleet.Succeeded {
		s.result.Ranks[r.Rank].Answered++
		s.result.Ranks[r.Rank].Goodput += r.Needs.Seconds()
	}
	s.dispatch(e.Node)
}

// counted returns the part of the attempt that lies in the counted time.
func (s *run) counted(e event) time.Duration {
	from, to := epoch.Add(s.Warmup), epoch.Add(s.Warmup+s.Duration)
	if e.Started.After(from) {
		from = e.Started
	}
	if e.At.Before(to) {
		to = e.At
	}
	return max(to.Sub(from), 0)
}

func (s *run) summary() DispatchResult {
	capacity := s.Duration.Seconds() * float64(s.Deployment.Servers*s.Deployment.Slots)
	for r := range s.result.Ranks {
		s.result.Ranks[r].Goodput /= capacity
		s.result.Ranks[r].SlotTime /= capacity
	}
	first := float64(max(s.first, 1))
	s.result.Amplification = float64(s.result.Attempts) / first
	s.result.Saved = (float64(s.result.Attempts) - retry.DefaultMaxBalance*float64(len(s.nodes))) / first
	s.result.Sheds = float64(s.sheds) / float64(max(s.result.Attempts, 1))
	return s.result
}

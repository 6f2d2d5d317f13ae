package measure

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"egretline.example/egretline/pkg/decide/admission"
)

// surgeKind describes requests of one route in a played load. Weight is their fraction of all requests.
type surgeKind struct {
	Name                string
	Work                time.Duration
	Objective, Deadline time.Duration
	Weight              float64
}

// surge is a time during which demand is a multiple of the capacity.
type surge struct {
	From, Until time.Duration
	Demand      float64
}

// playedLoad is a load on the slots of one service at one node, in virtual time. Outside of its surge, demand is calm.
type playedLoad struct {
	Kinds []surgeKind
	Calm  float64
	Surge surge
	Until time.Duration
}

const (
	playedSlots   = 60
	playedTenants = 20
	// failedFirst is the fraction of first attempts that fail at once and are repeated.
	failedFirst = 0.1
)

// played is one request of a load and, once it has ended, its outcome.
type played struct {
	Kind    int
	Tenant  int
	Work    time.Duration
	Fails   bool
	Arrived time.Time
	Ended   time.Time
	Served  bool
}

// scheduler is a way to order and refuse requests.
type scheduler interface {
	// offer queues the item, or reports that it is refused.
	offer(i admission.Item[*played], now time.Time) bool
	// next returns the item to run, if any, and those that are turned out.
	next(now time.Time) (i admission.Item[*played], found bool, out []admission.Item[*played])
	// requeue queues an item whose attempt failed.
	requeue(i admission.Item[*played])
	// done tells that an item has held a slot for the time.
	done(i admission.Item[*played], took time.Duration, failed bool)
}

// queueScheduler plays the load on a Queue, with or without the latency objectives of the requests.
type queueScheduler struct {
	Queue        *admission.Queue[*played]
	NoObjectives bool
	swept        time.Time
}

func (s *queueScheduler) offer(i admission.Item[*played], now time.Time) bool {
	if s.NoObjectives {
		i.Objective = time.Time{}
	}
	displaced, err := admission.Offer(s.Queue, i, now)
	for _, d := range displaced {
		d.Payload.Ended = now
	}
	return err == nil
}

func (s *queueScheduler) next(now time.Time) (admission.Item[*played], bool, []admission.Item[*played]) {
	n := admission.Next(s.Queue, now, nil)
	if now.Sub(s.swept) > 200*time.Millisecond {
		s.swept = now
		for _, t := range admission.TurnOut(s.Queue, now) {
			n.Late = append(n.Late, t.Item)
		}
	}
	return n.Item, n.Found, n.Late
}

func (s *queueScheduler) requeue(i admission.Item[*played]) { admission.Push(s.Queue, i) }

func (s *queueScheduler) done(i admission.Item[*played], took time.Duration, failed bool) {
	admission.ReleaseSlot(s.Queue, i.Rank, took)
	admission.ObserveKind(s.Queue, i.Kind, took, !failed)
}

// listScheduler serves the waiting request with the lowest key, the tenants in turn. It refuses on arrival what the
// backlog would make miss its deadline, as Offer does without objectives.
type listScheduler struct {
	// Key orders the requests. standing reports whether requests have been waiting for admission.StandingAfter.
	Key func(i admission.Item[*played], standing bool, now time.Time) float64
	// DropAfterObjective makes a standing queue drop what misses its objective.
	DropAfterObjective bool
	// Lanes makes requests that will miss their objective go last, by deadline.
	Lanes       bool
	waiting     []admission.Item[*played]
	times       [8]admission.ServiceTime
	turn        [playedTenants]int
	turns, held int
	emptyAt     time.Time
}

func (s *listScheduler) required(i admission.Item[*played]) time.Duration {
	return s.times[i.Payload.Kind].RequiredTime(2)
}

func (s *listScheduler) offer(i admission.Item[*played], now time.Time) bool {
	var work time.Duration
	for _, w := range s.waiting {
		work += s.times[w.Payload.Kind].Mean
	}
	if s.held == playedSlots && work/playedSlots+s.required(i) > i.Deadline.Sub(now) {
		return false
	}
	s.waiting = append(s.waiting, i)
	return true
}

func (s *listScheduler) next(now time.Time) (i admission.Item[*played], found bool, out []admission.Item[*played]) {
	standing := now.Sub(s.emptyAt) >= admission.StandingAfter
	kept := s.waiting[:0]
	for _, w := range s.waiting {
		left := w.Deadline.Sub(now)
		if s.DropAfterObjective && standing && w.Attempt == 0 {
			left = w.Objective.Sub(now)
		}
		if left < s.required(w) {
			out = append(out, w)
		} else {
			kept = append(kept, w)
		}
	}
	s.waiting = kept
	if len(kept) == 0 {
		s.emptyAt = now
		return i, false, out
	}
	best := slices.MinFunc(kept, func(a, b admission.Item[*played]) int {
		lateA, lateB := s.late(a, now), s.late(b, now)
		byKey := cmp.Compare(s.Key(a, standing, now), s.Key(b, standing, now))
		if lateA && lateB {
			byKey = a.Deadline.Compare(b.Deadline)
		}
		return cmp.Or(-cmp.Compare(a.Attempt, b.Attempt), compareBool(lateA, lateB),
			cmp.Compare(s.turn[a.Payload.Tenant], s.turn[b.Payload.Tenant]), byKey)
	})
	s.turns++
	s.turn[best.Payload.Tenant] = s.turns
	s.held++
	s.waiting = slices.DeleteFunc(kept, func(w admission.Item[*played]) bool { return w.Payload == best.Payload })
	return best, true, out
}

func (s *listScheduler) late(i admission.Item[*played], now time.Time) bool {
	return s.Lanes && i.Objective.Sub(now) < s.required(i)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func (s *listScheduler) requeue(i admission.Item[*played]) { s.waiting = append(s.waiting, i) }

func (s *listScheduler) done(i admission.Item[*played], took time.Duration, failed bool) {
	s.held--
	if !failed {
		s.times[i.Payload.Kind].Observe(took)
	}
}

type runningHeap []runningPlayed

type runningPlayed struct {
	admission.Item[*played]
	Until  time.Time
	Took   time.Duration
	Failed bool
}

func (h runningHeap) Len() int           { return len(h) }
func (h runningHeap) Less(i, j int) bool { return h[i].Until.Before(h[j].Until) }
func (h runningHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *runningHeap) Push(x any)        { *h = append(*h, x.(runningPlayed)) }

func (h *runningHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// arrivals returns the requests of the load in order of arrival. Some tenants send far more than others.
func (l playedLoad) arrivals() []*played {
	random := rand.New(rand.NewPCG(7, 0))
	var meanWork float64
	for _, k := range l.Kinds {
		meanWork += k.Weight * k.Work.Seconds()
	}
	var list []*played
	for at := time.Duration(0); at < l.Until; {
		demand := l.Calm
		if at >= l.Surge.From && at < l.Surge.Until {
			demand = l.Surge.Demand
		}
		at += time.Duration(random.ExpFloat64() * meanWork / (demand * playedSlots) * float64(time.Second))
		p := &played{
			Tenant: int(playedTenants * math.Pow(random.Float64(), 3)), Arrived: epoch.Add(at), Fails: random.Float64() < failedFirst,
		}
		for x := random.Float64(); p.Kind < len(l.Kinds)-1 && x > l.Kinds[p.Kind].Weight; p.Kind++ {
			x -= l.Kinds[p.Kind].Weight
		}
		p.Work = time.Duration((0.5 + 0.5*random.ExpFloat64()) * float64(l.Kinds[p.Kind].Work))
		list = append(list, p)
	}
	return list
}

// play runs the load and returns its requests.
func (l playedLoad) play(s scheduler) []*played {
	list := l.arrivals()
	var running runningHeap
	dispatch := func(now time.Time) {
		for len(running) < playedSlots {
			i, found, out := s.next(now)
			for _, o := range out {
				o.Payload.Ended = now
			}
			if !found {
				return
			}
			took, failed := i.Payload.Work, i.Payload.Fails && i.Attempt == 0
			if failed {
				took = 20 * time.Millisecond
			}
			heap.Push(&running, runningPlayed{Item: i, Until: now.Add(took), Took: took, Failed: failed})
		}
	}
	for next := 0; next < len(list) || len(running) > 0; {
		if next < len(list) && (len(running) == 0 || list[next].Arrived.Before(running[0].Until)) {
			p, k := list[next], l.Kinds[list[next].Kind]
			next++
			i := admission.Item[*played]{
				ID: strconv.Itoa(next), Tenant: strconv.Itoa(p.Tenant), Kind: k.Name, Arrived: p.Arrived,
				Objective: p.Arrived.Add(k.Objective), Deadline: p.Arrived.Add(k.Deadline), Payload: p,
			}
			if !s.offer(i, p.Arrived) {
				p.Ended = p.Arrived
			}
			dispatch(p.Arrived)
			continue
		}
		r := heap.Pop(&running).(runningPlayed)
		s.done(r.Item, r.Took, r.Failed)
		if r.Failed {
			r.Attempt++
			s.requeue(r.Item)
		} else {
			r.Payload.Ended, r.Payload.Served = r.Until, !r.Until.After(r.Deadline)
		}
		dispatch(r.Until)
	}
	return list
}

// measured holds what callers got from a played load, as fractions of the requests. A late answer counts as a tenth.
type measured struct {
	InTime, Served, Worst2s, WorstKind, WorstTenth float64
	// LongestHold is the longest wait of a request that was not served, and MeanHold their mean.
	LongestHold, MeanHold time.Duration
}

func (l playedLoad) measure(list []*played) measured {
	var m measured
	byWindow, byKind, byTenant := map[int][]float64{}, map[int][]float64{}, map[int][]float64{}
	unserved := 0
	for _, p := range list {
		value := 0.0
		switch {
		case !p.Served:
			unserved++
			m.LongestHold = max(m.LongestHold, p.Ended.Sub(p.Arrived))
			m.MeanHold += p.Ended.Sub(p.Arrived)
		case p.Ended.Sub(p.Arrived) <= l.Kinds[p.Kind].Objective:
			value = 1
			m.InTime++
		default:
			value = 0.1
		}
		window := int(p.Arrived.Sub(epoch) / (2 * time.Second))
		byWindow[window] = append(byWindow[window], value)
		byKind[p.Kind] = append(byKind[p.Kind], value)
		byTenant[p.Tenant] = append(byTenant[p.Tenant], value)
	}
	n := float64(len(list))
	m.InTime /= n
	m.Served = 1 - float64(unserved)/n
	m.MeanHold /= time.Duration(max(unserved, 1))
	m.Worst2s, m.WorstKind = means(byWindow)[0], means(byKind)[0]
	tenants := means(byTenant)
	m.WorstTenth = (tenants[0] + tenants[1]) / 2
	return m
}

// means returns the means of the groups in ascending order.
func means(groups map[int][]float64) []float64 {
	var list []float64
	for _, values := range groups {
		sum := 0.0
		for _, v := range values {
			sum += v
		}
		list = append(list, sum/float64(len(values)))
	}
	slices.Sort(list)
	return list
}

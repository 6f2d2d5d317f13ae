package measure

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"egretline.example/egretline/pkg/decide/admission"
)

// FragmentationTrial describes dispatchers that see only their own outstanding requests and share a pool of servers. Each
// server has a FIFO queue. The simulation repeats the calculation behind service groups (section 5.1 of the design page).
type FragmentationTrial struct {
	Dispatchers int
	Servers     int
	Slots       int
	// Load is the offered slot time as a fraction of the capacity.
	Load     float64
	Requests int
	Seed     uint64
}

// FragmentationResult is the outcome of a FragmentationTrial.
type FragmentationResult struct {
	// FullServerFraction is the fraction of requests sent to a server whose slots are all busy.
	FullServerFraction float64
	// P99WaitServiceTimes is the 99th percentile of the wait for a slot, in units of the mean service time.
	P99WaitServiceTimes float64
}

// RunFragmentation simulates the trial with admission.Choose as the choice of servers.
func RunFragmentation(t FragmentationTrial) FragmentationResult {
	const meanServiceTime = time.Second
	random := rand.New(rand.NewPCG(t.Seed, 0))
	dispatchers := make([][]admission.Server, t.Dispatchers)
	for n := range dispatchers {
		d := Deployment{Servers: t.Servers, Slots: t.Requests}
		dispatchers[n] = newServers(d, 1)
	}
	// free holds the time at which each slot of each server becomes free.
	free := make([][]time.Time, t.Servers)
	for n := range free {
		free[n] = make([]time.Time, t.Slots)
	}
	var ends eventHeap
	var waits []time.Duration
	full, now := 0, epoch
	rate := t.Load * float64(t.Servers*t.Slots) / meanServiceTime.Seconds()
	for n := range t.Requests {
		now = now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		for len(ends) > 0 && !ends[0].At.After(now) {
			e := heap.Pop(&ends).(event)
			dispatchers[e.Node][e.Server].Outstanding--
		}
		node := random.IntN(t.Dispatchers)
		server := admission.Choose(dispatchers[node], strconv.Itoa(n), nil)
		dispatchers[node][server].Outstanding++
		slot := earliestFreeSlot(free[server])
		start := now
		if slot.After(now) {
			full++
			start = *slot
		}
		*slot = start.Add(time.Duration(random.ExpFloat64() * float64(meanServiceTime)))
		waits = append(waits, start.Sub(now))
		heap.Push(&ends, event{At: *slot, Sequence: n, Node: node, Server: server})
	}
	slices.Sort(waits)
	return FragmentationResult{
		FullServerFraction:  float64(full) / float64(t.Requests),
		P99WaitServiceTimes: waits[len(waits)*99/100].Seconds() / meanServiceTime.Seconds(),
	}
}

func earliestFreeSlot(slots []time.Time) *time.Time {
	first := &slots[0]
	for n := range slots {
		if slots[n].Before(*first) {
			first = &slots[n]
		}
	}
	return first
}

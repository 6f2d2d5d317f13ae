package measure

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"egretline.example/egretline/pkg/decide/admission"
)

// FragmentTrial describes dispatchers that know only their own outstanding requests and share a pool of servers, each
// with a queue in order of arrival. It repeats the calculation behind service groups (section 5.1 of the design page).
type FragmentTrial struct {
	Dispatchers int
	Servers     int
	Slots       int
	// Load is the offered slot time as a fraction of the capacity.
	Load     float64
	Requests int
	Seed     uint64
}

// Fragmentation is the result of a FragmentTrial.
type Fragmentation struct {
	// Full is the fraction of requests that arrive at a server whose slots are all busy.
	Full float64
	// P99Wait is the 99th percentile of the wait in units of the mean service time.
	P99Wait float64
}

// Fragment runs the trial with the project's choice of servers.
func Fragment(t FragmentTrial) Fragmentation {
	const mean = time.Second
	random := rand.New(rand.NewPCG(t.Seed, 0))
	dispatchers := make([][]admission.Server, t.Dispatchers)
	for n := range dispatchers {
		d := Deployment{Servers: t.Servers, Slots: t.Requests}
		dispatchers[n] = newServers(d, 1)
	}
	// free holds the time from which each slot of each server is free.
	free := make([][]time.Time, t.Servers)
	for n := range free {
		free[n] = make([]time.Time, t.Slots)
	}
	var ends events
	var waits []time.Duration
	full, now := 0, epoch
	rate := t.Load * float64(t.Servers*t.Slots) / mean.Seconds()
	for n := range t.Requests {
		now = now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		for len(ends) > 0 && !ends[0].At.After(now) {
			e := heap.Pop(&ends).(event)
			dispatchers[e.Node][e.Server].Outstanding--
		}
		node := random.IntN(t.Dispatchers)
		server := admission.Choose(dispatchers[node], strconv.Itoa(n), nil)
		dispatchers[node][server].Outstanding++
		slot := earliest(free[server])
		start := now
		if slot.After(now) {
			full++
			start = *slot
		}
		*slot = start.Add(time.Duration(random.ExpFloat64() * float64(mean)))
		waits = append(waits, start.Sub(now))
		heap.Push(&ends, event{At: *slot, Order: n, Node: node, Server: server})
	}
	slices.Sort(waits)
	return Fragmentation{
		Full:    float64(full) / float64(t.Requests),
		P99Wait: waits[len(waits)*99/100].Seconds() / mean.Seconds(),
	}
}

func earliest(slots []time.Time) *time.Time {
	first := &slots[0]
	for n := range slots {
		if slots[n].Before(*first) {
			first = &slots[n]
		}
	}
	return first
}

package soak

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// drainBound is the time after which a server that is leaving gets no new request. While the store or a node is
	// disturbed the bound does not hold; the soak allows for the longest disturbance.
	drainBound = 2*time.Second + 3*time.Second + 3*time.Second
	// retryRatio, retryBurst and retryWindow are the budget of a service.
	retryRatio  = 0.2
	retryBurst  = 62
	retryWindow = 10 * time.Second
)

// check returns the promises that were broken, from what callers and backend servers saw.
func (w *world) check() []string {
	broken := append([]string(nil), w.calls.broken...)
	add := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	runs := map[string]int{}
	for _, a := range w.journal.Arrivals() {
		if a.Executed {
			runs[a.ID]++
		}
	}
	for _, c := range w.calls.all() {
		switch {
		case c.Status == http.StatusOK && !c.Whole:
			add("own-response: %s got a success that is not its own", c.ID)
		case !c.Safe && runs[c.ID] > 1:
			add("at-most-once: %s ran %d times", c.ID, runs[c.ID])
		case !c.Safe && c.Status == http.StatusServiceUnavailable && runs[c.ID] > 0:
			add("not-run: %s was refused and ran", c.ID)
		case c.Status == http.StatusNotFound:
			add("configuration: %s got 404 on a route of every version", c.ID)
		case c.Status == 0 && w.planned(c):
			add("graceful-stop: %s was cut by %s after %s", c.ID, c.Node, c.Done.Sub(c.Sent))
		}
	}
	w.checkDrain(add)
	w.checkBudget(add)
	return broken
}

// planned says that the call went to a node that was asked to stop and not disturbed otherwise, early enough to be
// answered within the grace period. A call of a node that could not be connected is not cut.
func (w *world) planned(c call) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		if n.front != c.Node {
			continue
		}
		for _, l := range n.lives {
			within := !l.termed.IsZero() && c.Sent.Before(l.termed.Add(2*time.Second)) && c.Done.After(l.termed)
			if within && !l.killed && c.Done.Sub(c.Sent) < deadline-100*time.Millisecond && c.Done.Sub(c.Sent) > 200*time.Millisecond {
				return true
			}
		}
	}
	return false
}

func (w *world) checkDrain(add func(string, ...any)) {
	left := map[string]time.Time{}
	w.mu.Lock()
	for _, b := range w.backends {
		if !b.left.IsZero() {
			left[b.ID] = b.left
		}
	}
	w.mu.Unlock()
	for _, a := range w.journal.Arrivals() {
		if l, leaving := left[a.Server]; leaving && a.At.After(l.Add(drainBound)) {
			add("leaving: %s reached %s %s after it left", a.ID, a.Server, a.At.Sub(l))
		}
	}
}

func (w *world) checkBudget(add func(string, ...any)) {
	type count struct{ first, again int }
	windows := map[string]map[int64]*count{}
	seen := map[string]bool{}
	for _, a := range w.journal.Arrivals() {
		if windows[a.Service] == nil {
			windows[a.Service] = map[int64]*count{}
		}
		k := a.At.UnixNano() / int64(retryWindow)
		if windows[a.Service][k] == nil {
			windows[a.Service][k] = &count{}
		}
		if seen[a.ID] {
			windows[a.Service][k].again++
		} else {
			windows[a.Service][k].first++
		}
		seen[a.ID] = true
	}
	for service, list := range windows {
		for _, c := range list {
			if float64(c.again) > retryRatio*float64(c.first)+retryBurst {
				add("retry-budget: %s got %d further arrivals for %d requests in a window", service, c.again, c.first)
			}
		}
	}
}

// served returns the part of the calls since the time that were answered with success.
func (w *world) served(since time.Time) float64 {
	all, ok := 0, 0
	for _, c := range w.calls.all() {
		if c.Sent.Before(since) {
			continue
		}
		all++
		if c.Status == http.StatusOK {
			ok++
		}
	}
	return float64(ok) / float64(max(all, 1))
}

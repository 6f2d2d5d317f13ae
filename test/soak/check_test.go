package soak

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// drainTimeout is the time after which a leaving server must get no new request: 2 s in normal operation. The limit
	// does not apply while the store or a node has a fault, so the longest faults are added to it.
	drainTimeout = 2*time.Second + 3*time.Second + 3*time.Second
	// retryBudgetRatio and retryBudgetBurst bound the retries of a service in each retryBudgetWindow: retryBudgetRatio
	// retries per request plus retryBudgetBurst.
	retryBudgetRatio  = 0.2
	retryBudgetBurst  = 62
	retryBudgetWindow = 10 * time.Second
)

// violations returns the violated guarantees, judged by the records of callers and backend servers.
func (h *harness) violations() []string {
	violated := append([]string(nil), h.calls.violations...)
	add := func(format string, args ...any) { violated = append(violated, fmt.Sprintf(format, args...)) }
	executions := map[string]int{}
	for _, a := range h.journal.Arrivals() {
		if a.Executed {
			executions[a.ID]++
		}
	}
	for _, c := range h.calls.snapshot() {
		switch {
		case c.Status == http.StatusOK && !c.ResponseMatches:
			add("own-response: %s got status 200 with a response that does not match the request", c.ID)
		case !c.Idempotent && executions[c.ID] > 1:
			add("at-most-once: %s was executed %d times", c.ID, executions[c.ID])
		case !c.Idempotent && c.Status == http.StatusServiceUnavailable && executions[c.ID] > 0:
			add("not-run: %s got status 503 and was executed", c.ID)
		case c.Status == http.StatusNotFound:
			add("configuration: %s got status 404 on a route that every version contains", c.ID)
		case c.Status == 0 && h.cutByGracefulStop(c):
			add("graceful-stop: the connection of %s to %s ended without a response after %s",
				c.ID, c.NodeAddress, c.DoneAt.Sub(c.SentAt))
		}
	}
	h.checkDrain(add)
	h.checkRetryBudget(add)
	return violated
}

// cutByGracefulStop reports whether a graceful stop cut the call: its node got SIGTERM before the call ended and at most
// 2 s before it was sent, which leaves time to respond within the grace period, and had no other fault. Calls that ended
// within 200 ms are taken for refused connections, calls that took almost requestTimeout for timeouts of the caller.
func (h *harness) cutByGracefulStop(c call) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, n := range h.nodes {
		if n.callerAddress != c.NodeAddress {
			continue
		}
		for _, r := range n.runs {
			duringStop := !r.sigtermAt.IsZero() && c.SentAt.Before(r.sigtermAt.Add(2*time.Second)) && c.DoneAt.After(r.sigtermAt)
			if duringStop && !r.disrupted && c.DoneAt.Sub(c.SentAt) < requestTimeout-100*time.Millisecond &&
				c.DoneAt.Sub(c.SentAt) > 200*time.Millisecond {
				return true
			}
		}
	}
	return false
}

func (h *harness) checkDrain(add func(string, ...any)) {
	leftAt := map[string]time.Time{}
	h.mu.Lock()
	for _, b := range h.backends {
		if !b.leftAt.IsZero() {
			leftAt[b.ID] = b.leftAt
		}
	}
	h.mu.Unlock()
	for _, a := range h.journal.Arrivals() {
		if at, left := leftAt[a.Server]; left && a.At.After(at.Add(drainTimeout)) {
			add("leaving: %s reached %s %s after the server announced that it was leaving", a.ID, a.Server, a.At.Sub(at))
		}
	}
}

func (h *harness) checkRetryBudget(add func(string, ...any)) {
	type count struct{ requests, retries int }
	windows := map[string]map[int64]*count{}
	seen := map[string]bool{}
	for _, a := range h.journal.Arrivals() {
		if windows[a.Service] == nil {
			windows[a.Service] = map[int64]*count{}
		}
		k := a.At.UnixNano() / int64(retryBudgetWindow)
		if windows[a.Service][k] == nil {
			windows[a.Service][k] = &count{}
		}
		if seen[a.ID] {
			windows[a.Service][k].retries++
		} else {
			windows[a.Service][k].requests++
		}
		seen[a.ID] = true
	}
	for service, counts := range windows {
		for _, c := range counts {
			if float64(c.retries) > retryBudgetRatio*float64(c.requests)+retryBudgetBurst {
				add("retry-budget: %s got %d retries for %d requests in one window", service, c.retries, c.requests)
			}
		}
	}
}

// successFraction returns the fraction of the calls sent since the time that got status 200.
func (h *harness) successFraction(since time.Time) float64 {
	total, succeeded := 0, 0
	for _, c := range h.calls.snapshot() {
		if c.SentAt.Before(since) {
			continue
		}
		total++
		if c.Status == http.StatusOK {
			succeeded++
		}
	}
	return float64(succeeded) / float64(max(total, 1))
}

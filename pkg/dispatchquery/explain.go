package dispatchquery

import (
	"fmt"
	"math"
	"slices"
	"time"

	"egretline.example/egretline/pkg/decide/retry"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/healthquery"
)

// RouteError reports a route that is not in the configuration.
type RouteError struct {
	Route string
}

func (e RouteError) Error() string {
	return fmt.Sprintf("the configuration has no route %q", e.Route)
}

// Explanation describes in full English sentences how this node currently dispatches a request of one route.
type Explanation struct {
	Route   string
	Service string
	Rank    string
	// Sentences describe the rank, the queue and the retry policy.
	Sentences []string
	Servers   []ServerExplanation
}

// ServerExplanation describes why one backend server is or is not eligible.
type ServerExplanation struct {
	Address  string
	Eligible bool
	Sentence string
}

// Explain returns how a request of the route would be dispatched. It returns RouteError if the route does not exist.
func (q *Queries) Explain(now time.Time, route string) (Explanation, error) {
	c := q.configuration()
	if c == nil {
		return Explanation{}, RouteError{Route: route}
	}
	n := slices.IndexFunc(c.Routes, func(r fleet.Route) bool { return r.Name == route })
	if n < 0 {
		return Explanation{}, RouteError{Route: route}
	}
	r := c.Routes[n]
	return Explanation{
		Route: r.Name, Service: r.Service, Rank: r.Rank,
		Sentences: slices.Concat(rankSentences(c, r), q.queueSentences(now, c, r), q.retrySentences(r)),
		Servers:   q.explainServers(now, r.Service),
	}, nil
}

func rankSentences(c *fleet.Configuration, r fleet.Route) []string {
	n := rankIndex(c, r)
	if n < 0 {
		return []string{fmt.Sprintf("The rank %s is not in the configuration, so that the request counts as most urgent.", r.Rank)}
	}
	rank := c.Ranks[n]
	out := []string{
		fmt.Sprintf("The route %s uses the service %s in rank %s, which is number %d of %d in urgency.",
			r.Name, r.Service, r.Rank, n+1, len(c.Ranks)),
		fmt.Sprintf("While work of this rank waits, it gets at least %d percent of the working time of the servers.",
			percent(rank.Share)),
	}
	if rank.SlotLimit > 0 && rank.SlotLimit < 1 {
		out = append(out, fmt.Sprintf("It may use at most %d percent of the places at the servers at the same time.",
			percent(rank.SlotLimit)))
	}
	return out
}

func (q *Queries) queueSentences(now time.Time, c *fleet.Configuration, r fleet.Route) []string {
	n := max(rankIndex(c, r), 0)
	for _, d := range q.QueueDepths(now) {
		if d.Service != r.Service || d.Rank != n {
			continue
		}
		out := []string{fmt.Sprintf("At this node, %d requests of this rank are running and %d are waiting.", d.HeldSlots, d.Waiting)}
		if d.ExpectedWait > 0 {
			return append(out, fmt.Sprintf("A new request would wait about %.1f seconds, and is refused if that is too long for it.",
				d.ExpectedWait.Seconds()))
		}
		return append(out, "A new request would not have to wait.")
	}
	return []string{"This node has had no request of this rank for the service yet."}
}

func (q *Queries) retrySentences(r fleet.Route) []string {
	balance, found := q.RetryBalance(r.Service)
	if !found {
		balance = retry.DefaultMaxBalance
	}
	policy := "A failed request is sent to another server, because it can safely run twice."
	if !r.Idempotent {
		policy = "A failed request is sent to another server only if it is certain that it has not run."
	}
	return []string{policy, fmt.Sprintf("The service has %d retries left at this node.", int(balance))}
}

func (q *Queries) explainServers(now time.Time, service string) []ServerExplanation {
	reasons := map[string]string{}
	health := healthquery.Queries{Tables: q.Tables}
	for _, s := range health.Servers(now) {
		if s.Service == service {
			reasons[s.Address] = s.Reason
		}
	}
	var out []ServerExplanation
	for _, s := range q.Servers(service, now) {
		out = append(out, explainServer(s, reasons[s.Address]))
	}
	return out
}

func explainServer(s ServerLoad, health string) ServerExplanation {
	e := ServerExplanation{Address: s.Address, Sentence: health}
	if s.Use == healthquery.NoUse {
		return e
	}
	switch {
	case s.Limit == 0:
		e.Eligible = true
	case s.Outstanding < s.Limit:
		e.Eligible = true
		e.Sentence += fmt.Sprintf(" It has %d of at most %d requests of this node.", s.Outstanding, s.Limit)
	default:
		e.Sentence += fmt.Sprintf(" It gets no more now, because it has all %d requests that this node may send at once.", s.Limit)
	}
	return e
}

func rankIndex(c *fleet.Configuration, r fleet.Route) int {
	return slices.IndexFunc(c.Ranks, func(k fleet.Rank) bool { return k.Name == r.Rank })
}

func percent(f float64) int {
	return int(math.Round(100 * f))
}

// Package split distributes the requests of a route over several services in exact proportion to their weights.
package split

import "egretline.example/egretline/pkg/fleet"

// State is the account of one route at one node: the credit of each service. The zero value is a new account.
type State struct {
	Credit map[string]int
}

// Next returns the service of the next request, by smooth weighted round robin: after as many requests as the sum of the
// weights, each service got as many as its weight. Services with a weight of zero or less get none. It returns an empty
// name if no service has a weight.
func Next(s *State, parts []fleet.WeightedService) string {
	if s.Credit == nil {
		s.Credit = map[string]int{}
	}
	total, best := 0, ""
	for _, p := range parts {
		if p.Weight <= 0 {
			continue
		}
		total += p.Weight
		s.Credit[p.Service] += p.Weight
		if best == "" || s.Credit[p.Service] > s.Credit[best] {
			best = p.Service
		}
	}
	if best != "" {
		s.Credit[best] -= total
	}
	return best
}

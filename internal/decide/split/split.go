// Package split distributes the requests of a route over several services in exact proportion to their weights.
package split

import "egretline.example/egretline/pkg/fleet"

// State holds the round-robin credit of each service of one route at one node. The zero value is ready to use.
type State struct {
	Credit map[string]int
}

// Next returns the service of the next request by smooth weighted round robin. In each round of as many requests as the
// sum of the weights, every service gets as many requests as its weight. Services with a weight of zero or less get
// none. It returns an empty name if no service has a positive weight.
func Next(s *State, services []fleet.WeightedService) string {
	if s.Credit == nil {
		s.Credit = map[string]int{}
	}
	total, chosen := 0, ""
	for _, w := range services {
		if w.Weight <= 0 {
			continue
		}
		total += w.Weight
		s.Credit[w.Service] += w.Weight
		if chosen == "" || s.Credit[w.Service] > s.Credit[chosen] {
			chosen = w.Service
		}
	}
	if chosen != "" {
		s.Credit[chosen] -= total
	}
	return chosen
}

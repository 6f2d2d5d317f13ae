package split

import (
	"testing"

	"pgregory.net/rapid"

	"egretline.example/egretline/pkg/fleet"
)

// Guards against a service whose share of the requests drifts from its weight. The shares are exact in every round.
func TestNext(t *testing.T) {
	t.Run("every service gets as many requests per round as its weight", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			services := []fleet.WeightedService{
				{Service: "a", Weight: rapid.IntRange(0, 50).Draw(t, "a")},
				{Service: "b", Weight: rapid.IntRange(0, 50).Draw(t, "b")},
				{Service: "c", Weight: rapid.IntRange(1, 50).Draw(t, "c")},
			}
			var s State
			got := map[string]int{}
			for range services[0].Weight + services[1].Weight + services[2].Weight {
				got[Next(&s, services)]++
			}
			for _, w := range services {
				if got[w.Service] != w.Weight {
					t.Fatalf("service %s got %d requests, want its weight %d", w.Service, got[w.Service], w.Weight)
				}
			}
		})
	})
	t.Run("no service has a positive weight", func(t *testing.T) {
		if got := Next(&State{}, []fleet.WeightedService{{Service: "a"}}); got != "" {
			t.Errorf("got service %q, want none", got)
		}
	})
}

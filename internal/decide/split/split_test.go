package split

import (
	"testing"

	"pgregory.net/rapid"

	"egretline.example/egretline/pkg/fleet"
)

// Guards against a share that drifts from its weight: the account is exact over each round, not on average.
func TestNext(t *testing.T) {
	t.Run("each round gives each service its weight", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			parts := []fleet.WeightedService{
				{Service: "a", Weight: rapid.IntRange(0, 50).Draw(t, "a")},
				{Service: "b", Weight: rapid.IntRange(0, 50).Draw(t, "b")},
				{Service: "c", Weight: rapid.IntRange(1, 50).Draw(t, "c")},
			}
			var s State
			got := map[string]int{}
			for range parts[0].Weight + parts[1].Weight + parts[2].Weight {
				got[Next(&s, parts)]++
			}
			for _, p := range parts {
				if got[p.Service] != p.Weight {
					t.Fatalf("service %s got %d of its weight %d", p.Service, got[p.Service], p.Weight)
				}
			}
		})
	})
	t.Run("no weights give no service", func(t *testing.T) {
		if got := Next(&State{}, []fleet.WeightedService{{Service: "a"}}); got != "" {
			t.Errorf("got %q", got)
		}
	})
}

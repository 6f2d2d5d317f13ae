package admission

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against limits that grow until several times more requests are outstanding at a server than it has slots.
// Requests queued at the server then hold the workers of the nodes, and requests to idle services wait for a worker.
func TestMaxOutstandingPerNode(t *testing.T) {
	t.Run("the summed limits of the nodes exceed the overcommitted slots by at most one request per node", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			slots, nodes := rapid.IntRange(1, 64).Draw(t, "slots"), rapid.IntRange(1, 32).Draw(t, "nodes")
			total := MaxOutstandingPerNode(slots, nodes, 1) * nodes
			if float64(total) > overcommitFactor*float64(slots)+float64(nodes) || total < min(slots, nodes) {
				t.Fatalf("%d nodes may have %d requests outstanding at %d slots", nodes, total, slots)
			}
		})
	})
	t.Run("an unknown number of nodes allows all slots", func(t *testing.T) {
		is.New(t).Equal(MaxOutstandingPerNode(6, 0, 1), 6)
	})
	// Guards against a node that cannot connect to half of the servers and refuses requests although the other nodes leave
	// slots unused.
	t.Run("a node that reaches few servers may use more of their slots", func(t *testing.T) {
		is := is.New(t)
		is.Equal(MaxOutstandingPerNode(6, 3, 1), 3)
		is.Equal(MaxOutstandingPerNode(6, 3, 0.5), 6)
		is.Equal(MaxOutstandingPerNode(6, 3, 0.1), 6) // never more than all slots
	})
	t.Run("successes do not raise the limit over its ceiling", func(t *testing.T) {
		is := is.New(t)
		l := NewLimit(6, 2)
		l.SetCeiling(2)
		for range 100 {
			l.RaiseAfterSuccess(l.Max(), start)
		}
		is.Equal(l.Max(), 2)
		l.SetCeiling(6)
		for range 100 {
			l.RaiseAfterSuccess(l.Max(), start)
		}
		is.Equal(l.Max(), 6) // the limit grows after another node left
	})
}

package admission

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestShare guards against limits that grow until a server holds several times its slots: its queue then holds the
// workers of the nodes, and requests to idle services wait for a worker.
func TestShare(t *testing.T) {
	t.Run("nodes together exceed the slots by no more than one request each beyond the overcommitment", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			slots, nodes := rapid.IntRange(1, 64).Draw(t, "slots"), rapid.IntRange(1, 32).Draw(t, "nodes")
			total := Share(slots, nodes, 1) * nodes
			if float64(total) > overcommit*float64(slots)+float64(nodes) || total < min(slots, nodes) {
				t.Fatalf("%d nodes have %d requests at %d slots", nodes, total, slots)
			}
		})
	})
	t.Run("an unknown number of nodes leaves all slots", func(t *testing.T) {
		is.New(t).Equal(Share(6, 0, 1), 6)
	})
	// Guards against a node that is cut off from half of the servers and refuses requests while the others leave it room.
	t.Run("a node that reaches few servers may use more of their slots", func(t *testing.T) {
		is := is.New(t)
		is.Equal(Share(6, 3, 1), 3)
		is.Equal(Share(6, 3, 0.5), 6)
		is.Equal(Share(6, 3, 0.1), 6) // never more than all
	})
	t.Run("successes do not raise the limit over its bound", func(t *testing.T) {
		is := is.New(t)
		l := NewLimit(6, 2)
		l.Bound(2)
		for range 100 {
			l.Success(l.Max(), start)
		}
		is.Equal(l.Max(), 2)
		l.Bound(6)
		for range 100 {
			l.Success(l.Max(), start)
		}
		is.Equal(l.Max(), 6) // another node left
	})
}

package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func server(instance, service, address string) Registration {
	return Registration{Instance: instance, Service: service, Address: address, Slots: 6}
}

func newState(list ...Registration) *State {
	s := &State{Entries: map[string]Entry{}}
	for offset, r := range list {
		Set(s, r, int64(offset))
	}
	return s
}

func assertPool(t *testing.T, s *State, service string, instances ...string) {
	t.Helper()
	is := is.New(t)
	pool := Pools(s)[service]
	is.Equal(len(pool), len(instances))
	for i, b := range pool {
		is.Equal(b.Instance, instances[i])
	}
}

func TestPools(t *testing.T) {
	t.Run("a draining server gets no work", func(t *testing.T) {
		s := newState(server("i-1", "desk", "a1"), server("i-2", "desk", "a2"))
		leaving := server("i-1", "desk", "a1")
		leaving.Draining = true
		Set(s, leaving, 9)
		assertPool(t, s, "desk", "i-2")
	})
	// Guards against a request that reaches another service at an address that is used again.
	t.Run("the later entry has the address", func(t *testing.T) {
		s := newState(server("i-1", "desk", "a1"), server("i-2", "view", "a1"))
		assertPool(t, s, "desk")
		assertPool(t, s, "view", "i-2")
		Set(s, server("i-1", "desk", "a1"), 20) // a heartbeat of the one that is gone
		assertPool(t, s, "view", "i-2")
	})
}

func TestRemove(t *testing.T) {
	t.Run("a removal counts at once", func(t *testing.T) {
		s := newState(server("i-1", "desk", "a1"))
		Remove(s, "i-1", time.Time{}, now)
		assertPool(t, s, "desk")
	})
	t.Run("an entry that expired while the log was away is kept until it may be back", func(t *testing.T) {
		s := newState(server("i-1", "desk", "a1"), server("i-2", "desk", "a2"))
		Remove(s, "i-1", now, now)
		Remove(s, "i-2", now, now)
		assertPool(t, s, "desk", "i-1", "i-2")
		Set(s, server("i-1", "desk", "a1"), 9)
		is.New(t).True(Expire(s, now.Add(returnTime)))
		assertPool(t, s, "desk", "i-1")
	})
	t.Run("a removal long after the log came back counts at once", func(t *testing.T) {
		s := newState(server("i-1", "desk", "a1"))
		Remove(s, "i-1", now.Add(-time.Minute), now)
		assertPool(t, s, "desk")
	})
}

package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func registration(instance, service, address string) Registration {
	return Registration{Instance: instance, Service: service, Address: address, Slots: 6}
}

func newState(list ...Registration) *State {
	s := &State{Entries: map[string]Entry{}}
	for offset, r := range list {
		Register(s, r, Position{Offset: int64(offset)})
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
	t.Run("a draining server is not listed", func(t *testing.T) {
		s := newState(registration("i-1", "desk", "a1"), registration("i-2", "desk", "a2"))
		leaving := registration("i-1", "desk", "a1")
		leaving.Draining = true
		Register(s, leaving, Position{Offset: 9})
		assertPool(t, s, "desk", "i-2")
	})
	// Guards against requests that reach the wrong service because its server took over the address of another one.
	t.Run("the later registration takes over the address", func(t *testing.T) {
		s := newState(registration("i-1", "desk", "a1"), registration("i-2", "view", "a1"))
		assertPool(t, s, "desk")
		assertPool(t, s, "view", "i-2")
		Register(s, registration("i-1", "desk", "a1"), Position{Offset: 20}) // a late heartbeat of the earlier instance
		assertPool(t, s, "view", "i-2")
	})
	// Guards against requests to the earlier server for as long as it is listed. The log came back from an older copy and gave
	// out its offsets again, so that the later server has a lower offset.
	t.Run("the registration of a later era takes over the address", func(t *testing.T) {
		s := newState()
		Register(s, registration("i-1", "desk", "a1"), Position{Offset: 90})
		Register(s, registration("i-2", "view", "a1"), Position{Era: 1, Offset: 40})
		assertPool(t, s, "desk")
		assertPool(t, s, "view", "i-2")
	})
}

func TestRemove(t *testing.T) {
	t.Run("a removal takes effect immediately", func(t *testing.T) {
		s := newState(registration("i-1", "desk", "a1"))
		Remove(s, "i-1", time.Time{}, now)
		assertPool(t, s, "desk")
	})
	t.Run("an entry that expired during a log outage is kept until reregistrationTimeout", func(t *testing.T) {
		s := newState(registration("i-1", "desk", "a1"), registration("i-2", "desk", "a2"))
		Remove(s, "i-1", now, now)
		Remove(s, "i-2", now, now)
		assertPool(t, s, "desk", "i-1", "i-2")
		Register(s, registration("i-1", "desk", "a1"), Position{Offset: 9})
		is.New(t).True(RemoveExpired(s, now.Add(reregistrationTimeout)))
		assertPool(t, s, "desk", "i-1")
	})
	t.Run("a removal long after a log outage takes effect immediately", func(t *testing.T) {
		s := newState(registration("i-1", "desk", "a1"))
		Remove(s, "i-1", now.Add(-time.Minute), now)
		assertPool(t, s, "desk")
	})
}

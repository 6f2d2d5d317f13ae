package floor

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/fleet"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against ejections that reduce healthy capacity below the floor, and against ejected servers that stay out of use
// when the pool is below the floor.
func TestApply(t *testing.T) {
	t.Run("ejects the most suspected first and stops at the floor", func(t *testing.T) {
		pool := append(workingServers(), failingServers(detect.Ejected, 20, 30)...)
		c := Apply(pool, Rule{Floor: 3, Settings: settings()}, startTime)
		assertAddresses(t, c.Ejected, "f30", "f20")
		pool = append(workingServers(), failingServers(detect.Ejected, 20, 30)...)
		c = Apply(pool, Rule{Floor: 4, Settings: settings()}, startTime)
		assertAddresses(t, c.Ejected)
		assertAddresses(t, c.KeptByFloor, "f30", "f20")
	})
	t.Run("servers of unknown health do not count", func(t *testing.T) {
		pool := append(unknownServers(), failingServers(detect.Ejected, 20)...)
		assertAddresses(t, Apply(pool, Rule{Floor: 1, Settings: settings()}, startTime).Ejected)
	})
	t.Run("leaving servers do not count", func(t *testing.T) {
		pool := append(workingServers(), failingServers(detect.EjectedInZone, 20)...)
		pool[0].Leaving = true
		assertAddresses(t, Apply(pool, Rule{Floor: 3, Settings: settings()}, startTime).Ejected)
	})
	t.Run("an isolated node ejects nothing", func(t *testing.T) {
		pool := append(workingServers(), failingServers(detect.Ejected, 20)...)
		assertAddresses(t, Apply(pool, Rule{Floor: 1, Settings: settings(), Isolated: true}, startTime).Ejected)
	})
	t.Run("readmits the least suspected server when the pool falls below the floor", func(t *testing.T) {
		pool := append(workingServers(), failingServers(detect.Ejected, 20, 30)...)
		Apply(pool, Rule{Floor: 3, Settings: settings()}, startTime)
		pool[0].Leaving = true
		c := Apply(pool, Rule{Floor: 3, Settings: settings()}, startTime)
		assertAddresses(t, c.Readmitted, "f20")
	})
	t.Run("widening the scope does not start a new hold-down", func(t *testing.T) {
		pool := append(workingServers(), failingServers(detect.EjectedInZone, 20)...)
		Apply(pool, Rule{Floor: 3, Settings: settings()}, startTime)
		pool[3].Suspected = detect.Ejected
		c := Apply(pool, Rule{Floor: 3, Settings: settings()}, startTime.Add(time.Second))
		assertAddresses(t, c.Ejected)
		is := is.New(t)
		is.Equal(pool[3].State.Ejection.Scope, detect.Ejected)
		is.Equal(pool[3].State.Ejection.EjectedAt, startTime)
	})
}

func settings() detect.Settings {
	return detect.SettingsOf(fleet.Service{Preference: fleet.FasterDetection})
}

func workingServers() []Server {
	return servers(3, "w", &detect.State{LastSuccess: startTime})
}

func unknownServers() []Server {
	return servers(5, "u", &detect.State{})
}

func servers(n int, prefix string, s *detect.State) []Server {
	var pool []Server
	for i := range n {
		c := *s
		pool = append(pool, Server{Address: fmt.Sprint(prefix, i), State: &c})
	}
	return pool
}

func failingServers(scope detect.EjectionScope, sums ...float64) []Server {
	var pool []Server
	for _, sum := range sums {
		pool = append(pool, Server{Address: fmt.Sprint("f", sum), State: &detect.State{Sum: sum}, Suspected: scope})
	}
	return pool
}

func assertAddresses(t *testing.T, got []string, want ...string) {
	t.Helper()
	is := is.New(t)
	is.Equal(len(got), len(want))
	for i := range want {
		is.Equal(got[i], want[i])
	}
}

package detect

import (
	"fmt"
	"testing"
	"time"

	"egretline.example/egretline/pkg/fleet"
)

var avoidOnly = SettingsOf(fleet.Service{Preference: fleet.AvoidOnly})

// slow is a pool whose work takes half a second.
var slow = Baseline{Latency: 500 * time.Millisecond}

func observeAt(s *State, e fleet.Evidence, latency time.Duration, at time.Time) {
	Observe(s, Sample{Evidence: e, Latency: latency}, slow, avoidOnly, at)
}

func assertStanding(t *testing.T, s *State, early bool, at time.Time, want Standing) {
	t.Helper()
	if got := StandingOf(s, early, at); got != want {
		t.Errorf("the server is %s, want %s", got, want)
	}
}

func TestAvoidance(t *testing.T) {
	// Guards against servers that fail at once and so attract the work of the others.
	t.Run("one fast failure takes a server out", func(t *testing.T) {
		s := &State{}
		observeAt(s, fleet.Failed, 3*time.Millisecond, start)
		assertStanding(t, s, false, start.Add(fastHold-time.Millisecond), Avoid)
		assertStanding(t, s, false, start.Add(fastHold), Probation)
	})
	// Guards against a pool that is avoided for the failures of single requests.
	t.Run("one failure after the time of the work does not", func(t *testing.T) {
		s := &State{}
		observeAt(s, fleet.Failed, 400*time.Millisecond, start)
		assertStanding(t, s, false, start, Welcome)
		observeAt(s, fleet.Failed, 400*time.Millisecond, start.Add(time.Second))
		assertStanding(t, s, false, start.Add(time.Second), Avoid)
	})
	t.Run("a distressed service tries it early", func(t *testing.T) {
		s := &State{}
		observeAt(s, fleet.Failed, 3*time.Millisecond, start)
		assertStanding(t, s, true, start.Add(earlyHold-time.Millisecond), Avoid)
		assertStanding(t, s, true, start.Add(earlyHold), Probation)
	})
	t.Run("two passed trials bring it back", func(t *testing.T) {
		s := &State{}
		observeAt(s, fleet.Failed, 3*time.Millisecond, start)
		at := start.Add(fastHold + time.Second)
		observeAt(s, fleet.Succeeded, 300*time.Millisecond, at)
		assertStanding(t, s, false, at, Probation)
		observeAt(s, fleet.Succeeded, 300*time.Millisecond, at.Add(time.Second))
		assertStanding(t, s, false, at.Add(time.Second), Welcome)
	})
	t.Run("a failed trial begins anew", func(t *testing.T) {
		s := &State{}
		observeAt(s, fleet.Failed, 3*time.Millisecond, start)
		at := start.Add(fastHold)
		observeAt(s, fleet.Succeeded, 300*time.Millisecond, at)
		observeAt(s, fleet.Failed, 3*time.Millisecond, at.Add(time.Second))
		assertStanding(t, s, false, at.Add(time.Second+fastRetry-time.Millisecond), Avoid)
	})
	t.Run("a success from before the failure proves nothing", func(t *testing.T) {
		s := &State{}
		observeAt(s, fleet.Failed, 3*time.Millisecond, start)
		at := start.Add(400 * time.Millisecond)
		observeAt(s, fleet.Succeeded, 500*time.Millisecond, at)
		assertStanding(t, s, false, at, Avoid)
	})
	t.Run("a peer's fast failure counts like an own one", func(t *testing.T) {
		s := &State{}
		ObservePeerFailure(s, 30*time.Millisecond, slow, avoidOnly, start)
		assertStanding(t, s, false, start.Add(time.Second), Avoid)
	})
	// Guards against nodes that all try a failing server at the same moment.
	t.Run("nodes wait for different times", func(t *testing.T) {
		s, settings := &State{}, avoidOnly
		settings.Spread = time.Second
		Observe(s, Sample{Evidence: fleet.Failed, Latency: time.Millisecond}, slow, settings, start)
		assertStanding(t, s, false, start.Add(fastHold), Avoid)
		assertStanding(t, s, false, start.Add(fastHold+time.Second), Probation)
	})
	t.Run("a server that had no room is left alone for a moment", func(t *testing.T) {
		s := &State{}
		observeAt(s, fleet.Failed, 3*time.Millisecond, start)
		at := start.Add(fastHold)
		observeAt(s, fleet.Shed, time.Millisecond, at)
		assertStanding(t, s, false, at, Avoid)
		assertStanding(t, s, false, at.Add(shedHold), Probation)
	})
	t.Run("a server out of reach is tried again after growing times", func(t *testing.T) {
		s := &State{}
		observeAt(s, fleet.Unreachable, 350*time.Millisecond, start)
		assertStanding(t, s, false, start.Add(unreachableHold), Probation)
		at := start.Add(unreachableHold)
		observeAt(s, fleet.Unreachable, 350*time.Millisecond, at)
		assertStanding(t, s, false, at.Add(unreachableHold), Avoid)
	})
}

// TestTurnOf guards against a failing server that loses a request of each node whenever it may be tried.
func TestTurnOf(t *testing.T) {
	t.Run("each node has its turn", func(t *testing.T) {
		for nodes := 1; nodes <= 40; nodes++ {
			turns := map[int]int{}
			for k := range nodes {
				turns[TurnOf("10.1.64.8:8080", nodes, start.Add(time.Duration(k)*earlyHold))]++
			}
			if len(turns) != nodes {
				t.Errorf("%d of %d nodes had a turn", len(turns), nodes)
			}
		}
	})
	t.Run("servers are tried by different nodes", func(t *testing.T) {
		turns := map[int]int{}
		for k := range 100 {
			turns[TurnOf(fmt.Sprintf("10.1.64.%d:8080", k), 4, start)]++
		}
		for node, n := range turns {
			if n > 50 {
				t.Errorf("node %d has the turn of %d of 100 servers", node, n)
			}
		}
	})
}

func TestPeerRecovery(t *testing.T) {
	failed := func() *State {
		s := &State{}
		observeAt(s, fleet.Failed, 3*time.Millisecond, start)
		return s
	}
	at := start.Add(5 * time.Second)
	// Guards against nodes that leave a server unused after one of them has found it to work.
	t.Run("it leaves one trial to the node itself", func(t *testing.T) {
		s := failed()
		ObservePeerRecovery(s, 20*time.Millisecond, at)
		assertStanding(t, s, false, at, Probation)
		observeAt(s, fleet.Succeeded, 300*time.Millisecond, at.Add(time.Second))
		assertStanding(t, s, false, at.Add(time.Second), Welcome)
	})
	t.Run("it does not count if the server has failed since", func(t *testing.T) {
		s := failed()
		ObservePeerRecovery(s, 6*time.Second, at)
		assertStanding(t, s, false, at, Avoid)
	})
	t.Run("a failure after it counts in full", func(t *testing.T) {
		s := failed()
		ObservePeerRecovery(s, 20*time.Millisecond, at)
		observeAt(s, fleet.Failed, 3*time.Millisecond, at.Add(time.Second))
		assertStanding(t, s, false, at.Add(time.Second), Avoid)
		observeAt(s, fleet.Succeeded, 300*time.Millisecond, at.Add(6*time.Second))
		assertStanding(t, s, false, at.Add(6*time.Second), Probation)
	})
	// Guards against messages about one recovery that all nodes send to each other.
	t.Run("it is not told again", func(t *testing.T) {
		own, hinted := failed(), failed()
		ObservePeerRecovery(hinted, 20*time.Millisecond, at)
		for s, want := range map[*State]bool{own: true, hinted: false} {
			before := s.Avoidance
			observeAt(s, fleet.Succeeded, 300*time.Millisecond, at.Add(time.Second))
			observeAt(s, fleet.Succeeded, 300*time.Millisecond, at.Add(10*time.Second))
			if Recovered(&before, &s.Avoidance) != want {
				t.Errorf("the recovery is told: %v, want %v", !want, want)
			}
		}
	})
}

package detect

import (
	"fmt"
	"testing"
	"time"

	"egretline.example/egretline/pkg/fleet"
)

var avoidOnlySettings = SettingsOf(fleet.Service{Preference: fleet.AvoidOnly})

// slowBaseline is a pool with a typical latency of 500 ms.
var slowBaseline = Baseline{Latency: 500 * time.Millisecond}

func observeAt(s *State, e fleet.Evidence, latency time.Duration, at time.Time) {
	Observe(s, Sample{Evidence: e, Latency: latency}, slowBaseline, avoidOnlySettings, at)
}

func assertBreakerState(t *testing.T, s *State, early bool, at time.Time, want BreakerState) {
	t.Helper()
	if got := BreakerStateOf(s, early, at); got != want {
		t.Errorf("got breaker state %s, want %s", got, want)
	}
}

func TestBreaker(t *testing.T) {
	// Guards against a server that fails fast, has free slots all the time and therefore attracts requests.
	t.Run("one fast failure opens the breaker", func(t *testing.T) {
		s := &State{}
		observeAt(s, fleet.Failed, 3*time.Millisecond, startTime)
		assertBreakerState(t, s, false, startTime.Add(fastFailureOpenDuration-time.Millisecond), Open)
		assertBreakerState(t, s, false, startTime.Add(fastFailureOpenDuration), HalfOpen)
	})
	// Guards against breakers that open because of failures of single requests.
	t.Run("one slow failure does not open it, two within three seconds do", func(t *testing.T) {
		s := &State{}
		observeAt(s, fleet.Failed, 400*time.Millisecond, startTime)
		assertBreakerState(t, s, false, startTime, Closed)
		observeAt(s, fleet.Failed, 400*time.Millisecond, startTime.Add(time.Second))
		assertBreakerState(t, s, false, startTime.Add(time.Second), Open)
	})
	t.Run("early trials shorten the open time", func(t *testing.T) {
		s := &State{}
		observeAt(s, fleet.Failed, 3*time.Millisecond, startTime)
		assertBreakerState(t, s, true, startTime.Add(earlyTrialDelay-time.Millisecond), Open)
		assertBreakerState(t, s, true, startTime.Add(earlyTrialDelay), HalfOpen)
	})
	t.Run("two successful trials close the breaker", func(t *testing.T) {
		s := &State{}
		observeAt(s, fleet.Failed, 3*time.Millisecond, startTime)
		at := startTime.Add(fastFailureOpenDuration + time.Second)
		observeAt(s, fleet.Succeeded, 300*time.Millisecond, at)
		assertBreakerState(t, s, false, at, HalfOpen)
		observeAt(s, fleet.Succeeded, 300*time.Millisecond, at.Add(time.Second))
		assertBreakerState(t, s, false, at.Add(time.Second), Closed)
	})
	t.Run("a failed trial opens it again", func(t *testing.T) {
		s := &State{}
		observeAt(s, fleet.Failed, 3*time.Millisecond, startTime)
		at := startTime.Add(fastFailureOpenDuration)
		observeAt(s, fleet.Succeeded, 300*time.Millisecond, at)
		observeAt(s, fleet.Failed, 3*time.Millisecond, at.Add(time.Second))
		assertBreakerState(t, s, false, at.Add(time.Second+repeatedFailureOpenDuration-time.Millisecond), Open)
	})
	t.Run("the success of a request sent before the failure does not count", func(t *testing.T) {
		s := &State{}
		observeAt(s, fleet.Failed, 3*time.Millisecond, startTime)
		at := startTime.Add(400 * time.Millisecond)
		observeAt(s, fleet.Succeeded, 500*time.Millisecond, at)
		assertBreakerState(t, s, false, at, Open)
	})
	t.Run("a fast failure reported by a peer opens the breaker", func(t *testing.T) {
		s := &State{}
		ObservePeerFailure(s, 30*time.Millisecond, slowBaseline, avoidOnlySettings, startTime)
		assertBreakerState(t, s, false, startTime.Add(time.Second), Open)
	})
	// Guards against nodes that all send a trial request to a failing server at the same time.
	t.Run("the jitter lengthens the open time", func(t *testing.T) {
		s, settings := &State{}, avoidOnlySettings
		settings.OpenJitter = time.Second
		Observe(s, Sample{Evidence: fleet.Failed, Latency: time.Millisecond}, slowBaseline, settings, startTime)
		assertBreakerState(t, s, false, startTime.Add(fastFailureOpenDuration), Open)
		assertBreakerState(t, s, false, startTime.Add(fastFailureOpenDuration+time.Second), HalfOpen)
	})
	t.Run("a shed trial delays the next one", func(t *testing.T) {
		s := &State{}
		observeAt(s, fleet.Failed, 3*time.Millisecond, startTime)
		at := startTime.Add(fastFailureOpenDuration)
		observeAt(s, fleet.Shed, time.Millisecond, at)
		assertBreakerState(t, s, false, at, Open)
		assertBreakerState(t, s, false, at.Add(shedTrialDelay), HalfOpen)
	})
	t.Run("failed connections back off exponentially", func(t *testing.T) {
		s := &State{}
		observeAt(s, fleet.Unreachable, 350*time.Millisecond, startTime)
		assertBreakerState(t, s, false, startTime.Add(firstUnreachableBackoff), HalfOpen)
		at := startTime.Add(firstUnreachableBackoff)
		observeAt(s, fleet.Unreachable, 350*time.Millisecond, at)
		assertBreakerState(t, s, false, at.Add(firstUnreachableBackoff), Open)
	})
}

// Guards against a failing server that loses a request of every node each time an early trial is due.
func TestEarlyTrialTurn(t *testing.T) {
	t.Run("each node has its turn", func(t *testing.T) {
		for nodes := 1; nodes <= 40; nodes++ {
			turns := map[int]int{}
			for k := range nodes {
				turns[EarlyTrialTurn("10.1.64.8:8080", nodes, startTime.Add(time.Duration(k)*earlyTrialDelay))]++
			}
			if len(turns) != nodes {
				t.Errorf("%d of %d nodes had the turn once", len(turns), nodes)
			}
		}
	})
	t.Run("different servers are assigned to different nodes", func(t *testing.T) {
		turns := map[int]int{}
		for k := range 100 {
			turns[EarlyTrialTurn(fmt.Sprintf("10.1.64.%d:8080", k), 4, startTime)]++
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
		observeAt(s, fleet.Failed, 3*time.Millisecond, startTime)
		return s
	}
	at := startTime.Add(5 * time.Second)
	// Guards against nodes that keep their breakers open after one of them has found that the server recovered.
	t.Run("one more trial of the node closes the breaker", func(t *testing.T) {
		s := failed()
		ObservePeerRecovery(s, 20*time.Millisecond, at)
		assertBreakerState(t, s, false, at, HalfOpen)
		observeAt(s, fleet.Succeeded, 300*time.Millisecond, at.Add(time.Second))
		assertBreakerState(t, s, false, at.Add(time.Second), Closed)
	})
	t.Run("a report older than the last failure is ignored", func(t *testing.T) {
		s := failed()
		ObservePeerRecovery(s, 6*time.Second, at)
		assertBreakerState(t, s, false, at, Open)
	})
	t.Run("after a later failure, two successful trials are needed again", func(t *testing.T) {
		s := failed()
		ObservePeerRecovery(s, 20*time.Millisecond, at)
		observeAt(s, fleet.Failed, 3*time.Millisecond, at.Add(time.Second))
		assertBreakerState(t, s, false, at.Add(time.Second), Open)
		observeAt(s, fleet.Succeeded, 300*time.Millisecond, at.Add(6*time.Second))
		assertBreakerState(t, s, false, at.Add(6*time.Second), HalfOpen)
	})
	// Guards against a storm of messages: every node would report the same recovery to all others.
	t.Run("a recovery reported by a peer is not reported again", func(t *testing.T) {
		own, reported := failed(), failed()
		ObservePeerRecovery(reported, 20*time.Millisecond, at)
		for s, want := range map[*State]bool{own: true, reported: false} {
			before := s.Breaker
			observeAt(s, fleet.Succeeded, 300*time.Millisecond, at.Add(time.Second))
			observeAt(s, fleet.Succeeded, 300*time.Millisecond, at.Add(10*time.Second))
			if RecoveredByOwnTrials(&before, &s.Breaker) != want {
				t.Errorf("RecoveredByOwnTrials returned %v, want %v", !want, want)
			}
		}
	})
}

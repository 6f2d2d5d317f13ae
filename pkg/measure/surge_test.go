package measure

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/fleet"
)

// Kinds of requests whose objectives are far below their deadlines, and whose work differs by a factor of five.
func patientKinds() []surgeKind {
	return []surgeKind{
		{"commands", 320 * time.Millisecond, 1500 * time.Millisecond, 6 * time.Second, 0.75},
		{"polls", 1300 * time.Millisecond, 10 * time.Second, 15 * time.Second, 0.10},
		{"images", 250 * time.Millisecond, 2500 * time.Millisecond, 7500 * time.Millisecond, 0.15},
	}
}

// Kinds of requests whose callers leave soon after the objective.
func impatientKinds() []surgeKind {
	return []surgeKind{
		{"checks", 120 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond, 0.4},
		{"postings", 160 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond, 0.6},
	}
}

func playedQueue(noObjectives bool) *queueScheduler {
	q := &admission.Queue[*played]{MarginDeviations: 2}
	admission.Configure(q, []fleet.Rank{{}}, playedSlots, 0)
	return &queueScheduler{Queue: q, NoObjectives: noObjectives}
}

var playedLoads = []struct {
	Name string
	Load playedLoad
}{
	{"surge of 5 s to 1.6", playedLoad{patientKinds(), 0.7, surge{8 * time.Second, 13 * time.Second, 1.6}, 40 * time.Second}},
	{"surge of 8 s to 1.4", playedLoad{patientKinds(), 0.7, surge{8 * time.Second, 16 * time.Second, 1.4}, 40 * time.Second}},
	{"surge of 8 s to 2.5", playedLoad{patientKinds(), 0.7, surge{8 * time.Second, 16 * time.Second, 2.5}, 40 * time.Second}},
	{"overload of 25 s to 1.3", playedLoad{patientKinds(), 0.7, surge{8 * time.Second, 33 * time.Second, 1.3}, 50 * time.Second}},
	{"impatient, 5 s to 1.6", playedLoad{impatientKinds(), 0.7, surge{8 * time.Second, 13 * time.Second, 1.6}, 30 * time.Second}},
	{"calm", playedLoad{patientKinds(), 0.7, surge{}, 20 * time.Second}},
}

func arrivalOrder(i admission.Item[*played], _ bool, _ time.Time) float64 {
	return float64(i.Arrived.UnixNano())
}

func newestFirst(i admission.Item[*played], standing bool, _ time.Time) float64 {
	if standing {
		return -float64(i.Arrived.UnixNano())
	}
	return float64(i.Arrived.UnixNano())
}

// TestWaysToServeASurge prints what callers get from each way to order and refuse requests, with -v. It guards against a
// queue that answers fewer requests in time than the plain ways, or pays for them with requests that are not served.
func TestWaysToServeASurge(t *testing.T) {
	for _, l := range playedLoads {
		t.Run(l.Name, func(t *testing.T) {
			results := map[string]measured{}
			for _, w := range []struct {
				name string
				s    scheduler
			}{
				{"arrival order", playedQueue(true)},
				{"deadline order", &listScheduler{Key: func(i admission.Item[*played], _ bool, _ time.Time) float64 {
					return float64(i.Deadline.UnixNano())
				}}},
				{"newest first", &listScheduler{Key: newestFirst}},
				{"newest first, controlled delay", &listScheduler{Key: newestFirst, DropAfterObjective: true}},
				{"two lanes, arrival order", &listScheduler{Lanes: true, Key: arrivalOrder}},
				{"two lanes, newest first", &listScheduler{Lanes: true, Key: newestFirst}},
				{"lanes", playedQueue(false)},
			} {
				m := l.Load.measure(l.Load.play(w.s))
				results[w.name] = m
				t.Logf("%-31s in time %.3f served %.3f worst 2 s %.3f worst kind %.3f worst tenth %.3f longest futile hold %4.1f s, mean %4.1f s",
					w.name, m.InTime, m.Served, m.Worst2s, m.WorstKind, m.WorstTenth, m.LongestHold.Seconds(), m.MeanHold.Seconds())
			}
			assertNoWorse(t, results["lanes"], results["arrival order"])
		})
	}
}

// assertNoWorse fails if callers got less than from the plain way.
func assertNoWorse(t *testing.T, got, plain measured) {
	t.Helper()
	const tolerance = 0.01 // of the requests: the ways refuse and fail different ones
	is := is.New(t)
	is.True(got.InTime >= plain.InTime)
	is.True(got.Served >= plain.Served-tolerance)
	is.True(got.Worst2s >= plain.Worst2s-tolerance)
	is.True(got.WorstKind >= plain.WorstKind-tolerance)
	is.True(got.WorstTenth >= plain.WorstTenth-tolerance)
}

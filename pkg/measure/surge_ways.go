package measure

import (
	"time"

	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/fleet"
)

// way is a named way to order and refuse requests.
type way struct {
	Name      string
	Scheduler scheduler
}

// waysToServe returns the ways that are compared. The first is that of a queue of requests without latency objectives, the
// last that of one with them.
func waysToServe() []way {
	return []way{
		{"arrival order", playedQueue(true)},
		{"deadline order", &listScheduler{Key: deadlineOrder}},
		{"newest first", &listScheduler{Key: newestFirst}},
		{"newest first, controlled delay", &listScheduler{Key: newestFirst, DropAfterObjective: true}},
		{"two lanes, arrival order", &listScheduler{Lanes: true, Key: arrivalOrder}},
		{"two lanes, newest first", &listScheduler{Lanes: true, Key: newestFirst}},
		{"lanes", playedQueue(false)},
	}
}

// patientKinds returns kinds of requests whose objectives are far below their deadlines, and whose work differs by a factor of five.
func patientKinds() []surgeKind {
	return []surgeKind{
		{"commands", 320 * time.Millisecond, 1500 * time.Millisecond, 6 * time.Second, 0.75},
		{"polls", 1300 * time.Millisecond, 10 * time.Second, 15 * time.Second, 0.10},
		{"images", 250 * time.Millisecond, 2500 * time.Millisecond, 7500 * time.Millisecond, 0.15},
	}
}

// impatientKinds returns kinds of requests whose callers leave soon after the objective.
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

func deadlineOrder(i admission.Item[*played], _ bool, _ time.Time) float64 {
	return float64(i.Deadline.UnixNano())
}

func newestFirst(i admission.Item[*played], standing bool, _ time.Time) float64 {
	if standing {
		return -float64(i.Arrived.UnixNano())
	}
	return float64(i.Arrived.UnixNano())
}

package measure

import (
	"testing"

	"github.com/matryer/is"
)

// TestWaysToServeASurge prints what callers get from each way to order and refuse requests, with -v. It guards against a
// queue that answers fewer requests in time than the plain ways, or pays for them with requests that are not served.
func TestWaysToServeASurge(t *testing.T) {
	for _, l := range playedLoads {
		t.Run(l.Name, func(t *testing.T) {
			results := map[string]measured{}
			for _, w := range waysToServe() {
				m := l.Load.measure(l.Load.play(w.Scheduler))
				results[w.Name] = m
				t.Logf("%-31s in time %.3f served %.3f worst 2 s %.3f worst kind %.3f worst tenth %.3f longest futile hold %4.1f s, mean %4.1f s",
					w.Name, m.InTime, m.Served, m.Worst2s, m.WorstKind, m.WorstTenth, m.LongestHold.Seconds(), m.MeanHold.Seconds())
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

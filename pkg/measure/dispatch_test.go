package measure

import (
	"fmt"
	"testing"
	"time"
)

const (
	warmup          = 10 * time.Second
	countedDuration = 30 * time.Second
	// noSurge is the argument of assertShares for a trial in which no rank surges.
	noSurge = -1
)

func newTrial(d Deployment, offered []float64, baseline bool) DispatchTrial {
	return DispatchTrial{Deployment: d, Offered: offered, Nodes: 1, UseBaseline: baseline,
		Warmup: warmup, Duration: countedDuration, Seed: 1}
}

func logResult(t *testing.T, name string, x DispatchTrial, r DispatchResult) {
	t.Helper()
	kind := "egretline"
	if x.UseBaseline {
		kind = "round robin, FIFO"
	}
	line := fmt.Sprintf("%-9s %-34s %-17s", x.Deployment.Name, name, kind)
	for _, k := range r.Ranks {
		line += fmt.Sprintf("  %s %.3f of %.3f (%.1f%%), slots %.4f",
			k.Rank.Name, k.Goodput, k.Offered, 100*answeredFraction(k), k.SlotTime)
	}
	t.Logf("%s  amplification %.3f  shed %.2f%%", line, r.Amplification, 100*r.ShedFraction)
}

func answeredFraction(k RankResult) float64 {
	return float64(k.Answered) / float64(max(k.Requests, 1))
}

// assertAmplification fails if there are more than 1.1 attempts for each request. It leaves out the retries that full
// retry budgets allow at the start.
func assertAmplification(t *testing.T, r DispatchResult) {
	t.Helper()
	const target = 1.1
	if r.AmplificationWithoutBurst > target {
		t.Errorf("amplification %.4f, want at most 1.1", r.AmplificationWithoutBurst)
	}
}

// assertUrgentGoodput fails if the goodput of the most urgent rank is below 99% of the smaller of its offered load and
// the slot time that the other ranks' shares leave.
func assertUrgentGoodput(t *testing.T, x DispatchTrial, r DispatchResult) {
	t.Helper()
	available := 1.0
	for _, k := range r.Ranks[1:] {
		available -= min(k.Rank.Share, k.Offered)
	}
	want := 0.99 * min(x.Offered[0], available)
	if got := answeredFraction(r.Ranks[0]) * x.Offered[0]; got < want {
		t.Errorf("goodput of the most urgent rank is %.4f of the capacity, want at least %.4f", got, want)
	}
}

// assertShares fails if a rank other than the surging one got less slot time than the smaller of its share and its
// offered load. At the end of a trial a rank may have unused credit up to its share of one round of the slots for each
// rank, because a dispatch is not preempted. The credit is carried over, so it does not grow with the trial's duration.
func assertShares(t *testing.T, d Deployment, surging int, r DispatchResult) {
	t.Helper()
	var roundDuration time.Duration
	for _, l := range d.Ranks {
		roundDuration += l.ServiceTime
	}
	creditFraction := roundDuration.Seconds() / countedDuration.Seconds()
	for n, k := range r.Ranks {
		if want := min(k.Rank.Share, k.Offered) * (1 - creditFraction); n != surging && k.SlotTime < want {
			t.Errorf("rank %s got %.4f of the slot time, want at least %.4f", k.Rank.Name, k.SlotTime, want)
		}
	}
}

// Guards the dispatch targets: the goodput of the most urgent rank, the shares of the other ranks and the retry
// amplification under overload, surges and faults.
func TestDispatch(t *testing.T) {
	for _, d := range Deployments() {
		t.Run(d.Name, func(t *testing.T) {
			runBoth := func(name string, offered []float64, f DispatchFaults) (DispatchTrial, DispatchResult) {
				for _, baseline := range []bool{true, false} {
					x := newTrial(d, offered, baseline)
					x.Faults = f
					r := RunDispatch(x)
					logResult(t, name, x, r)
					if !baseline {
						return x, r
					}
				}
				return DispatchTrial{}, DispatchResult{}
			}
			for _, load := range []float64{0.7, 1, 2, 5} {
				t.Run(fmt.Sprint("load ", load), func(t *testing.T) {
					x, r := runBoth(fmt.Sprint("load ", load), UniformLoad(d, load), DispatchFaults{})
					if load <= 1 {
						assertUrgentGoodput(t, x, r)
					} else {
						assertShares(t, d, noSurge, r)
					}
				})
			}
			t.Run("surge of the least urgent rank, four nodes", func(t *testing.T) {
				x := newTrial(d, SurgeLoad(d, len(d.Ranks)-1, 0.7), false)
				x.Nodes = 4
				r := RunDispatch(x)
				logResult(t, "surge of the least urgent, 4 nodes", x, r)
				assertUrgentGoodput(t, x, r)
				assertAmplification(t, r)
			})
			t.Run("surge of the most urgent rank, four nodes", func(t *testing.T) {
				x := newTrial(d, SurgeLoad(d, 0, 2), false)
				x.Nodes = 4
				r := RunDispatch(x)
				logResult(t, "surge of the most urgent, 4 nodes", x, r)
				assertShares(t, d, 0, r)
				assertAmplification(t, r)
			})
			t.Run("surge of the least urgent rank", func(t *testing.T) {
				x, r := runBoth("surge of the least urgent rank", SurgeLoad(d, len(d.Ranks)-1, 0.7), DispatchFaults{})
				assertUrgentGoodput(t, x, r)
			})
			t.Run("surge of the most urgent rank", func(t *testing.T) {
				_, r := runBoth("surge of the most urgent rank", SurgeLoad(d, 0, 2), DispatchFaults{})
				assertShares(t, d, 0, r)
			})
			for name, f := range map[string]DispatchFaults{
				"30% errors everywhere": {ErrorRate: 0.3}, "2 of 10 servers stalled": {Stalled: 2}, "all fail": {ErrorRate: 1},
			} {
				t.Run(name, func(t *testing.T) {
					_, r := runBoth(name, UniformLoad(d, 0.7), f)
					assertAmplification(t, r)
				})
			}
		})
	}
}

// Guards the reason for service groups: with fewer dispatchers, fewer requests wait at a full server while slots of
// other servers are free.
func TestDispatchFragmentation(t *testing.T) {
	for _, load := range []float64{0.7, 0.9} {
		var many, few FragmentationResult
		for _, n := range []int{44, 4} {
			f := RunFragmentation(FragmentationTrial{Dispatchers: n, Servers: 20, Slots: 6, Load: load, Requests: 100_000, Seed: 1})
			t.Logf("load %.1f, %2d dispatchers: %.1f%% land on a full server, p99 wait %.2f service times",
				load, n, 100*f.FullServerFraction, f.P99WaitServiceTimes)
			if n == 44 {
				many = f
			} else {
				few = f
			}
		}
		if few.FullServerFraction >= many.FullServerFraction || few.P99WaitServiceTimes >= many.P99WaitServiceTimes {
			t.Errorf("4 dispatchers have no fewer full servers or no shorter waits than 44 at load %.1f", load)
		}
	}
}

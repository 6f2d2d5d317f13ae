package measure

import (
	"fmt"
	"testing"
	"time"
)

const (
	warmup = 10 * time.Second
	length = 30 * time.Second
	// none stands for no rank in a surge.
	none = -1
)

func trialOf(d Deployment, offered []float64, baseline bool) DispatchTrial {
	return DispatchTrial{Deployment: d, Offered: offered, Nodes: 1, Baseline: baseline, Warmup: warmup, Duration: length, Seed: 1}
}

func report(t *testing.T, name string, x DispatchTrial, r DispatchResult) {
	t.Helper()
	kind := "egretline"
	if x.Baseline {
		kind = "round robin, FIFO"
	}
	line := fmt.Sprintf("%-9s %-34s %-17s", x.Deployment.Name, name, kind)
	for _, k := range r.Ranks {
		line += fmt.Sprintf("  %s %.3f of %.3f (%.1f%%), slots %.4f", k.Rank.Name, k.Goodput, k.Offered, 100*answered(k), k.SlotTime)
	}
	t.Logf("%s  amplification %.3f  shed %.2f%%", line, r.Amplification, 100*r.Sheds)
}

func answered(k RankResult) float64 {
	return float64(k.Answered) / float64(max(k.Requests, 1))
}

// assertAmplification fails above the target of 1.1, beside the retries that full budgets allow at the start.
func assertAmplification(t *testing.T, r DispatchResult) {
	t.Helper()
	const target = 1.1
	if r.Saved > target {
		t.Errorf("amplification %.4f", r.Saved)
	}
}

// assertUrgent fails if less than 99% of the urgent slot time that fits was answered.
func assertUrgent(t *testing.T, x DispatchTrial, r DispatchResult) {
	t.Helper()
	fits := 1.0
	for _, k := range r.Ranks[1:] {
		fits -= min(k.Rank.Share, k.Offered)
	}
	want := 0.99 * min(x.Offered[0], fits)
	if got := answered(r.Ranks[0]) * x.Offered[0]; got < want {
		t.Errorf("urgent goodput %.4f of the capacity, want %.4f", got, want)
	}
}

// assertShares fails if a rank that is not in the surge got less than its share of the slot time, or than it asked for.
// At the end of a trial a rank may have unused credit up to its share of one round of the slots for each rank, because a
// dispatch is not preempted. The credit is still owed, so that it does not grow with the length of the trial.
func assertShares(t *testing.T, d Deployment, surging int, r DispatchResult) {
	t.Helper()
	var rounds time.Duration
	for _, l := range d.Ranks {
		rounds += l.ServiceTime
	}
	owed := rounds.Seconds() / length.Seconds()
	for n, k := range r.Ranks {
		if want := min(k.Rank.Share, k.Offered) * (1 - owed); n != surging && k.SlotTime < want {
			t.Errorf("rank %s got %.4f of the slot time, want %.4f", k.Rank.Name, k.SlotTime, want)
		}
	}
}

func TestDispatch(t *testing.T) {
	for _, d := range Deployments() {
		t.Run(d.Name, func(t *testing.T) {
			measure := func(name string, offered []float64, f Faults) (DispatchTrial, DispatchResult) {
				for _, baseline := range []bool{true, false} {
					x := trialOf(d, offered, baseline)
					x.Faults = f
					r := RunDispatch(x)
					report(t, name, x, r)
					if !baseline {
						return x, r
					}
				}
				return DispatchTrial{}, DispatchResult{}
			}
			for _, load := range []float64{0.7, 1, 2, 5} {
				t.Run(fmt.Sprint("load ", load), func(t *testing.T) {
					x, r := measure(fmt.Sprint("load ", load), Uniform(d, load), Faults{})
					if load <= 1 {
						assertUrgent(t, x, r)
					} else {
						assertShares(t, d, none, r)
					}
				})
			}
			t.Run("surge of the least urgent rank, four nodes", func(t *testing.T) {
				x := trialOf(d, Surge(d, len(d.Ranks)-1, 0.7), false)
				x.Nodes = 4
				r := RunDispatch(x)
				report(t, "surge of the least urgent, 4 nodes", x, r)
				assertUrgent(t, x, r)
				assertAmplification(t, r)
			})
			t.Run("surge of the most urgent rank, four nodes", func(t *testing.T) {
				x := trialOf(d, Surge(d, 0, 2), false)
				x.Nodes = 4
				r := RunDispatch(x)
				report(t, "surge of the most urgent, 4 nodes", x, r)
				assertShares(t, d, 0, r)
				assertAmplification(t, r)
			})
			t.Run("surge of the least urgent rank", func(t *testing.T) {
				x, r := measure("surge of the least urgent rank", Surge(d, len(d.Ranks)-1, 0.7), Faults{})
				assertUrgent(t, x, r)
			})
			t.Run("surge of the most urgent rank", func(t *testing.T) {
				_, r := measure("surge of the most urgent rank", Surge(d, 0, 2), Faults{})
				assertShares(t, d, 0, r)
			})
			for name, f := range map[string]Faults{
				"30% errors everywhere": {ErrorRate: 0.3}, "2 of 10 servers stalled": {Stalled: 2}, "all fail": {ErrorRate: 1},
			} {
				t.Run(name, func(t *testing.T) {
					_, r := measure(name, Uniform(d, 0.7), f)
					assertAmplification(t, r)
				})
			}
		})
	}
}

func TestDispatchFragmentation(t *testing.T) {
	for _, load := range []float64{0.7, 0.9} {
		var many, few Fragmentation
		for _, n := range []int{44, 4} {
			f := Fragment(FragmentTrial{Dispatchers: n, Servers: 20, Slots: 6, Load: load, Requests: 100_000, Seed: 1})
			t.Logf("load %.1f, %2d dispatchers: %.1f%% land on a full server, p99 wait %.2f service times", load, n, 100*f.Full, f.P99Wait)
			if n == 44 {
				many = f
			} else {
				few = f
			}
		}
		if few.Full >= many.Full || few.P99Wait >= many.P99Wait {
			t.Errorf("a group of 4 is no better than 44 dispatchers at load %.1f", load)
		}
	}
}

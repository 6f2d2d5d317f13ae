package load

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"egretline.example/egretline/pkg/fleet"
)

// Guards against a schedule that differs between runs, is not sorted, or deviates from the configured rates.
func TestSchedule(t *testing.T) {
	e := Experiment{
		Seed:     7,
		Duration: 100 * time.Second,
		Tenants:  []Tenant{{Name: "a", Weight: 3}, {Name: "b", Weight: 1}},
		Flows:    []Flow{{Name: "x", RequestsPerSecond: 100}, {Name: "y", RequestsPerSecond: 10, Tenants: []string{"b"}}},
		Phases:   []Phase{{Flow: "x", From: 50 * time.Second, To: 60 * time.Second, Factor: 5}},
	}
	all := allRequests(e)

	t.Run("the same seed gives the same requests", func(t *testing.T) {
		is.New(t).True(slices.Equal(all, allRequests(e)))
	})
	t.Run("send times ascend", func(t *testing.T) {
		is.New(t).True(slices.IsSortedFunc(all, func(a, b Request) int { return int(a.SendOffset - b.SendOffset) }))
	})
	// The tolerance is five standard deviations of the Poisson count. The seed fixes the actual count.
	t.Run("the configured rate outside the phase", func(t *testing.T) { assertCount(t, all, 0, 0, 50, 5000, 354) })
	t.Run("inside the phase the rate is multiplied", func(t *testing.T) { assertCount(t, all, 0, 50, 60, 5000, 354) })
	t.Run("a flow without a phase keeps its rate", func(t *testing.T) { assertCount(t, all, 1, 0, 100, 1000, 159) })
	t.Run("a flow uses only its tenants", func(t *testing.T) {
		for _, r := range all {
			is.New(t).True(r.FlowIndex != 1 || r.TenantIndex == 1)
		}
	})
	t.Run("a change to one flow does not alter another", func(t *testing.T) {
		changed := e
		changed.Flows = []Flow{e.Flows[0], {Name: "y", RequestsPerSecond: 20}}
		is.New(t).True(slices.Equal(sendOffsets(all, 0), sendOffsets(allRequests(changed), 0)))
	})
}

// Guards against counting a request as answered without proof, such as a not-run outcome with status 200.
func TestClassify(t *testing.T) {
	complete := Reply{Connected: true, Status: 200, Outcome: fleet.Answered, Digest: DigestMatches}
	assertClass := func(t *testing.T, want Class, change func(*Reply)) {
		t.Helper()
		r := complete
		change(&r)
		is.New(t).Equal(Classify(r), want)
	}
	t.Run("answered", func(t *testing.T) { assertClass(t, Answered, func(*Reply) {}) })
	t.Run("error status", func(t *testing.T) { assertClass(t, AnsweredError, func(r *Reply) { r.Status = 500 }) })
	t.Run("broken", func(t *testing.T) { assertClass(t, TransportError, func(r *Reply) { r.Incomplete = true }) })
	t.Run("not connected", func(t *testing.T) { assertClass(t, NoEntry, func(r *Reply) { r.Connected = false }) })
	t.Run("no outcome", func(t *testing.T) { assertClass(t, NoOutcome, func(r *Reply) { r.Outcome = "" }) })
	t.Run("not run", func(t *testing.T) { assertClass(t, NotRun, func(r *Reply) { r.Outcome = fleet.NotRun }) })
	t.Run("unknown", func(t *testing.T) { assertClass(t, Unknown, func(r *Reply) { r.Outcome = fleet.Unknown }) })
	t.Run("digest", func(t *testing.T) { assertClass(t, DigestMismatch, func(r *Reply) { r.Digest = DigestDiffers }) })
	t.Run("crossed", func(t *testing.T) { assertClass(t, WrongResponse, func(r *Reply) { r.EchoMismatch = true }) })
	t.Run("only answers within the target count as goodput", func(t *testing.T) {
		is := is.New(t)
		is.True(CountsAsGoodput(Answered, time.Second, time.Second))
		is.True(!CountsAsGoodput(Answered, time.Second+1, time.Second))
		is.True(!CountsAsGoodput(NotRun, 0, time.Second))
	})
}

// Guards against a caller that keeps using a failed node, or gives up while the entry response lists a live one.
func TestChooseEntry(t *testing.T) {
	now := time.Unix(1000, 0)
	r := EntryResponse{Entries: []Entry{{Address: "a", KeyPrefix: "p"}, {Address: "b"}, {Address: "c", KeyPrefix: "q"}}}
	assertChoice := func(t *testing.T, want string, failures ConnectFailures, tried []string, keyed bool) {
		t.Helper()
		e, ok := ChooseEntry(r, failures, tried, keyed, now)
		is := is.New(t)
		is.Equal(e.Address, want)
		is.Equal(ok, want != "")
	}
	failures := ConnectFailures{"a": now.Add(-time.Second)}
	t.Run("the first entry", func(t *testing.T) { assertChoice(t, "a", nil, nil, false) })
	t.Run("the next entry after a failed one", func(t *testing.T) { assertChoice(t, "b", failures, nil, false) })
	t.Run("keyed requests need a key prefix", func(t *testing.T) { assertChoice(t, "c", failures, nil, true) })
	t.Run("failed entries come last", func(t *testing.T) { assertChoice(t, "a", failures, []string{"b", "c"}, false) })
	t.Run("a failed entry is used again after the backoff", func(t *testing.T) {
		assertChoice(t, "a", ConnectFailures{"a": now.Add(-entryFailureBackoff)}, nil, false)
	})
	t.Run("no entry is left", func(t *testing.T) { assertChoice(t, "", nil, []string{"a", "b", "c"}, false) })
}

// Guards against results that are missing from the report: each is counted in exactly one class, second and rank.
func TestTallyCountsEveryResult(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := Experiment{Duration: 3 * time.Second, Flows: []Flow{{Rank: "x"}, {Rank: "y"}, {Rank: "x"}}}
		tally := NewTally(e)
		n := rapid.IntRange(0, 50).Draw(t, "results")
		for range n {
			AddResult(tally, Result{
				Request: Request{
					FlowIndex:  rapid.IntRange(0, 2).Draw(t, "flow"),
					SendOffset: time.Duration(rapid.Int64Range(0, int64(e.Duration)-1).Draw(t, "at")),
				},
				Class:   rapid.SampledFrom(Classes).Draw(t, "class"),
				Latency: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "latency")),
			})
		}
		r := Summarize(tally, time.Time{})
		var byClass, byRank, bySecond int64
		for _, c := range Classes {
			byClass += CountClass(r, c)
		}
		for _, k := range r.Ranks {
			byRank += k.Offered
			for _, s := range k.Series {
				bySecond += s.Offered
			}
		}
		if byClass != int64(n) || byRank != int64(n) || bySecond != int64(n) {
			t.Fatalf("%d results: %d in classes, %d in ranks, %d in seconds", n, byClass, byRank, bySecond)
		}
	})
}

func allRequests(e Experiment) []Request {
	s := NewSchedule(e)
	var all []Request
	for {
		r, more := s.Next()
		if !more {
			return all
		}
		all = append(all, r)
	}
}

func sendOffsets(all []Request, flow int) []time.Duration {
	var list []time.Duration
	for _, r := range all {
		if r.FlowIndex == flow {
			list = append(list, r.SendOffset)
		}
	}
	return list
}

func assertCount(t *testing.T, all []Request, flow, from, to, want, tolerance int) {
	t.Helper()
	n := 0
	for _, at := range sendOffsets(all, flow) {
		if at >= time.Duration(from)*time.Second && at < time.Duration(to)*time.Second {
			n++
		}
	}
	is.New(t).True(n > want-tolerance && n < want+tolerance)
}

package load

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"egretline.example/egretline/pkg/fleet"
)

// Guards against a schedule that differs between runs, is out of order, or misses the configured rates.
func TestSchedule(t *testing.T) {
	e := Experiment{
		Seed:     7,
		Duration: 100 * time.Second,
		Tenants:  []Tenant{{Name: "a", Weight: 3}, {Name: "b", Weight: 1}},
		Flows:    []Flow{{Name: "x", RequestsPerSecond: 100}, {Name: "y", RequestsPerSecond: 10, Tenants: []string{"b"}}},
		Phases:   []Phase{{Flow: "x", From: 50 * time.Second, To: 60 * time.Second, Factor: 5}},
	}
	all := collect(e)

	t.Run("the same seed gives the same requests", func(t *testing.T) {
		is.New(t).True(slices.Equal(all, collect(e)))
	})
	t.Run("send times ascend", func(t *testing.T) {
		is.New(t).True(slices.IsSortedFunc(all, func(a, b Request) int { return int(a.At - b.At) }))
	})
	// The bounds are five standard deviations of the Poisson count, fixed by the seed.
	t.Run("the rate is kept outside the phase", func(t *testing.T) { assertCount(t, all, 0, 0, 50, 5000, 354) })
	t.Run("the rate is multiplied in the phase", func(t *testing.T) { assertCount(t, all, 0, 50, 60, 5000, 354) })
	t.Run("another flow is not affected", func(t *testing.T) { assertCount(t, all, 1, 0, 100, 1000, 159) })
	t.Run("a flow keeps to its tenants", func(t *testing.T) {
		for _, r := range all {
			is.New(t).True(r.Flow != 1 || r.Tenant == 1)
		}
	})
	t.Run("a change to one flow leaves the other as it is", func(t *testing.T) {
		changed := e
		changed.Flows = []Flow{e.Flows[0], {Name: "y", RequestsPerSecond: 20}}
		is.New(t).True(slices.Equal(times(all, 0), times(collect(changed), 0)))
	})
}

// Guards against results that are counted as a success without proof, such as a not-run that has a 200 status.
func TestJudge(t *testing.T) {
	whole := Reply{Connected: true, Status: 200, Outcome: fleet.Answered, Digest: DigestMatches}
	assertClass := func(t *testing.T, want Class, change func(*Reply)) {
		t.Helper()
		r := whole
		change(&r)
		is.New(t).Equal(Judge(r), want)
	}
	t.Run("answered", func(t *testing.T) { assertClass(t, Answered, func(*Reply) {}) })
	t.Run("error status", func(t *testing.T) { assertClass(t, AnsweredError, func(r *Reply) { r.Status = 500 }) })
	t.Run("broken", func(t *testing.T) { assertClass(t, TransportError, func(r *Reply) { r.Broken = true }) })
	t.Run("not connected", func(t *testing.T) { assertClass(t, NoEntry, func(r *Reply) { r.Connected = false }) })
	t.Run("no outcome", func(t *testing.T) { assertClass(t, NoOutcome, func(r *Reply) { r.Outcome = "" }) })
	t.Run("not run", func(t *testing.T) { assertClass(t, NotRun, func(r *Reply) { r.Outcome = fleet.NotRun }) })
	t.Run("unknown", func(t *testing.T) { assertClass(t, Unknown, func(r *Reply) { r.Outcome = fleet.Unknown }) })
	t.Run("digest", func(t *testing.T) { assertClass(t, DigestMismatch, func(r *Reply) { r.Digest = DigestDiffers }) })
	t.Run("crossed", func(t *testing.T) { assertClass(t, WrongResponse, func(r *Reply) { r.EchoWrong = true }) })
	t.Run("only answers within the target are good", func(t *testing.T) {
		is := is.New(t)
		is.True(Good(Answered, time.Second, time.Second))
		is.True(!Good(Answered, time.Second+1, time.Second))
		is.True(!Good(NotRun, 0, time.Second))
	})
}

// Guards against a caller that stays with a dead node, or gives up while a live one is listed.
func TestChoose(t *testing.T) {
	now := time.Unix(1000, 0)
	r := EntryResponse{Entries: []Entry{{Address: "a", KeyPrefix: "p"}, {Address: "b"}, {Address: "c", KeyPrefix: "q"}}}
	assertChoice := func(t *testing.T, want string, gone Gone, tried []string, keyed bool) {
		t.Helper()
		e, ok := Choose(r, gone, tried, keyed, now)
		is := is.New(t)
		is.Equal(e.Address, want)
		is.Equal(ok, want != "")
	}
	failed := Gone{"a": now.Add(-time.Second)}
	t.Run("the first entry", func(t *testing.T) { assertChoice(t, "a", nil, nil, false) })
	t.Run("the next after a failed one", func(t *testing.T) { assertChoice(t, "b", failed, nil, false) })
	t.Run("keyed requests need a prefix", func(t *testing.T) { assertChoice(t, "c", failed, nil, true) })
	t.Run("a failed one is the last resort", func(t *testing.T) { assertChoice(t, "a", failed, []string{"b", "c"}, false) })
	t.Run("a failed one is used again later", func(t *testing.T) {
		assertChoice(t, "a", Gone{"a": now.Add(-goneFor)}, nil, false)
	})
	t.Run("none is left", func(t *testing.T) { assertChoice(t, "", nil, []string{"a", "b", "c"}, false) })
}

// Guards against requests that vanish from the report: every result is in exactly one class, second and rank.
func TestTallyCountsEveryResult(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := Experiment{Duration: 3 * time.Second, Flows: []Flow{{Rank: "x"}, {Rank: "y"}, {Rank: "x"}}}
		tally := NewTally(e)
		n := rapid.IntRange(0, 50).Draw(t, "results")
		for range n {
			Add(tally, Result{
				Request: Request{
					Flow: rapid.IntRange(0, 2).Draw(t, "flow"),
					At:   time.Duration(rapid.Int64Range(0, int64(e.Duration)-1).Draw(t, "at")),
				},
				Class:   rapid.SampledFrom(Classes).Draw(t, "class"),
				Latency: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "latency")),
			})
		}
		r := Summarize(tally, time.Time{})
		var classes, offered, seconds int64
		for _, c := range Classes {
			classes += Count(r, c)
		}
		for _, k := range r.Ranks {
			offered += k.Offered
			for _, s := range k.Series {
				seconds += s.Offered
			}
		}
		if classes != int64(n) || offered != int64(n) || seconds != int64(n) {
			t.Fatalf("%d results: %d in classes, %d in ranks, %d in seconds", n, classes, offered, seconds)
		}
	})
}

func collect(e Experiment) []Request {
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

func times(all []Request, flow int) []time.Duration {
	var list []time.Duration
	for _, r := range all {
		if r.Flow == flow {
			list = append(list, r.At)
		}
	}
	return list
}

func assertCount(t *testing.T, all []Request, flow, from, to, want, tolerance int) {
	t.Helper()
	n := 0
	for _, at := range times(all, flow) {
		if at >= time.Duration(from)*time.Second && at < time.Duration(to)*time.Second {
			n++
		}
	}
	is.New(t).True(n > want-tolerance && n < want+tolerance) // count within five standard deviations
}

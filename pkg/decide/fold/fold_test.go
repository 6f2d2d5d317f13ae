package fold

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestStep(t *testing.T) {
	first := Apply{ID: "1", File: "a", Contents: []byte("x")}
	t.Run("the first of two applies with one base is accepted", func(t *testing.T) {
		s := assertVerdict(t, State{}, first, Accepted, 1)
		s = assertVerdict(t, s, Apply{ID: "2", File: "a"}, Conflict, 1)
		assertVerdict(t, s, Apply{ID: "3", File: "a", Base: 1}, Accepted, 3)
	})
	t.Run("an apply ID counts once", func(t *testing.T) {
		s := assertVerdict(t, State{}, first, Accepted, 1)
		s = assertVerdict(t, s, Apply{ID: "1", File: "a", Base: 1}, Accepted, 1)
		assertVerdict(t, s, Apply{ID: "2", File: "a", Base: 1}, Accepted, 3)
	})
	t.Run("a missing record is reported and not folded over", func(t *testing.T) {
		is := is.New(t)
		s, err := Step(State{Next: 3}, 5, first)
		is.True(errors.As(err, &GapError{}))
		is.Equal(s, State{Next: 3})
		_, err = Skip(State{Next: 3}, 5)
		is.True(errors.As(err, &GapError{}))
	})
	t.Run("the memory of decisions is bounded and forgets the oldest", func(t *testing.T) {
		is := is.New(t)
		s := State{}
		for i := range MaxDecisions + 2 {
			s, _ = Step(s, int64(i), Apply{ID: fmt.Sprint(i), File: "a", Base: s.Revision})
		}
		is.Equal(len(s.Decisions), MaxDecisions)
		_, remembered := s.Decisions["1"]
		is.True(!remembered)
		// A late duplicate of a forgotten apply must not be accepted again.
		assertVerdict(t, s, Apply{ID: "1", File: "a", Base: 1}, Conflict, s.Revision)
	})
	t.Run("the reason names both revisions", func(t *testing.T) {
		is := is.New(t)
		is.Equal(Reason(Decision{Verdict: Conflict, File: "a", Base: 4, Revision: 7}),
			"a is at revision 7, and the apply was made for revision 4")
	})
}

// Guards against states that depend on how the records were delivered: in which batches, and how often.
func TestDelivery(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawApply), 1, 30).Draw(r, "records")
		var once State
		for i, a := range records {
			once, _ = Step(once, int64(i), a)
		}
		var repeated State
		for repeated.Next < int64(len(records)) {
			from := rapid.Int64Range(0, repeated.Next).Draw(r, "from")
			to := rapid.Int64Range(repeated.Next, int64(len(records))).Draw(r, "to")
			for i := from; i < to; i++ {
				before := repeated.Next
				repeated, _ = Step(repeated, i, records[i])
				if repeated.Next < before {
					r.Fatalf("record %d took the state back from %d", i, before)
				}
			}
		}
		if !reflect.DeepEqual(once, repeated) {
			r.Fatalf("state %v differs from %v", repeated, once)
		}
	})
}

func drawApply(r *rapid.T) Apply {
	return Apply{
		ID:   rapid.SampledFrom([]string{"1", "2", "3", "4", "5", "6"}).Draw(r, "id"),
		File: rapid.SampledFrom([]string{"a", "b"}).Draw(r, "file"),
		Base: rapid.Int64Range(0, 8).Draw(r, "base"),
	}
}

// Guards against snapshots that are missing when the records expire, and against a lower revision in force.
func TestChoose(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	policy := SnapshotPolicy{Records: 10, Interval: time.Hour}
	t.Run("a snapshot is due", func(t *testing.T) {
		is := is.New(t)
		is.True(!SnapshotDue(State{}, Snapshot{}, policy, now))                                        // nothing to keep
		is.True(SnapshotDue(State{Next: 1}, Snapshot{}, policy, now))                                  // none is known
		is.True(!SnapshotDue(State{Next: 10}, Snapshot{Next: 1, Time: now}, policy, now))              // too few records
		is.True(SnapshotDue(State{Next: 11}, Snapshot{Next: 1, Time: now}, policy, now))               // enough records
		is.True(SnapshotDue(State{Next: 1}, Snapshot{Next: 1, Time: now}, policy, now.Add(time.Hour))) // old
		is.True(!SnapshotDue(State{Next: 1}, Snapshot{Next: 2, Time: now}, policy, now.Add(time.Hour)))
	})
	t.Run("only a state that is ahead supersedes", func(t *testing.T) {
		is := is.New(t)
		is.True(Supersedes(State{Next: 2, Revision: 1}, State{Next: 1, Revision: 1}))
		is.True(!Supersedes(State{Next: 1, Revision: 1}, State{Next: 1, Revision: 1}))
		is.True(!Supersedes(State{Next: 2, Revision: 1}, State{Next: 1, Revision: 2}))
	})
	t.Run("the highest revision of several peers wins", func(t *testing.T) {
		is := is.New(t)
		best, found := Highest([]State{{Next: 9, Revision: 3}, {Next: 6, Revision: 5}, {Next: 7, Revision: 5}, {}})
		is.True(found)
		is.Equal(best.Next, int64(7))
		_, found = Highest([]State{{}, {}})
		is.True(!found)
	})
}

func assertVerdict(t *testing.T, s State, a Apply, v Verdict, revision int64) State {
	t.Helper()
	is := is.New(t)
	before := fmt.Sprint(s)
	next, err := Step(s, s.Next, a)
	is.NoErr(err)
	is.Equal(fmt.Sprint(s), before) // the state before is not changed, because readers may hold it
	is.Equal(next.Decisions[a.ID].Verdict, v)
	is.Equal(next.Files[a.File].Revision, revision)
	return next
}

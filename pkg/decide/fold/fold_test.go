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
	t.Run("of two applies with the same base, the first is accepted", func(t *testing.T) {
		s := assertVerdict(t, State{}, first, Accepted, 1)
		s = assertVerdict(t, s, Apply{ID: "2", File: "a"}, Conflict, 1)
		assertVerdict(t, s, Apply{ID: "3", File: "a", Base: 1}, Accepted, 3)
	})
	t.Run("an apply ID is decided only once", func(t *testing.T) {
		s := assertVerdict(t, State{}, first, Accepted, 1)
		s = assertVerdict(t, s, Apply{ID: "1", File: "a", Base: 1}, Accepted, 1)
		assertVerdict(t, s, Apply{ID: "2", File: "a", Base: 1}, Accepted, 3)
	})
	t.Run("a record after a gap is reported and not applied", func(t *testing.T) {
		is := is.New(t)
		s, err := Step(State{Next: 3}, 5, first)
		is.True(errors.As(err, &GapError{}))
		is.Equal(s, State{Next: 3})
		_, err = Skip(State{Next: 3}, 5)
		is.True(errors.As(err, &GapError{}))
	})
	t.Run("the number of decisions is bounded and the oldest is dropped", func(t *testing.T) {
		is := is.New(t)
		s := State{}
		for i := range MaxDecisions + 2 {
			s, _ = Step(s, int64(i), Apply{ID: fmt.Sprint(i), File: "a", Base: s.Revision})
		}
		is.Equal(len(s.Decisions), MaxDecisions)
		_, kept := s.Decisions["1"]
		is.True(!kept)
		// A delayed duplicate of an apply whose decision was dropped must not be accepted again.
		assertVerdict(t, s, Apply{ID: "1", File: "a", Base: 1}, Conflict, s.Revision)
	})
	t.Run("the reason names both revisions", func(t *testing.T) {
		is := is.New(t)
		is.Equal(Reason(Decision{Verdict: Conflict, File: "a", Base: 4, Revision: 7}),
			"a is at revision 7, and the apply was made for revision 4")
	})
}

// Guards against a state that depends on the batches in which records were delivered, or on repeated delivery.
func TestDelivery(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawApply), 1, 30).Draw(r, "records")
		var inOrder State
		for i, a := range records {
			inOrder, _ = Step(inOrder, int64(i), a)
		}
		var repeated State
		for repeated.Next < int64(len(records)) {
			from := rapid.Int64Range(0, repeated.Next).Draw(r, "from")
			to := rapid.Int64Range(repeated.Next, int64(len(records))).Draw(r, "to")
			for i := from; i < to; i++ {
				before := repeated.Next
				repeated, _ = Step(repeated, i, records[i])
				if repeated.Next < before {
					r.Fatalf("record %d moved the state back from offset %d", i, before)
				}
			}
		}
		if !reflect.DeepEqual(inOrder, repeated) {
			r.Fatalf("state %v differs from %v", repeated, inOrder)
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

// Guards against records that expire before a snapshot covers them, and against adopting a state of a lower revision.
func TestChoose(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	policy := SnapshotPolicy{MaxRecords: 10, MaxAge: time.Hour}
	t.Run("a snapshot is due", func(t *testing.T) {
		is := is.New(t)
		is.True(!SnapshotDue(State{}, Snapshot{}, policy, now))                                        // empty state
		is.True(SnapshotDue(State{Next: 1}, Snapshot{}, policy, now))                                  // no snapshot is known
		is.True(!SnapshotDue(State{Next: 10}, Snapshot{Next: 1, Time: now}, policy, now))              // fewer records
		is.True(SnapshotDue(State{Next: 11}, Snapshot{Next: 1, Time: now}, policy, now))               // enough records
		is.True(SnapshotDue(State{Next: 1}, Snapshot{Next: 1, Time: now}, policy, now.Add(time.Hour))) // old snapshot
		is.True(!SnapshotDue(State{Next: 1}, Snapshot{Next: 2, Time: now}, policy, now.Add(time.Hour)))
	})
	t.Run("only a state that is ahead supersedes", func(t *testing.T) {
		is := is.New(t)
		is.True(Supersedes(State{Next: 2, Revision: 1}, State{Next: 1, Revision: 1}))
		is.True(!Supersedes(State{Next: 1, Revision: 1}, State{Next: 1, Revision: 1}))
		is.True(!Supersedes(State{Next: 2, Revision: 1}, State{Next: 1, Revision: 2}))
	})
	t.Run("the state with the highest revision is selected", func(t *testing.T) {
		is := is.New(t)
		best, found := HighestRevision([]State{{Next: 9, Revision: 3}, {Next: 6, Revision: 5}, {Next: 7, Revision: 5}, {}})
		is.True(found)
		is.Equal(best.Next, int64(7))
		_, found = HighestRevision([]State{{}, {}})
		is.True(!found)
	})
}

func assertVerdict(t *testing.T, s State, a Apply, v Verdict, revision int64) State {
	t.Helper()
	is := is.New(t)
	before := fmt.Sprint(s)
	next, err := Step(s, s.Next, a)
	is.NoErr(err)
	is.Equal(fmt.Sprint(s), before) // the previous state is not modified, because readers may still use it
	is.Equal(next.Decisions[a.ID].Verdict, v)
	is.Equal(next.Files[a.File].Revision, revision)
	return next
}

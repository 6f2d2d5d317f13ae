package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func records(list ...Record) Batch {
	b := Batch{Records: list, AsOf: start, Every: true}
	for _, r := range list {
		b.Next = max(b.Next, r.Offset+1)
	}
	return b
}

func record(key, value string, offset int64) Record {
	return Record{Key: key, Value: []byte(value), Offset: offset}
}

func assertValues(t *testing.T, s *State, want map[string]string) {
	t.Helper()
	got := map[string]string{}
	for key, r := range s.Records {
		got[key] = string(r.Value)
	}
	is.New(t).Equal(got, want)
}

func TestApply(t *testing.T) {
	// Guards against a configuration or registration that goes back.
	t.Run("an older record changes nothing", func(t *testing.T) {
		var s State
		Apply(&s, records(record("a", "new", 5)), nil, start)
		c := Apply(&s, records(record("a", "old", 3)), nil, start)
		is.New(t).True(c.Empty())
		assertValues(t, &s, map[string]string{"a": "new"})
	})
	t.Run("a removed key does not come back by an older record", func(t *testing.T) {
		var s State
		Apply(&s, records(record("a", "x", 1)), nil, start)
		Apply(&s, records(record("a", "", 4)), nil, start)
		Apply(&s, records(record("a", "x", 3)), nil, start)
		assertValues(t, &s, map[string]string{})
		Apply(&s, records(record("a", "again", 6)), nil, start)
		assertValues(t, &s, map[string]string{"a": "again"})
	})
	t.Run("a whole batch removes what it lacks, but not what is newer", func(t *testing.T) {
		var s State
		Apply(&s, records(record("a", "x", 1), record("b", "y", 9)), nil, start)
		b := records(record("c", "z", 2))
		b.Next, b.Whole, b.Every = 5, true, false
		c := Apply(&s, b, nil, start)
		is.New(t).Equal(c.Removed, []string{"a"})
		assertValues(t, &s, map[string]string{"b": "y", "c": "z"})
	})
	t.Run("a heartbeat is no change", func(t *testing.T) {
		var s State
		same := func(a, b []byte) bool { return a[0] == b[0] }
		Apply(&s, records(record("a", "x1", 1)), same, start)
		is.New(t).True(Apply(&s, records(record("a", "x2", 2)), same, start).Empty())
		is.New(t).Equal(len(Delta(&s, 2).Records), 0)
	})
	t.Run("a log that was out of reach is noted", func(t *testing.T) {
		var s State
		Apply(&s, Batch{AsOf: start}, nil, start)
		Apply(&s, Batch{AsOf: start.Add(time.Second)}, nil, start.Add(time.Second))
		is.New(t).True(s.Regained.IsZero())
		back := start.Add(5 * time.Second)
		Apply(&s, Batch{AsOf: back}, nil, back)
		is.New(t).Equal(s.Regained, back)
	})
}

func TestEqualValues(t *testing.T) {
	// Guards against a backend server that stays unknown: one copy saw its entry go, and another one, which saw it only
	// before and after, took the new entry for the old one.
	t.Run("a key that came back with the same value reaches a copy that saw it go", func(t *testing.T) {
		var near, far State
		Apply(&near, records(record("a", "x", 1)), nil, start)
		Apply(&far, records(record("a", "x", 1), record("a", "", 2)), nil, start)
		b := records(record("a", "x", 3))
		b.Every = false
		Apply(&near, b, nil, start)
		Apply(&far, Delta(&near, far.Next), nil, start)
		assertValues(t, &far, map[string]string{"a": "x"})
	})
}

// Guards against copies that differ by the order in which they learned of changes.
func TestCopiesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log, near, far State
		for offset := range int64(rapid.IntRange(1, 40).Draw(t, "records")) {
			key := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key"))
			value := rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "value")
			Apply(&log, records(record(key, value, offset)), nil, start)
			if rapid.Bool().Draw(t, "near reads") {
				Apply(&near, Delta(&log, near.Next), nil, start)
			}
			if rapid.Bool().Draw(t, "far asks near") {
				Apply(&far, Delta(&near, far.Next), nil, start)
			}
			if rapid.Bool().Draw(t, "far gets an answer to an old request") {
				Apply(&far, Delta(&log, min(offset/2, far.Next)), nil, start)
			}
		}
		Apply(&near, Delta(&log, near.Next), nil, start)
		Apply(&far, Delta(&near, far.Next), nil, start)
		for key, r := range log.Records {
			if string(far.Records[key].Value) != string(r.Value) {
				t.Fatalf("key %s is %q in the copy and %q in the log", key, far.Records[key].Value, r.Value)
			}
		}
		if len(far.Records) != len(log.Records) {
			t.Fatalf("the copy has %d keys, the log %d", len(far.Records), len(log.Records))
		}
	})
}

// TestOneBatch guards against entries that expired and came back within one batch, as after an absence of the log: taken as
// removed, all backend servers were dropped.
func TestOneBatch(t *testing.T) {
	remove := func(offset int64) Record { return Record{Key: "k", Offset: offset} }
	enter := func(offset int64) Record { return Record{Key: "k", Value: []byte("v"), Offset: offset} }
	for name, c := range map[string]struct {
		records      []Record
		set, removed int
	}{
		"removed and entered again": {[]Record{remove(2), enter(3)}, 1, 0},
		"entered and removed":       {[]Record{enter(2), remove(3)}, 0, 1},
		"removed, entered, removed": {[]Record{remove(2), enter(3), remove(4)}, 0, 1},
		"removed twice":             {[]Record{remove(2), remove(3)}, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &State{}
			Apply(s, Batch{Records: []Record{enter(1)}, Next: 2, Every: true, AsOf: time.Now()}, nil, time.Now())
			last := c.records[len(c.records)-1].Offset
			changes := Apply(s, Batch{Records: c.records, Next: last + 1, Every: true, AsOf: time.Now()}, nil, time.Now())
			is.Equal(len(changes.Set), c.set)
			is.Equal(len(changes.Removed), c.removed)
		})
	}
}

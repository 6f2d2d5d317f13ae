package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"egretline.example/egretline/internal/decide/pause"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func batchOf(list ...Record) Batch {
	b := Batch{Records: list, AsOf: startTime, Uncompacted: true}
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
	// Guards against a configuration or registration that reverts to an older one.
	t.Run("an older record changes nothing", func(t *testing.T) {
		var s State
		Apply(&s, batchOf(record("a", "new", 5)), nil, startTime)
		c := Apply(&s, batchOf(record("a", "old", 3)), nil, startTime)
		is.New(t).True(c.Empty())
		assertValues(t, &s, map[string]string{"a": "new"})
	})
	t.Run("an older record does not restore a removed key", func(t *testing.T) {
		var s State
		Apply(&s, batchOf(record("a", "x", 1)), nil, startTime)
		Apply(&s, batchOf(record("a", "", 4)), nil, startTime)
		Apply(&s, batchOf(record("a", "x", 3)), nil, startTime)
		assertValues(t, &s, map[string]string{})
		Apply(&s, batchOf(record("a", "again", 6)), nil, startTime)
		assertValues(t, &s, map[string]string{"a": "again"})
	})
	t.Run("a batch of the whole topic removes missing keys, except newer ones", func(t *testing.T) {
		var s State
		// b was written while the pages of the newest records were read.
		first := batchOf(record("a", "x", 1), record("b", "y", 9))
		first.Next, first.Full, first.Uncompacted = 4, true, false
		Apply(&s, first, nil, startTime)
		b := batchOf(record("c", "z", 4))
		b.Next, b.Full, b.Uncompacted = 5, true, false
		c := Apply(&s, b, nil, startTime)
		is.New(t).Equal(c.Removed, []string{"a"})
		assertValues(t, &s, map[string]string{"b": "y", "c": "z"})
	})
	t.Run("a record with an equal value is not reported as a change", func(t *testing.T) {
		var s State
		equal := func(a, b []byte) bool { return a[0] == b[0] }
		Apply(&s, batchOf(record("a", "x1", 1)), equal, startTime)
		is.New(t).True(Apply(&s, batchOf(record("a", "x2", 2)), equal, startTime).Empty())
		is.New(t).Equal(len(Delta(&s, 0, 2).Records), 0)
	})
	t.Run("the end of a log outage is recorded", func(t *testing.T) {
		var s State
		Apply(&s, Batch{AsOf: startTime}, nil, startTime)
		Apply(&s, Batch{AsOf: startTime.Add(time.Second)}, nil, startTime.Add(time.Second))
		is.New(t).True(s.OutageEnd.IsZero())
		back := startTime.Add(5 * time.Second)
		Apply(&s, Batch{AsOf: back}, nil, back)
		is.New(t).Equal(s.OutageEnd, back)
	})
}

// assertOutageEnd applies a batch and compares the end of the last outage that the replica knows of; zero if it knows of none.
func assertOutageEnd(t *testing.T, s *State, b Batch, want time.Time) {
	t.Helper()
	Apply(s, b, nil, b.AsOf)
	is.New(t).Equal(s.OutageEnd, want)
}

// Guards against a pause of a process that is taken for an outage of the log: the removals of servers that have left were then held
// for 2.5 s, at the node that was paused and at those that started with its copy (docs/incidents/041).
func TestPauseIsNoOutage(t *testing.T) {
	const length = 3 * time.Second
	before, after := startTime, startTime.Add(length+time.Second)
	paused := func() *State {
		s := &State{}
		Apply(s, Batch{AsOf: before, Full: true}, nil, before)
		ObservePause(s, pause.Pause{Length: length})
		return s
	}
	t.Run("at the node that was paused", func(t *testing.T) {
		s := paused()
		assertOutageEnd(t, s, Batch{AsOf: after}, time.Time{})
		is.New(t).Equal(s.Paused, time.Duration(0))
	})
	t.Run("at a node that started with its copy", func(t *testing.T) {
		var s State
		assertOutageEnd(t, &s, Delta(paused(), 0, 0), time.Time{})
		assertOutageEnd(t, &s, Batch{AsOf: after}, time.Time{})
	})
	t.Run("an outage beside a short pause is noticed", func(t *testing.T) {
		end := after.Add(minOutageDuration)
		assertOutageEnd(t, paused(), Batch{AsOf: end}, end)
	})
	t.Run("a process that was paused learns of an outage from a peer", func(t *testing.T) {
		end := after.Add(-100 * time.Millisecond)
		assertOutageEnd(t, paused(), Batch{AsOf: after, OutageEnd: end}, end)
	})
	// A peer that was cut off takes that for an outage.
	t.Run("a process that was not paused does not", func(t *testing.T) {
		var s State
		Apply(&s, Batch{AsOf: after, Full: true}, nil, after)
		assertOutageEnd(t, &s, Batch{AsOf: after.Add(time.Second), OutageEnd: after}, time.Time{})
	})
	t.Run("a suspended host counts the time that its clock missed", func(t *testing.T) {
		s := &State{}
		Apply(s, Batch{AsOf: before, Full: true}, nil, before)
		ObservePause(s, pause.Pause{Length: length, Hidden: length})
		is.New(t).Equal(Age(s, before.Add(time.Second)), length+time.Second)
		assertOutageEnd(t, s, Batch{AsOf: before.Add(time.Second)}, time.Time{})
	})
}

func TestEqualValues(t *testing.T) {
	// Guards against a backend server that stays unknown to a node. One replica recorded the removal of its registration;
	// another one missed the removal and took the new registration for the old one.
	t.Run("a key set again to the same value reaches a replica that recorded the removal", func(t *testing.T) {
		var direct, indirect State
		Apply(&direct, batchOf(record("a", "x", 1)), nil, startTime)
		Apply(&indirect, batchOf(record("a", "x", 1), record("a", "", 2)), nil, startTime)
		b := batchOf(record("a", "x", 3))
		b.Uncompacted = false
		Apply(&direct, b, nil, startTime)
		Apply(&indirect, Delta(&direct, 0, indirect.Next), nil, startTime)
		assertValues(t, &indirect, map[string]string{"a": "x"})
	})
}

// Guards against replicas that diverge because they received changes in a different order.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log, direct, indirect State
		for offset := range int64(rapid.IntRange(1, 40).Draw(t, "records")) {
			key := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key"))
			value := rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "value")
			Apply(&log, batchOf(record(key, value, offset)), nil, startTime)
			if rapid.Bool().Draw(t, "direct reads") {
				Apply(&direct, Delta(&log, 0, direct.Next), nil, startTime)
			}
			if rapid.Bool().Draw(t, "indirect asks direct") {
				Apply(&indirect, Delta(&direct, 0, indirect.Next), nil, startTime)
			}
			if rapid.Bool().Draw(t, "indirect gets an answer to an old request") {
				Apply(&indirect, Delta(&log, 0, min(offset/2, indirect.Next)), nil, startTime)
			}
		}
		Apply(&direct, Delta(&log, 0, direct.Next), nil, startTime)
		Apply(&indirect, Delta(&direct, 0, indirect.Next), nil, startTime)
		for key, r := range log.Records {
			if string(indirect.Records[key].Value) != string(r.Value) {
				t.Fatalf("key %s is %q in the replica and %q in the log", key, indirect.Records[key].Value, r.Value)
			}
		}
		if len(indirect.Records) != len(log.Records) {
			t.Fatalf("the replica has %d keys, the log has %d", len(indirect.Records), len(log.Records))
		}
	})
}

// Guards against registrations that expire and return within one batch, as happens after a log outage. When they were
// taken as removed, all backend servers were dropped.
func TestOneBatch(t *testing.T) {
	remove := func(offset int64) Record { return Record{Key: "k", Offset: offset} }
	set := func(offset int64) Record { return Record{Key: "k", Value: []byte("v"), Offset: offset} }
	for name, c := range map[string]struct {
		records      []Record
		set, removed int
	}{
		"removed and set again": {[]Record{remove(2), set(3)}, 1, 0},
		"set and removed":       {[]Record{set(2), remove(3)}, 0, 1},
		"removed, set, removed": {[]Record{remove(2), set(3), remove(4)}, 0, 1},
		"removed twice":         {[]Record{remove(2), remove(3)}, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &State{}
			Apply(s, Batch{Records: []Record{set(1)}, Next: 2, Uncompacted: true, AsOf: time.Now()}, nil, time.Now())
			last := c.records[len(c.records)-1].Offset
			changes := Apply(s, Batch{Records: c.records, Next: last + 1, Uncompacted: true, AsOf: time.Now()}, nil, time.Now())
			is.Equal(len(changes.Set), c.set)
			is.Equal(len(changes.Removed), c.removed)
		})
	}
}

// Guards against a backend server that is used for good after it has left. A replica that had to read the newest records,
// because the log had expired, never knew the server, and told another replica that did nothing of its removal.
func TestFullBatch(t *testing.T) {
	t.Run("a key that was set and removed in the part that was not read is removed from other replicas", func(t *testing.T) {
		var behind, current State
		Apply(&behind, batchOf(record("other", "x", 5)), nil, startTime)
		Apply(&current, batchOf(record("other", "x", 5), record("k", "y", 12)), nil, startTime)
		newest := batchOf(record("other", "x", 5))
		newest.Next, newest.Full, newest.Uncompacted = 20, true, false // k was removed at 15
		Apply(&behind, newest, nil, startTime)
		Apply(&current, Delta(&behind, 0, current.Next), nil, startTime)
		assertValues(t, &current, map[string]string{"other": "x"})
	})
	t.Run("a replica that has read on gets only changes", func(t *testing.T) {
		var s State
		newest := batchOf(record("other", "x", 5))
		newest.Next, newest.Full, newest.Uncompacted = 20, true, false
		Apply(&s, newest, nil, startTime)
		Apply(&s, batchOf(record("k", "y", 21)), nil, startTime)
		delta := Delta(&s, 0, 20)
		is.New(t).True(!delta.Full)
		is.New(t).Equal(len(delta.Records), 1)
	})
}

// Guards against requests to a backend server that has left. A node that started after the removal got its first copy from
// a node that had seen the removal, and then an older copy, which added the server again: the replica had no tombstone.
func TestLateCopy(t *testing.T) {
	removed := func() *State {
		var s State
		newest := batchOf(record("other", "x", 5))
		newest.Next, newest.Full, newest.Uncompacted = 9, true, false // k, set at 2, was removed at 8
		Apply(&s, newest, nil, startTime)
		return &s
	}
	older := func(full, uncompacted bool) Batch {
		b := batchOf(record("k", "y", 2), record("other", "x", 5))
		b.Next, b.Full, b.Uncompacted = 7, full, uncompacted
		return b
	}
	for name, late := range map[string]Batch{
		"a full copy": older(true, false), "a delta": older(false, false), "a read of the log": older(false, true),
	} {
		t.Run(name+" from before the removal does not restore the key", func(t *testing.T) {
			s := removed()
			is.New(t).True(Apply(s, late, nil, startTime).Empty())
			assertValues(t, s, map[string]string{"other": "x"})
		})
	}
	t.Run("a key that is set again after the removal is added", func(t *testing.T) {
		s := removed()
		Apply(s, older(true, false), nil, startTime)
		Apply(s, batchOf(record("k", "y", 9)), nil, startTime)
		assertValues(t, s, map[string]string{"k": "y", "other": "x"})
	})
	t.Run("the replica does not pass the key on", func(t *testing.T) {
		var started State
		s := removed()
		Apply(s, older(true, false), nil, startTime)
		Apply(&started, Delta(s, 0, started.Next), nil, startTime)
		assertValues(t, &started, map[string]string{"other": "x"})
	})
}

// Guards against a node that ignores all registrations after the log has come back from an older copy. The offsets start
// again below those that the replica had reached.
func TestEra(t *testing.T) {
	copyOf := func(era int64, list ...Record) Batch {
		b := batchOf(list...)
		b.Era, b.Full, b.Uncompacted = era, true, false
		return b
	}
	before := func() *State {
		var s State
		Apply(&s, copyOf(1, record("a", "x", 3), record("b", "y", 90)), nil, startTime)
		return &s
	}
	t.Run("a copy of a later era replaces the replica", func(t *testing.T) {
		s := before()
		c := Apply(s, copyOf(2, record("a", "x", 3), record("c", "z", 40)), nil, startTime)
		is := is.New(t)
		is.Equal(c.Removed, []string{"b"})
		is.Equal(len(c.Set), 1)
		is.Equal(s.Next, int64(41))
		assertValues(t, s, map[string]string{"a": "x", "c": "z"})
	})
	t.Run("what the log lost counts as removed during an outage", func(t *testing.T) {
		s := before()
		later := startTime.Add(time.Second)
		Apply(s, copyOf(2, record("a", "x", 3)), nil, later)
		is.New(t).Equal(s.OutageEnd, later)
	})
	t.Run("the first copy of a replica ends no outage", func(t *testing.T) { is.New(t).True(before().OutageEnd.IsZero()) })
	t.Run("records of the later era are added at low offsets", func(t *testing.T) {
		s := before()
		Apply(s, copyOf(2, record("a", "x", 3)), nil, startTime)
		next := batchOf(record("b", "new", 4))
		next.Era = 2
		Apply(s, next, nil, startTime)
		assertValues(t, s, map[string]string{"a": "x", "b": "new"})
	})
	t.Run("a late batch of an earlier era changes nothing", func(t *testing.T) {
		s := before()
		Apply(s, copyOf(2, record("a", "x", 3)), nil, startTime)
		late := batchOf(record("b", "y", 95))
		late.Era = 1
		is := is.New(t)
		is.True(Apply(s, late, nil, startTime).Empty())
		is.True(Apply(s, copyOf(1, record("b", "y", 95)), nil, startTime).Empty())
		is.Equal(s.Next, int64(4))
	})
	t.Run("a partial batch of a later era changes nothing", func(t *testing.T) {
		s := before()
		partial := batchOf(record("b", "new", 95))
		partial.Era = 2
		is := is.New(t)
		is.True(Apply(s, partial, nil, startTime).Empty())
		is.Equal(s.Era, int64(1))
	})
	t.Run("a replica of an earlier era gets a full copy", func(t *testing.T) {
		s := before()
		is := is.New(t)
		is.True(Delta(s, 0, 200).Full)
		is.Equal(len(Delta(s, 2, 0).Records), 0)
	})
}

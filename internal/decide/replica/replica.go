// Package replica keeps a node's copy of a topic of the log that holds the newest record of each key. Copies are brought
// up to date from the log or from each other; the offset of a record decides which of two is newer, so that the order in
// which they arrive does not matter and a copy never goes back.
package replica

import (
	"bytes"
	"slices"
	"time"
)

// maxTombstones bounds the removed keys that a copy remembers. A copy that is further behind gets a whole copy.
const maxTombstones = 4096

// outOfReach is the time without contact, directly or by way of a peer, from which on the log counts as having been out
// of reach. It is below three heartbeats of a backend server, after which entries expire.
const outOfReach = 2500 * time.Millisecond

// Record is the newest record of a key. A record without a value removes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Batch is a part of a topic, or all of it.
type Batch struct {
	Records []Record
	// Next is the offset that follows the part.
	Next int64
	// Whole says that keys without a record in the batch do not exist.
	Whole bool
	// Every says that the batch holds every record of its part, as a read of the log does. Other batches hold the newest
	// record of a key only and may pass over a removal between two equal values.
	Every bool
	// AsOf is a time at which the log held nothing newer.
	AsOf time.Time
}

// State is a copy of one topic. The zero value is empty.
type State struct {
	Records map[string]Record
	// Removed holds the offset of the removal of each key that no longer exists.
	Removed map[string]int64
	// Since is the offset from which on the copy can tell every change.
	Since int64
	Next  int64
	// AsOf is the newest time for which the copy is known to have been complete; zero if it is empty.
	AsOf time.Time
	// Regained is when the copy was brought up to date after the log had been out of reach; zero if it never was.
	Regained time.Time
}

// Changes lists what a batch changed.
type Changes struct {
	Set     []Record
	Removed []string
}

// Empty says that nothing changed.
func (c Changes) Empty() bool { return len(c.Set)+len(c.Removed) == 0 }

// Apply brings the copy up to the batch. Records for which same returns true are no change; a nil same compares the bytes.
func Apply(s *State, b Batch, same func(a, b []byte) bool, now time.Time) Changes {
	if s.Records == nil {
		s.Records, s.Removed = map[string]Record{}, map[string]int64{}
	}
	if same == nil {
		same = bytes.Equal
	}
	if !s.AsOf.IsZero() && b.AsOf.Sub(s.AsOf) > outOfReach {
		s.Regained = now
	}
	var c Changes
	for _, r := range b.Records {
		set(s, r, b.Every, same, &c)
	}
	if b.Whole {
		drop(s, b, &c)
	}
	c.settle(s)
	s.Next = max(s.Next, b.Next)
	if b.AsOf.After(s.AsOf) {
		s.AsOf = b.AsOf
	}
	forget(s)
	return c
}

// settle leaves the last change of each key. A batch may hold the removal of a key and its return.
func (c *Changes) settle(s *State) {
	c.Set = slices.DeleteFunc(c.Set, func(r Record) bool {
		current, known := s.Records[r.Key]
		return !known || current.Offset != r.Offset
	})
	slices.Sort(c.Removed)
	c.Removed = slices.DeleteFunc(slices.Compact(c.Removed), func(key string) bool {
		_, known := s.Records[key]
		return known
	})
}

func set(s *State, r Record, every bool, same func(a, b []byte) bool, c *Changes) {
	old, known := s.Records[r.Key]
	if known && old.Offset >= r.Offset || s.Removed[r.Key] > r.Offset {
		return
	}
	if len(r.Value) == 0 {
		remove(s, r.Key, r.Offset, c)
		return
	}
	delete(s.Removed, r.Key)
	equal := known && same(old.Value, r.Value)
	if equal && every {
		return
	}
	// The offset is passed on even if the value is equal: another copy may know of a removal before it.
	s.Records[r.Key] = r
	if !equal {
		c.Set = append(c.Set, r)
	}
}

func remove(s *State, key string, offset int64, c *Changes) {
	_, known := s.Records[key]
	delete(s.Records, key)
	s.Removed[key] = offset
	if known {
		c.Removed = append(c.Removed, key)
	}
}

// drop removes the keys that a whole batch lacks.
func drop(s *State, b Batch, c *Changes) {
	listed := make(map[string]bool, len(b.Records))
	for _, r := range b.Records {
		listed[r.Key] = true
	}
	for key, r := range s.Records {
		if !listed[key] && r.Offset < b.Next {
			remove(s, key, b.Next-1, c)
		}
	}
	if s.Next == 0 {
		s.Since = b.Next
	}
}

// forget drops the removals if there are too many of them. Copies that are behind get a whole copy from then on.
func forget(s *State) {
	if len(s.Removed) <= maxTombstones {
		return
	}
	clear(s.Removed)
	s.Since = s.Next
}

// Delta returns what a copy that has everything before the offset lacks.
func Delta(s *State, next int64) Batch {
	b := Batch{Next: s.Next, AsOf: s.AsOf, Whole: next < s.Since}
	for _, r := range s.Records {
		if b.Whole || r.Offset >= next {
			b.Records = append(b.Records, r)
		}
	}
	for key, offset := range s.Removed {
		if !b.Whole && offset >= next {
			b.Records = append(b.Records, Record{Key: key, Offset: offset})
		}
	}
	return b
}

// Age returns how old the copy may be. A copy that was never complete has the longest age.
func Age(s *State, now time.Time) time.Duration {
	if s.AsOf.IsZero() {
		return 1<<63 - 1
	}
	return max(now.Sub(s.AsOf), 0)
}

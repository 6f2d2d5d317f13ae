// Package replica maintains a node's replica of a compacted topic, which holds the newest record of each key. Replicas
// are updated from the log or from each other. A replica is complete up to an offset and ignores records below it; of two
// records of a key above it the one with the higher offset wins. The order in which batches arrive does not matter, and a
// replica never reverts to an older record.
//
// Offsets are comparable within one era of the log only. The log begins a new era when it comes back from an older copy: what
// was written after that copy is lost, and its offsets are given out again. A replica enters a new era with a copy of the whole
// topic, and ignores batches of earlier ones.
package replica

import (
	"bytes"
	"slices"
	"time"

	"egretline.example/egretline/internal/decide/pause"
)

// maxTombstones bounds the number of tombstones in a replica. A peer that lags behind further gets a full copy.
const maxTombstones = 4096

// minOutageDuration is the time without contact to the log, direct or through a peer, above which the log counts as
// having been unavailable. It is shorter than three heartbeats of a backend server, after which registrations expire.
const minOutageDuration = 2500 * time.Millisecond

// Record is the newest record of a key. A record with an empty value removes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Batch holds the records of an offset range of a topic, or of the whole topic.
type Batch struct {
	Records []Record
	// Era is the era of the log that the offsets belong to.
	Era int64
	// Next is the offset that follows the range.
	Next int64
	// Full is set if the batch covers the whole topic. Keys without a record in the batch then do not exist.
	Full bool
	// Uncompacted is set if the batch holds every record of its range, as a read of the log does. Other batches hold only
	// the newest record of each key and may omit a removal between two equal values.
	Uncompacted bool
	// Incomplete is set if the log held further records that were not read. AsOf is then zero.
	Incomplete bool
	// AsOf is a time at which the log held no newer record.
	AsOf time.Time
	// Paused is the part of the time since AsOf in which the process of the sender was paused.
	Paused time.Duration
	// OutageEnd is the end of the last outage of the log that the sender noticed; zero if there was none.
	OutageEnd time.Time
}

// State is a replica of one topic. The zero value is an empty replica.
type State struct {
	Records map[string]Record
	// Tombstones holds the offset at which each removed key was removed.
	Tombstones map[string]int64
	// DeltasFrom is the lowest offset from which the replica can return every change. Older requests get a full copy.
	DeltasFrom int64
	// Era is the era of the log that all offsets belong to.
	Era  int64
	Next int64
	// AsOf is the newest time at which the replica is known to have been complete; zero if it never was.
	AsOf time.Time
	// Paused is the part of the time since AsOf in which the process that had the replica was paused. The log may have been
	// available meanwhile.
	Paused time.Duration
	// OutageEnd is the time of the last update that ended an outage of the log or began an era; zero if there was none.
	OutageEnd time.Time
}

// Changes lists the records and the removed keys that a batch changed in the replica.
type Changes struct {
	Set     []Record
	Removed []string
}

// Empty reports whether nothing changed.
func (c Changes) Empty() bool { return len(c.Set)+len(c.Removed) == 0 }

// Apply updates the replica with the batch. A record whose value equals the old one according to equal is not reported
// as a change; a nil equal compares the bytes. A batch of an earlier era, or a partial one of a later era, changes nothing.
func Apply(s *State, b Batch, equal func(a, b []byte) bool, now time.Time) Changes {
	if s.Records == nil {
		s.Records, s.Tombstones = map[string]Record{}, map[string]int64{}
	}
	if b.Era < s.Era || b.Era > s.Era && !b.Full {
		return Changes{}
	}
	if equal == nil {
		equal = bytes.Equal
	}
	if b.Era > s.Era {
		beginEra(s, b.Era, now)
	}
	observeOutage(s, b, now)
	var c Changes
	for _, r := range b.Records {
		applyRecord(s, r, b.Uncompacted, equal, &c)
	}
	if b.Full {
		removeUnlisted(s, b, &c)
	}
	c.keepFinalChanges(s)
	s.Next = max(s.Next, b.Next)
	if b.AsOf.After(s.AsOf) {
		s.AsOf, s.Paused = b.AsOf, b.Paused
	}
	trimTombstones(s)
	return c
}

// observeOutage records the end of an outage of the log. A process that was paused cannot tell how long the log was silent, and
// takes the word of a peer for it. Otherwise peers are not believed: one that was cut off takes that for an outage.
func observeOutage(s *State, b Batch, now time.Time) {
	if s.AsOf.IsZero() {
		return
	}
	if b.AsOf.Sub(s.AsOf)-s.Paused > minOutageDuration {
		s.OutageEnd = now
	}
	if s.Paused > 0 && b.OutageEnd.After(s.OutageEnd) {
		s.OutageEnd = b.OutageEnd
	}
}

// ObservePause corrects the replica after a pause of the process.
func ObservePause(s *State, p pause.Pause) {
	if s.AsOf.IsZero() {
		return
	}
	s.AsOf = s.AsOf.Add(-p.Hidden)
	s.Paused += p.Length
}

// beginEra prepares the replica for the first copy of a new era, which replaces all records. The keys that are missing in it
// count as removed during an outage, because other writers are still writing again what the log has lost.
func beginEra(s *State, era int64, now time.Time) {
	if !s.AsOf.IsZero() {
		s.OutageEnd = now
	}
	const beforeAllOffsets = -1
	for key, r := range s.Records {
		r.Offset = beforeAllOffsets
		s.Records[key] = r
	}
	clear(s.Tombstones)
	s.Era, s.Next, s.DeltasFrom = era, 0, 0
}

// keepFinalChanges reduces the changes to the final one of each key. A batch may both remove a key and set it again.
func (c *Changes) keepFinalChanges(s *State) {
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

func applyRecord(s *State, r Record, uncompacted bool, equal func(a, b []byte) bool, c *Changes) {
	old, known := s.Records[r.Key]
	if isCovered(s, r) || known && old.Offset >= r.Offset || s.Tombstones[r.Key] > r.Offset {
		return
	}
	if len(r.Value) == 0 {
		removeKey(s, r.Key, r.Offset, c)
		return
	}
	delete(s.Tombstones, r.Key)
	unchanged := known && equal(old.Value, r.Value)
	if unchanged && uncompacted {
		return
	}
	// The new offset is kept even if the value is equal: another replica may hold a tombstone with an offset in between.
	s.Records[r.Key] = r
	if !unchanged {
		c.Set = append(c.Set, r)
	}
}

// isCovered reports whether the replica already reflects the record. The replica is complete up to Next, so a record below
// it is either the current one or was superseded. There need not be a tombstone to show that: a replica that starts with a
// copy made after a removal has none, and a peer's or the log's older copy must not add the key again.
func isCovered(s *State, r Record) bool { return r.Offset < s.Next }

func removeKey(s *State, key string, offset int64, c *Changes) {
	_, known := s.Records[key]
	delete(s.Records, key)
	s.Tombstones[key] = offset
	if known {
		c.Removed = append(c.Removed, key)
	}
}

// removeUnlisted removes the keys that are missing in a batch of the whole topic. Newer records stay.
func removeUnlisted(s *State, b Batch, c *Changes) {
	listed := make(map[string]bool, len(b.Records))
	for _, r := range b.Records {
		listed[r.Key] = true
	}
	for key, r := range s.Records {
		if !listed[key] && r.Offset < b.Next {
			removeKey(s, key, b.Next-1, c)
		}
	}
	// A key that was set and removed after the records that the replica had is in neither of them. Another replica may
	// have it.
	s.DeltasFrom = max(s.DeltasFrom, b.Next)
}

// trimTombstones deletes all tombstones if there are too many. Replicas that lag behind get a full copy from then on.
func trimTombstones(s *State) {
	if len(s.Tombstones) <= maxTombstones {
		return
	}
	clear(s.Tombstones)
	s.DeltasFrom = s.Next
}

// Delta returns the records and removals that are missing in a replica with the given era and next offset. It returns a full
// copy if the tombstones do not reach back to that offset or the era is over, and no records if the replica is itself behind
// in an earlier era.
func Delta(s *State, era, next int64) Batch {
	b := Batch{
		Era: s.Era, Next: s.Next, AsOf: s.AsOf, Paused: s.Paused, OutageEnd: s.OutageEnd,
		Full: era < s.Era || era == s.Era && next < s.DeltasFrom,
	}
	if era > s.Era {
		return b
	}
	for _, r := range s.Records {
		if b.Full || r.Offset >= next {
			b.Records = append(b.Records, r)
		}
	}
	for key, offset := range s.Tombstones {
		if !b.Full && offset >= next {
			b.Records = append(b.Records, Record{Key: key, Offset: offset})
		}
	}
	return b
}

// Age returns the time since the replica was known to be complete. A replica that never was has the maximum duration.
func Age(s *State, now time.Time) time.Duration {
	if s.AsOf.IsZero() {
		return 1<<63 - 1
	}
	return max(now.Sub(s.AsOf), 0)
}

package fold

import "time"

// Supersedes says whether a node with the current state adopts the candidate. A node never adopts a lower revision, so
// late snapshots and peers that are behind are harmless.
func Supersedes(candidate, current State) bool {
	return candidate.Next > current.Next && candidate.Revision >= current.Revision
}

// Highest returns the state with the highest revision, and of those the one that covers most records. It returns false
// if there is no state that covers any record.
func Highest(states []State) (State, bool) {
	var best State
	for _, s := range states {
		if s.Revision > best.Revision || s.Revision == best.Revision && s.Next > best.Next {
			best = s
		}
	}
	return best, best.Next > 0
}

// Joins says whether the retained records, of which first is the oldest, continue the state without a gap.
func Joins(s State, first int64) bool {
	return s.Next >= first
}

// Snapshot describes a snapshot that is in the log.
type Snapshot struct {
	// Next is the offset of the first record that the snapshot does not cover.
	Next int64
	// Time is when it was appended; zero if no snapshot is known.
	Time time.Time
}

// SnapshotPolicy says how often the state is written to the log.
type SnapshotPolicy struct {
	// Records is the number of records after which a snapshot is due.
	Records int64
	// Interval is the age at which the last snapshot is replaced even if nothing changed, because it expires too.
	Interval time.Duration
}

// SnapshotDue says whether the state is to be written to the log.
func SnapshotDue(s State, last Snapshot, p SnapshotPolicy, now time.Time) bool {
	switch {
	case s.Next == 0 || s.Next < last.Next:
		return false
	case last.Time.IsZero():
		return true
	default:
		return s.Next-last.Next >= p.Records || now.Sub(last.Time) >= p.Interval
	}
}

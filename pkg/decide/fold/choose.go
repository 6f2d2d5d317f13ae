package fold

import "time"

// Supersedes reports whether a node replaces its current state with the candidate. A node never adopts a lower
// revision, so delayed snapshots and lagging peers cannot revert the configuration.
func Supersedes(candidate, current State) bool {
	return candidate.Next > current.Next && candidate.Revision >= current.Revision
}

// HighestRevision returns the state with the highest revision; among several of them, the one that covers the most
// records. It returns false if no state covers any record.
func HighestRevision(states []State) (State, bool) {
	var best State
	for _, s := range states {
		if s.Revision > best.Revision || s.Revision == best.Revision && s.Next > best.Next {
			best = s
		}
	}
	return best, best.Next > 0
}

// ContinuesWithoutGap reports whether the records retained in the log continue the state without a gap. First is the
// offset of the oldest retained record.
func ContinuesWithoutGap(s State, first int64) bool {
	return s.Next >= first
}

// Snapshot describes the newest known snapshot in the log.
type Snapshot struct {
	// Next is the offset of the first record that the snapshot does not cover.
	Next int64
	// Time is the time at which the snapshot was appended; zero if no snapshot is known.
	Time time.Time
}

// SnapshotPolicy specifies how often a snapshot of the state is appended to the log.
type SnapshotPolicy struct {
	// MaxRecords is the number of records after which a snapshot is due.
	MaxRecords int64
	// MaxAge is the age at which a new snapshot is due even without new records, because snapshots in the log expire.
	MaxAge time.Duration
}

// SnapshotDue reports whether a snapshot of the state is due.
func SnapshotDue(s State, last Snapshot, p SnapshotPolicy, now time.Time) bool {
	switch {
	case s.Next == 0 || s.Next < last.Next:
		return false
	case last.Time.IsZero():
		return true
	default:
		return s.Next-last.Next >= p.MaxRecords || now.Sub(last.Time) >= p.MaxAge
	}
}

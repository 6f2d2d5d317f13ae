// Package fold computes the configuration by replaying the records of the platform's log. The replay is deterministic:
// every node that reads the same records in offset order reaches the same state, without coordination between nodes.
package fold

import (
	"crypto/sha256"
	"fmt"
	"maps"
)

// MaxDecisions is the number of apply IDs whose decisions are kept. At 820 changes per day they cover more than a day,
// and operators resolve a lost reply within minutes. An ID whose decision was dropped cannot be accepted again: its
// base is lower than the revision that the file got when the apply was first accepted.
const MaxDecisions = 1024

// Maximum lengths of an apply ID and a file name in bytes. They bound the memory used for decisions.
const (
	MaxIDBytes       = 64
	MaxFileNameBytes = 105
)

// Apply is a request of an operator to replace one configuration file.
type Apply struct {
	// ID is a random identifier from the operator's client. After a lost reply, the client finds the record by this ID
	// in the log.
	ID   string
	File string
	// Base is the revision of the file on which the operator's change is based; zero if the file did not exist.
	Base     int64
	Contents []byte
}

// File is the current contents of one configuration file.
type File struct {
	// Revision is the log offset of the accepted record plus one; zero means that the file does not exist.
	Revision int64
	Contents []byte
}

// Verdict is the result of an apply record.
type Verdict string

// Verdicts of an apply record.
const (
	Accepted Verdict = "accepted"
	Conflict Verdict = "conflict"
)

// Decision is the verdict on one apply ID with the data that it is based on.
type Decision struct {
	Verdict Verdict
	File    string
	// Base is the revision on which the operator's change was based.
	Base int64
	// Revision is the revision of the file after the decision.
	Revision int64
	// Offset is the log offset of the apply record.
	Offset int64
	// Digest is the digest of the file name and contents of the apply record.
	Digest string
}

// Reason returns an explanation of the verdict for operators.
func Reason(d Decision) string {
	switch {
	case d.Verdict == Accepted:
		return fmt.Sprintf("%s was at revision %d, as the apply expected", d.File, d.Base)
	case d.Revision == 0:
		return fmt.Sprintf("%s does not exist, and the apply was made for revision %d of it", d.File, d.Base)
	default:
		return fmt.Sprintf("%s is at revision %d, and the apply was made for revision %d", d.File, d.Revision, d.Base)
	}
}

// Digest returns the first 16 bytes of the SHA-256 digest of the file name and the contents, in hexadecimal.
func Digest(file string, contents []byte) string {
	sum := sha256.Sum256([]byte(file + "\x00" + string(contents)))
	return fmt.Sprintf("%x", sum[:16])
}

// State is the configuration after replaying a prefix of the log.
type State struct {
	// Next is the offset of the first record that the state does not cover.
	Next int64
	// Revision is the highest revision of any file.
	Revision int64
	Files    map[string]File
	// Decisions maps apply IDs to decisions, and holds the newest MaxDecisions of them.
	Decisions map[string]Decision
}

// GapError is returned for a record whose predecessors the state does not cover. Applying it would give a state that
// differs from that of readers that have the missing records. Next is the first missing offset, Offset that of the
// record.
type GapError struct {
	Next   int64
	Offset int64
}

func (e GapError) Error() string {
	return fmt.Sprintf("records %d to %d are missing", e.Next, e.Offset-1)
}

// Step returns the state after the apply record at the offset, without modifying s. It returns s unchanged if s already
// covers the record, and a GapError if records before the offset are missing.
func Step(s State, offset int64, a Apply) (State, error) {
	if offset < s.Next {
		return s, nil
	}
	if offset > s.Next {
		return s, GapError{Next: s.Next, Offset: offset}
	}
	s.Next = offset + 1
	if _, seen := s.Decisions[a.ID]; seen {
		return s, nil
	}
	d := decideApply(s, offset, a)
	if d.Verdict == Accepted {
		s.Revision = d.Revision
		s.Files = copyWithEntry(s.Files, a.File, File{Revision: d.Revision, Contents: a.Contents})
	}
	s.Decisions = copyWithEntry(s.Decisions, a.ID, d)
	if len(s.Decisions) > MaxDecisions {
		delete(s.Decisions, oldestDecision(s.Decisions))
	}
	return s, nil
}

// Skip returns the state after a record that is not an apply. It returns a GapError if records before the offset are
// missing.
func Skip(s State, offset int64) (State, error) {
	if offset > s.Next {
		return s, GapError{Next: s.Next, Offset: offset}
	}
	s.Next = max(s.Next, offset+1)
	return s, nil
}

func decideApply(s State, offset int64, a Apply) Decision {
	current := s.Files[a.File].Revision
	d := Decision{
		Verdict: Conflict, File: a.File, Base: a.Base, Revision: current, Offset: offset, Digest: Digest(a.File, a.Contents),
	}
	if a.Base == current {
		d.Verdict = Accepted
		d.Revision = offset + 1
	}
	return d
}

func oldestDecision(decisions map[string]Decision) string {
	id, offset := "", int64(-1)
	for k, d := range decisions {
		if offset < 0 || d.Offset < offset {
			id, offset = k, d.Offset
		}
	}
	return id
}

func copyWithEntry[V any](m map[string]V, key string, v V) map[string]V {
	c := make(map[string]V, len(m)+1)
	maps.Copy(c, m)
	c[key] = v
	return c
}

// Package fold turns the records of the platform's log into the configuration. The fold is deterministic: every node
// that reads the same records in offset order reaches the same state, without agreement between nodes.
package fold

import (
	"crypto/sha256"
	"fmt"
	"maps"
)

// MaxDecisions is the number of apply IDs whose verdict is remembered. At 820 changes a day it covers more than a day,
// and an operator resolves a lost reply within minutes. A forgotten ID cannot be accepted twice: its base is below the
// revision that its first acceptance gave the file.
const MaxDecisions = 1024

// Longest apply ID and file name in bytes. They bound the memory of the decisions.
const (
	MaxID       = 64
	MaxFileName = 105
)

// Apply is a request of an operator to replace one configuration file.
type Apply struct {
	// ID is random and chosen by the operator's client, so that a lost reply can be resolved by reading the log back.
	ID   string
	File string
	// Base is the revision of the file that the operator saw; zero for a file that did not exist.
	Base     int64
	Contents []byte
}

// File is the current contents of one configuration file.
type File struct {
	// Revision is one more than the log offset of the accepted record, so that zero means "no file".
	Revision int64
	Contents []byte
}

// Verdict says what became of an apply record.
type Verdict string

// Verdicts of an apply record.
const (
	Accepted Verdict = "accepted"
	Conflict Verdict = "conflict"
)

// Decision is the verdict on one apply ID and what it rests on.
type Decision struct {
	Verdict Verdict
	File    string
	// Base is the revision that the operator saw.
	Base int64
	// Revision is the revision of the file after the decision.
	Revision int64
	// Offset is the log offset of the record that was decided.
	Offset int64
	// Digest identifies the file name and contents that the decision was about.
	Digest string
}

// Reason says in words why the verdict was given.
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

// Digest returns a digest of the file name and the contents.
func Digest(file string, contents []byte) string {
	sum := sha256.Sum256([]byte(file + "\x00" + string(contents)))
	return fmt.Sprintf("%x", sum[:16])
}

// State is the folded configuration.
type State struct {
	// Next is the offset of the first record that the state does not cover.
	Next int64
	// Revision is the highest revision of all files.
	Revision int64
	Files    map[string]File
	// Decisions is keyed by apply ID and holds the newest MaxDecisions.
	Decisions map[string]Decision
}

// GapError reports a record whose predecessors the state does not cover. Folding it would give a state that differs
// from that of the readers that saw the missing records.
type GapError struct {
	Next   int64
	Offset int64
}

func (e GapError) Error() string {
	return fmt.Sprintf("records %d to %d are missing", e.Next, e.Offset-1)
}

// Step returns the state after the apply record at the offset. It does not change s. A record that s covers already
// changes nothing. It returns GapError if records before the offset are missing.
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
	d := decide(s, offset, a)
	if d.Verdict == Accepted {
		s.Revision = d.Revision
		s.Files = withEntry(s.Files, a.File, File{Revision: d.Revision, Contents: a.Contents})
	}
	s.Decisions = withEntry(s.Decisions, a.ID, d)
	if len(s.Decisions) > MaxDecisions {
		delete(s.Decisions, oldest(s.Decisions))
	}
	return s, nil
}

// Skip returns the state after a record that is not an apply. It returns GapError as Step does.
func Skip(s State, offset int64) (State, error) {
	if offset > s.Next {
		return s, GapError{Next: s.Next, Offset: offset}
	}
	s.Next = max(s.Next, offset+1)
	return s, nil
}

func decide(s State, offset int64, a Apply) Decision {
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

func oldest(decisions map[string]Decision) string {
	id, offset := "", int64(-1)
	for k, d := range decisions {
		if offset < 0 || d.Offset < offset {
			id, offset = k, d.Offset
		}
	}
	return id
}

func withEntry[V any](m map[string]V, key string, v V) map[string]V {
	c := make(map[string]V, len(m)+1)
	maps.Copy(c, m)
	c[key] = v
	return c
}

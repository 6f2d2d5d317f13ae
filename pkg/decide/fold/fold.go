// Package fold turns the records of the platform's log into the configuration. The fold is deterministic: every node
// that reads the same records in offset order reaches the same state, without agreement between nodes.
package fold

import "maps"

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

// Decision is the verdict on one apply ID and the file revision after it.
type Decision struct {
	Verdict  Verdict
	Revision int64
}

// State is the folded configuration.
type State struct {
	// Next is the offset of the first record that the state does not cover.
	Next int64
	// Revision is the highest revision of all files.
	Revision  int64
	Files     map[string]File
	Decisions map[string]Decision
}

// Step returns the state after the apply record at the offset. It does not change s.
func Step(s State, offset int64, a Apply) State {
	s.Next = offset + 1
	if _, seen := s.Decisions[a.ID]; seen {
		return s
	}
	current := s.Files[a.File]
	decision := Decision{Verdict: Conflict, Revision: current.Revision}
	if a.Base == current.Revision {
		decision = Decision{Verdict: Accepted, Revision: offset + 1}
		s.Revision = offset + 1
		s.Files = withEntry(s.Files, a.File, File{Revision: offset + 1, Contents: a.Contents})
	}
	s.Decisions = withEntry(s.Decisions, a.ID, decision)
	return s
}

func withEntry[V any](m map[string]V, key string, v V) map[string]V {
	c := make(map[string]V, len(m)+1)
	maps.Copy(c, m)
	c[key] = v
	return c
}
